//! Classes of messages.

use serde::Deserialize;

/// A class of messages. Times are in milliseconds.
#[derive(Debug, Deserialize)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Value of one message delivered within the latency objective.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    /// Time within which a delivery earns the full value.
    #[serde(rename = "promise_ms")]
    pub latency_objective_ms: f64,
    /// How long a message may be delivered, counted from its first submission.
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: f64,
    /// Share of the value that remains at the deadline.
    #[serde(default)]
    pub late_value: f64,
    /// What a second execution of a message does.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats by an idempotency key.
    #[serde(rename = "dedup_scope", default)]
    pub deduplication: Deduplication,
    /// How long they recognise the key.
    #[serde(default)]
    pub window_ms: f64,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    #[serde(rename = "fifo_by_key", default)]
    pub ordered: bool,
}

/// What a second execution of a message does.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum Idempotency {
    /// Nothing.
    #[serde(rename = "pure")]
    Idempotent,
    /// Receivers drop it by its idempotency key.
    #[serde(rename = "token")]
    IdempotencyKey,
    /// It takes effect again.
    #[serde(rename = "side_effect")]
    NonIdempotent,
}

/// Which endpoints drop each other's repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deduplication {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the same zone.
    Zone,
    /// Only the same endpoint; also the meaning of every unknown word.
    #[default]
    #[serde(other)]
    Endpoint,
}
