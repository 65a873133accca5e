//! Concurrent calls, kinds of destinations, and the value of late deliveries.

use serde::Deserialize;

/// Concurrent calls, kinds of destinations, and the value of late deliveries.
#[derive(Debug, Deserialize)]
pub struct DomainSettings {
    /// Maximum number of calls in flight.
    #[serde(rename = "workers")]
    pub max_in_flight: u64,
    /// For each kind of destination, whether its endpoints are separate routes.
    #[serde(rename = "kind_apart", default)]
    pub separate_routes: Vec<bool>,
    /// For each kind of destination, the maximum number of messages in one call.
    #[serde(rename = "per_call", default)]
    pub max_batch: Vec<u64>,
    /// How value falls after the latency objective.
    #[serde(rename = "late", default)]
    pub value_decay: ValueDecay,
    /// For each zone, the fee of a separate route there.
    #[serde(rename = "toll", default)]
    pub zone_fees: Vec<f64>,
}

/// How value falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum ValueDecay {
    /// Linearly.
    #[serde(rename = "line")]
    Linear,
    /// By half with each further latency objective.
    #[default]
    #[serde(rename = "halves")]
    Halving,
}
