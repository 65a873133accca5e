//! A library that is preloaded into a process under test (`LD_PRELOAD`). It makes system calls fail in ways that Linux
//! documents, and steps the wall clock, according to the plan in the file that `FAULT_SHIM_PLAN` names. The package
//! `marblefall-fault-plan` describes the format of the plan.
//!
//! The library interposes functions of the C library; system calls that bypass the C library are not intercepted. Seen
//! calls and injected faults are counted in a file that outlives the process, since a run in which a fault was never
//! injected tests nothing about it.

mod clock;
mod files;
mod interpose;
mod sockets;
mod state;
mod waits;
