//! Settings for concurrent calls, kinds of destinations, and the value of late deliveries.

use serde::Deserialize;

/// Settings for concurrent calls, kinds of destinations, and the value of late deliveries.
#[derive(Debug, Deserialize)]
pub struct DomainSettings {
    /// Maximum number of calls in flight, over all destinations.
    #[serde(rename = "workers")]
    pub max_in_flight: u64,
    /// For each kind of destination, whether its endpoints are separate routes.
    #[serde(rename = "kind_apart", default)]
    pub separate_routes: Vec<bool>,
    /// For each kind of destination, the maximum number of messages in one call.
    #[serde(rename = "per_call", default)]
    pub max_batch: Vec<u64>,
    /// Decrease of a message's value after the latency objective.
    #[serde(rename = "late", default)]
    pub value_decay: ValueDecay,
    /// For each zone, the fee of a separate route in that zone.
    #[serde(rename = "toll", default)]
    pub zone_fees: Vec<f64>,
}

/// Decrease of a message's value after the latency objective.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum ValueDecay {
    /// The value decreases linearly.
    #[serde(rename = "line")]
    Linear,
    /// The value halves with each further latency objective.
    #[default]
    #[serde(rename = "halves")]
    Halving,
}
