//! One process taking over from another: how a new incarnation stands by beside the old one, takes over, and how the old
//! one ends. [`takeover`] is the state machine, free of I/O; [`incarnation`] keeps the marks by which incarnations know
//! each other; [`driver`] acts.

pub mod driver;
pub mod incarnation;
pub mod takeover;
