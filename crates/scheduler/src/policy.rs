//! The delivery policy: decides which message is sent to which endpoint at what time, and how a message ends
//! that can't be delivered. The types of events, actions and settings are in `interface.rs`.
//!
//! Each module implements one concern. Modules that choose the message and the endpoint of a call:
//!
//! - [`selection`]: the pending message to send next, by decayed weight and expected latency;
//! - [`message_value`]: the decay of a message's weight;
//! - [`ordering`]: sequential sending of messages with the same ordering key;
//! - [`batching`]: messages that share a call;
//! - [`endpoint_choice`]: the endpoint of a call, by its cost;
//! - [`weighted_round_robin`]: the endpoint of a call, by the weights of the endpoint list;
//! - [`retry`]: retries that the idempotency of a message permits;
//! - [`timeouts`]: time-outs of attempts.
//!
//! Modules that decide when a route may be sent a call:
//!
//! - [`capacity`]: the earliest time of the next call, from every limit on the route;
//! - [`concurrency`]: concurrent calls of one route and of all failing routes;
//! - [`route_rate`]: this instance's share of a route's rate;
//! - [`rejection_hold`]: pauses of a destination after rejections;
//! - [`connection_pressure`]: closing of idle connections;
//! - [`ejection`]: ejection of failing routes, and the start of their recovery;
//! - [`silence`]: recovery of routes that may have been out of service without being ejected;
//! - [`health_checks`]: health checks of ejected routes;
//! - [`latency`]: the expected latency of a route;
//! - [`call_outcome`]: updates of health, limits and latencies after a call.
//!
//! Modules that end a message without a delivery:
//!
//! - [`give_up`]: messages that can no longer be delivered in time;
//! - [`load_shedding`]: messages that exceed the limit on open messages;
//! - [`tenant_quota`]: lower weights for messages beyond their tenant's quota.

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
