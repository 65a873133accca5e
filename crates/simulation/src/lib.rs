//! The lab: a world around the courier in virtual time.
//!
//! A [`scenario`] says what partners there are, what clients bring and what goes wrong. [`simulation`] plays it from one
//! seed with the decision module that serves, by its real interface; [`check`] watches from outside whether a rule is
//! broken, and [`tally`] counts what came of it. The same scenario and seed give the same bytes.

#![forbid(unsafe_code)]
#![allow(
    clippy::missing_panics_doc,
    reason = "this package is not yet written in the style of the others; see docs/ROADMAP.md"
)]
#![allow(
    clippy::too_many_lines,
    reason = "this package is not yet written in the style of the others; see docs/ROADMAP.md"
)]

pub mod bodies;
pub mod capacity;
pub mod chart;
pub mod check;
pub mod compare;
pub mod cored;
pub mod curve;
pub mod doubles;
pub mod draw;
pub mod experiment;
pub mod figures;
pub mod hunt;
pub mod partner;
pub mod report;
pub mod scenario;
pub mod seen;
pub mod simulation;
pub mod tally;
pub mod trace;
pub mod wires;
