//! Experiments on groups of real processes: faults drawn from one seed are injected while clients submit events and
//! operators change the policy, and the invariants of a group are checked from outside.
//!
//! A [`schedule`] says what happens and can be stored and played again; [`experiment`] plays it; [`observation`] holds
//! what members, the destination and clients recorded; [`invariants`] checks it; [`shrink`](mod@shrink) removes the
//! steps that a violation does not need.

#![forbid(unsafe_code)]

pub mod experiment;
pub mod invariants;
pub mod observation;
pub mod schedule;
pub mod shrink;
