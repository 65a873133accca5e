//! Accepts, journals and delivers outbound messages.
//!
//! [`core`] is independent of any wire protocol. [`net`] implements the network connections, and [`frontend`] translates
//! between the two. In a [`hot_restart`] one process takes over from another. [`instance`] assembles and runs an instance.

#![forbid(unsafe_code)]

pub mod clock;
pub mod core;
pub mod counters;
pub mod frontend;
pub mod hot_restart;
pub mod instance;
pub mod lease_guard;
pub mod log;
pub mod net;
pub mod rules;
pub mod snapshot_store;
pub mod system_error;
