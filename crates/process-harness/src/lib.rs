//! A test harness for real processes: it starts, signals and ends the program under test on loopback, and provides
//! stand-ins for the systems that the program talks to.
//!
//! Every wait is for a condition and bounded by [`WAIT_LIMIT`]. Processes and temporary folders are released when their
//! owners are dropped; listeners, servers and proxies run until the test process ends. The harness defines neither
//! scenarios nor the criteria of a correct run: its users provide both.

#![forbid(unsafe_code)]

mod clock;
mod error;
mod folder;
mod interrupts;
mod listener;
mod process;
mod wait;
mod workers;

pub mod client;
pub mod cloud_events;
pub mod destination;
pub mod discovery;
pub mod fault_shim;
pub mod group;
pub mod headers;
pub mod http;
pub mod link_proxy;
pub mod network;
pub mod platform;
pub mod response_copies;
pub mod server;

pub use clock::{monotonic_micros, monotonic_ms, Micros, MILLISECOND};
pub use error::HarnessError;
pub use folder::TemporaryFolder;
pub use interrupts::uninterrupted;
pub use listener::Listener;
pub use process::{run_command, CommandOutput, Process, ResourceUsage, Signal};
pub use wait::{wait_for, WAIT_LIMIT};
pub use workers::Workers;
