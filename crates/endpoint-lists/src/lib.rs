//! Rosters: lists of endpoints and weights that people edit by hand, each taken whole or not at all.
//!
//! [`form`] reads and prints them and finds out by the form alone whether one is whole; [`check`] holds one against
//! the operators' file and the list that is in force; [`diff`] says what one changes; [`book`] is the lists in force
//! and the only way to change them; [`keep`] is their copy on disk. Nothing here knows sockets, clocks or tasks.

pub mod book;
pub mod check;
pub mod diff;
pub mod fault;
pub mod form;
pub mod keep;

pub use book::{Book, Offer};
pub use check::{Standing, Terms};
pub use diff::{diff, Change, Step};
pub use fault::{Fault, Report, Severity};
pub use form::{Destination, Endpoint, Roster};
