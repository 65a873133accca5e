//! Preloaded into a process under test (`LD_PRELOAD`), this library makes system calls fail as Linux documents it, and
//! steps the wall clock, as the file that `FAULT_SHIM_PLAN` names has it. `marblefall-fault-plan` describes the file.
//!
//! It sees what goes through the C library. What it saw and what it struck is counted in a file that outlives the
//! process, as a fault that never struck proves nothing.

mod calls;
mod state;
