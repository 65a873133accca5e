//! Endpoint lists that people edit by hand, each put in force whole or not at all.
//!
//! [`list`] is a list, its file format, and whether a file is whole by its format alone; [`check`] holds one against the
//! operators' manifest and the list in force; [`mod@diff`] says what one changes; [`active_lists`] are the lists in force and
//! the only way to change them; [`last_good_store`] is their copy on disk. Nothing here knows sockets, clocks or tasks.

#![forbid(unsafe_code)]

pub mod active_lists;
pub mod check;
pub mod diagnostic;
pub mod diff;
pub mod last_good_store;
pub mod list;

pub use active_lists::{ActiveLists, Candidate};
pub use check::{EndpointSource, ListRules};
pub use diagnostic::{Diagnostic, Report, Severity};
pub use diff::{diff, ChangeKind, EndpointChange};
pub use list::{Destination, Endpoint, EndpointList};
