//! Experiments on groups of real processes: faults drawn from a seed are injected while clients submit events and
//! operators change the policy. The invariants of the group are checked on observations from outside the processes.
//!
//! - [`schedule`] draws, stores and loads the steps of a run.
//! - [`experiment`] plays a schedule.
//! - [`observation`] holds the records of the members, the destination and the clients.
//! - [`invariants`] checks an observation.
//! - [`shrink`](mod@shrink) removes the steps of a schedule that are not needed for a violation.

#![forbid(unsafe_code)]

pub mod experiment;
pub mod invariants;
pub mod observation;
pub mod schedule;
pub mod shrink;
