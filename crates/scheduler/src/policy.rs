//! Every decision: which message is sent where and when, and how one ends that cannot be delivered.
//! The types that come in and go out are in `interface.rs`.
//!
//! The ordinary path is in `selection`: whenever a slot frees or a message arrives, the pending message
//! with the highest priority weight x exponential age decay x call rate is sent, unless its route's rate
//! limit or backoff forbids it. Everything else guards that path: `capacity` says what a route may be sent,
//! `health` learns from ends of calls, `retry` says what a repeat may do and when a message is given up.

pub(crate) mod admission;
pub(crate) mod capacity;
pub(crate) mod health;
pub(crate) mod retry;
pub(crate) mod selection;
