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

pub mod capacity_search;
pub mod compare;
pub mod connections;
pub mod core_driver;
pub mod destination;
pub mod distribution;
pub mod experiment;
pub mod fuzz_targets;
pub mod invariants;
pub mod metrics;
pub mod mutants;
pub mod observation;
pub mod plot;
pub mod rate_expression;
pub mod report;
pub mod scenario;
pub mod seed_search;
pub mod simulation;
pub mod trace;
