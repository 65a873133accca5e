//! Settings of message classes.

use serde::Deserialize;

/// The settings of a message class. Times are in milliseconds.
#[derive(Debug, Deserialize)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Value of one message that is delivered within the latency objective.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    /// Time within which a delivery earns the full value.
    #[serde(rename = "promise_ms")]
    pub latency_objective_ms: f64,
    /// Time from the first submission of a message until it may no longer be delivered.
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: f64,
    /// Share of the value that remains at the deadline.
    #[serde(default)]
    pub late_value: f64,
    /// Effect of executing a message a second time.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Endpoints among which a repeat is dropped by its idempotency key.
    #[serde(rename = "dedup_scope", default)]
    pub deduplication: Deduplication,
    /// Deduplication window: time for which the endpoints recognise an idempotency key.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    #[serde(rename = "fifo_by_key", default)]
    pub ordered: bool,
}

/// Effect of executing a message a second time.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum Idempotency {
    /// A second execution has no effect.
    #[serde(rename = "pure")]
    Idempotent,
    /// Receivers drop a repeat by its idempotency key.
    #[serde(rename = "token")]
    IdempotencyKey,
    /// A second execution takes effect again.
    #[serde(rename = "side_effect")]
    NonIdempotent,
}

/// Endpoints that drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deduplication {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the same zone.
    Zone,
    /// Only the endpoint itself. Unknown values are read as this one.
    #[default]
    #[serde(other)]
    Endpoint,
}
