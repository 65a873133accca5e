//! Settings for the delivery of the endpoint list, and for the meaning of its rates.

use serde::Deserialize;

/// The way in which changes of the endpoint list are delivered.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum DiscoveryMode {
    /// Changes are pushed without a request.
    #[default]
    #[serde(rename = "automatic")]
    Push,
    /// Changes are delivered only after a subscription was requested.
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// Meaning of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum RateHints {
    /// A rate is the number of calls per second that a route accepts from all instances together.
    #[serde(rename = "nominal")]
    Exact,
    /// As [`RateHints::Exact`], but a rate may be too high or too low by up to half.
    #[serde(rename = "rough")]
    Approximate,
    /// The rates have no meaning. Unknown values are read as this one.
    #[default]
    #[serde(other)]
    Absent,
}
