//! Endpoint lists that operators edit by hand. A list is activated completely or not at all.
//!
//! - [`list`] defines a list and its file format, which shows whether a file is complete.
//! - [`check`] checks a list against the operators' manifest, the active lists and the list that it replaces.
//! - [`mod@diff`] computes the differences between two lists.
//! - [`diagnostic`] and [`report`] describe errors and warnings.
//! - [`active_lists`] holds the active lists and is the only way to change them.
//! - [`last_good_store`] stores copies of the active lists on disk.
//!
//! This package does not depend on sockets, clocks or tasks.

#![forbid(unsafe_code)]

pub mod active_lists;
pub mod check;
pub mod diagnostic;
pub mod diff;
pub mod last_good_store;
pub mod list;
pub mod report;

pub use active_lists::{ActiveLists, Candidate, SupersededList};
pub use check::{EndpointSource, ListRules};
pub use diagnostic::{Diagnostic, Severity};
pub use diff::{diff, ChangeKind, EndpointChange};
pub use list::{Destination, Endpoint, EndpointList};
pub use report::Report;
