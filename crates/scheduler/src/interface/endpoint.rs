//! Rows of the endpoint list.

use super::{DestinationId, EndpointId, KindId, ZoneId};

/// Status of an endpoint in the list; says nothing of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In use.
    #[default]
    Active,
    /// Nothing new may be sent to it.
    Draining,
    /// No longer listed.
    Removed,
}

/// One row of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it may be used.
    pub status: EndpointStatus,
    /// A rate in calls per second, as [`Settings::rate_hints`](crate::Settings::rate_hints) says.
    pub advertised_rate: f64,
    /// Its share of the destination's calls relative to the other endpoints' weights, where the list gives weights;
    /// above 0.
    pub weight: Option<f64>,
}
