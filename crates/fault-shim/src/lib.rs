//! Preloaded into a process under test (`LD_PRELOAD`), this library makes system calls fail as Linux documents it, and
//! steps the wall clock, as the file that `FAULT_SHIM_PLAN` names says. `marblefall-fault-plan` describes the file.
//!
//! It interposes functions of the C library; system calls that are made without it are not seen. Calls seen and faults
//! injected are counted in a file that outlives the process, since a fault that was never injected shows nothing.

mod clock;
mod files;
mod interpose;
mod sockets;
mod state;
mod waits;
