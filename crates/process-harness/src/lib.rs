//! The harness of real processes: it starts, signals and ends the program under test on loopback, and provides
//! stand-ins of the systems around it.
//!
//! Every wait is for a condition and bounded by [`WAIT_LIMIT`]. Processes, folders and proxies are released when their
//! owners are dropped. The harness knows neither scenarios nor what a correct run is: its users decide both.

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
pub mod server;

pub use clock::{monotonic_micros, monotonic_ms, Micros, MILLISECOND};
pub use error::HarnessError;
pub use folder::TemporaryFolder;
pub use interrupts::uninterrupted;
pub use listener::Listener;
pub use process::{run_command, CommandOutput, Process, ResourceUsage, Signal};
pub use wait::{wait_for, WAIT_LIMIT};
pub use workers::Workers;
