//! Entries of the endpoint list.

use super::{DestinationId, EndpointId, KindId, ZoneId};

/// Status of an endpoint in the list, independent of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint may be used.
    #[default]
    Active,
    /// The endpoint receives no new calls.
    Draining,
    /// The endpoint was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Identity of the endpoint.
    pub endpoint: EndpointId,
    /// The destination to which the endpoint belongs.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// The endpoint's zone.
    pub zone: ZoneId,
    /// Whether the endpoint may be used.
    pub status: EndpointStatus,
    /// Advertised rate in calls per second; [`Settings::rate_hints`](crate::Settings::rate_hints) defines its meaning.
    pub advertised_rate: f64,
    /// Weight of the endpoint, above 0: its share of the destination's calls relative to the other endpoints' weights.
    /// `None` if the list has no weights.
    pub weight: Option<f64>,
}
