//! Which system calls fail, when, and how often: the text that a test writes and the fault shim reads, and the counts
//! that the shim writes and the test reads.
//!
//! A plan has one fault per line: its name, its start and its end in milliseconds of the machine's monotonic clock, and
//! its amount: how many calls of a thousand fail, and for [`FaultKind::WallClockStepped`] by how many milliseconds the
//! clock is off.

#![forbid(unsafe_code)]

mod count;
mod fault;
mod kind;

pub use count::{draw, Count, Counts, COUNTS_LEN};
pub use fault::{Fault, ParseFaultError};
pub use kind::FaultKind;

/// The environment variable that names the plan's file.
pub const PLAN_VARIABLE: &str = "FAULT_SHIM_PLAN";
/// The environment variable that names the file of counts.
pub const COUNTS_VARIABLE: &str = "FAULT_SHIM_COUNTS";
/// The environment variable with the seed of the draws.
pub const SEED_VARIABLE: &str = "FAULT_SHIM_SEED";
/// The environment variable that names the folder whose files fail. No other file does.
pub const FOLDER_VARIABLE: &str = "FAULT_SHIM_FOLDER";

/// The amount of a fault that is injected into every call.
pub const EVERY_CALL: i64 = 1000;
