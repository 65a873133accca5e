//! The decisions: which message is sent where and when, and how a message ends that cannot be delivered.
//! The types of events, actions and settings are in `interface.rs`.
//!
//! Each module holds one concern. Which message is sent where:
//!
//! - [`selection`]: the pending message to send next, by decayed weight and expected latency;
//! - [`message_value`]: how the weight of a message decays;
//! - [`ordering`]: messages with one ordering key are sent one at a time;
//! - [`batching`]: messages that share a call;
//! - [`endpoint_choice`]: the endpoint of a call, by its cost;
//! - [`weighted_round_robin`]: the endpoint of a call, by given weights;
//! - [`retry`]: what the idempotency of a message permits;
//! - [`timeouts`]: when an attempt is abandoned.
//!
//! When a route may be sent a call:
//!
//! - [`capacity`]: the earliest time of the next call, from every limit on the route;
//! - [`concurrency`]: concurrent calls of one route and of all failing routes;
//! - [`route_rate`]: this instance's share of a route's rate;
//! - [`rejection_hold`]: how long a destination is left alone after rejections;
//! - [`connection_pressure`]: when idle connections are closed;
//! - [`ejection`]: when a route is ejected, and when it begins to recover;
//! - [`silence`]: routes that may have been out of service without being ejected;
//! - [`health_checks`]: which ejected routes are sent a health check;
//! - [`latency`]: the latency to expect of a route;
//! - [`call_outcome`]: what the outcome of a call changes.
//!
//! How a message ends without a delivery:
//!
//! - [`give_up`]: messages that can no longer be delivered in time;
//! - [`load_shedding`]: messages that exceed the limit on open messages;
//! - [`tenant_quota`]: messages beyond their tenant's quota.

pub(crate) mod batching;
pub(crate) mod call_outcome;
pub(crate) mod capacity;
pub(crate) mod concurrency;
pub(crate) mod connection_pressure;
pub(crate) mod ejection;
pub(crate) mod endpoint_choice;
pub(crate) mod give_up;
pub(crate) mod health_checks;
pub(crate) mod latency;
pub(crate) mod load_shedding;
pub(crate) mod message_value;
pub(crate) mod ordering;
pub(crate) mod rejection_hold;
pub(crate) mod retry;
pub(crate) mod route_rate;
pub(crate) mod selection;
pub(crate) mod silence;
pub(crate) mod tenant_quota;
pub(crate) mod timeouts;
pub(crate) mod weighted_round_robin;
