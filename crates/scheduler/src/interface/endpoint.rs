//! Entries of the endpoint list.

use super::{DestinationId, EndpointId, KindId, ZoneId};

/// Status of an endpoint in the list, independent of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint may be used.
    #[default]
    Active,
    /// The endpoint receives nothing new.
    Draining,
    /// The endpoint has left the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Identity of the endpoint.
    pub endpoint: EndpointId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// Whether the endpoint may be used.
    pub status: EndpointStatus,
    /// A rate in calls per second; [`Settings::rate_hints`](crate::Settings::rate_hints) defines its meaning.
    pub advertised_rate: f64,
    /// Share of the destination's calls relative to the weights of its other endpoints, above 0; `None` where the
    /// list has no weights.
    pub weight: Option<f64>,
}
