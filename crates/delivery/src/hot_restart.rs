//! Hot restart: one incarnation of the process takes over from another without interrupting the service.
//!
//! A new incarnation starts as a standby beside the running ones, becomes active once they have handed over, and follows
//! their journals until the last has exited. [`takeover`] is the state machine, without I/O. [`incarnation`] implements the
//! lock files and marks by which incarnations find each other. [`driver`] connects both to the engine.

pub mod driver;
pub mod incarnation;
pub mod takeover;
