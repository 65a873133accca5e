//! Simulation of instances, clients and destinations in virtual time.
//!
//! A [`scenario`] describes destinations, the load of clients, and the faults. [`simulation`] plays a scenario from a
//! seed, either with the production scheduler through its public interface or with the complete core ([`core_driver`]).
//! [`invariants`] checks the run and [`metrics`] measures it. Both depend only on the [`observation`]s of the run. The
//! same scenario and seed produce the same bytes.
//!
//! [`experiment`], [`compare`], [`capacity_search`] and [`seed_search`] evaluate many runs. [`report`] renders HTML pages
//! from them.

#![forbid(unsafe_code)]

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
