//! Parameters of the delivery rules.

use serde::Deserialize;

/// Parameters of the delivery rules. Times are in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Share of its full capacity that a route has at the start of a recovery.
    #[serde(rename = "cold_from")]
    pub ramp_start: f64,
    /// Time from the start of a recovery to full capacity.
    #[serde(rename = "cold_ms")]
    pub ramp_duration_ms: f64,
    /// Load at which a recovering route fails again, as a multiple of its current capacity.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Time over which the load of a recovering route is measured.
    #[serde(rename = "tip_after_ms")]
    pub overload_window_ms: f64,
    /// Time for which an ordering key is paused after an attempt that may still be running.
    #[serde(rename = "order_pause_ms")]
    pub ordering_pause_ms: f64,
    /// Time after which an instance counts as informed of a change of the endpoint list, if it has not requested the list.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
}
