//! The endpoint list: how it arrives, and what its rates mean.

use serde::Deserialize;

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum DiscoveryMode {
    /// Pushed without a request.
    #[default]
    #[serde(rename = "automatic")]
    Push,
    /// Only after a subscription was requested.
    #[serde(rename = "subscribe")]
    Subscribe,
}

/// Meaning of the rates in the endpoint list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum RateHints {
    /// Calls per second from all instances together.
    #[serde(rename = "nominal")]
    Exact,
    /// The same, up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    /// None; also the meaning of every unknown word.
    #[default]
    #[serde(other)]
    Absent,
}
