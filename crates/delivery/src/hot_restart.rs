//! One process incarnation taking over from another without a gap.
//!
//! A new incarnation starts as a standby beside the running ones, takes over once they have handed over, and follows
//! them until the last has exited. [`takeover`] is the state machine, free of I/O. [`incarnation`] keeps the lock files
//! and marks by which incarnations know each other. [`driver`] connects both to the engine.

pub mod driver;
pub mod incarnation;
pub mod takeover;
