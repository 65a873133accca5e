//! Endpoint lists that people edit by hand, each activated as a whole or not at all.
//!
//! [`list`] is a list, its file format, and whether a file is complete. [`check`] compares a list with the operators'
//! manifest and the active lists, [`mod@diff`] with the list that it replaces. [`diagnostic`] and [`report`] describe what is
//! wrong. [`active_lists`] are the lists in force and the only way to change them, [`last_good_store`] is their copy on
//! disk. Nothing here depends on sockets, clocks or tasks.

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
