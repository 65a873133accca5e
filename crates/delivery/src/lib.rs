//! Accepts, journals and delivers outbound messages.
//!
//! [`core`] knows no wire; [`net`] is the network around it, [`frontend`] translates between the two, [`hot_restart`]
//! is how one process takes over from another, and [`instance`] puts one together and runs it.

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
mod system_error;
