//! The operators' side: the file that describes a fleet, plan and apply, the rosters that are watched, and the
//! daemon that runs it all.

pub mod build;
pub mod file;
pub mod group;
pub mod listing;
pub mod plan;
pub mod supervise;
pub mod watch;
