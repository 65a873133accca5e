//! Parameters of the delivery rules.

use serde::Deserialize;

/// Parameters of the delivery rules. Times are in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Share of its capacity that a route has when it begins to recover.
    #[serde(rename = "cold_from")]
    pub ramp_start: f64,
    /// Time from the start of a recovery to full capacity.
    #[serde(rename = "cold_ms")]
    pub ramp_duration_ms: f64,
    /// Load, as a multiple of a recovering route's present capacity, that makes it fail again.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Time over which that load is measured.
    #[serde(rename = "tip_after_ms")]
    pub overload_window_ms: f64,
    /// How long an ordering key is paused after an attempt that may still be running.
    #[serde(rename = "order_pause_ms")]
    pub ordering_pause_ms: f64,
    /// An instance that has not requested the list for this long counts as informed.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
}
