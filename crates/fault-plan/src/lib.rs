//! The file formats that a test shares with the fault shim. The test writes a plan of system call faults, which the shim
//! reads. The shim writes counts of seen calls and injected faults, which the test reads.
//!
//! A plan is a text with one fault per line: `KIND FROM_MS UNTIL_MS AMOUNT`. The two times are in milliseconds of the
//! machine's monotonic clock. The amount is the number of calls per thousand that fail; for
//! [`FaultKind::WallClockStepped`] it is the offset of the wall clock in milliseconds.

#![forbid(unsafe_code)]

mod count;
mod fault;
mod kind;

pub use count::{draw, Count, Counts, COUNTS_LEN};
pub use fault::{Fault, ParseFaultError};
pub use kind::FaultKind;

/// Environment variable with the path of the plan.
pub const PLAN_VARIABLE: &str = "FAULT_SHIM_PLAN";
/// Environment variable with the path of the counts file.
pub const COUNTS_VARIABLE: &str = "FAULT_SHIM_COUNTS";
/// Environment variable with the seed of the random draws, a decimal number.
pub const SEED_VARIABLE: &str = "FAULT_SHIM_SEED";
/// Environment variable with the folder to which faults of file operations are limited, except those of `flock`.
pub const FOLDER_VARIABLE: &str = "FAULT_SHIM_FOLDER";

/// Amount of a fault that is injected into every call, in calls per thousand.
pub const EVERY_CALL: i64 = 1000;
