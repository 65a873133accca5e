//! An endpoint as the core knows it.

use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};

/// An endpoint as discovery or the destination table lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The name that stays the same when the address changes.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it may be used.
    pub status: EndpointStatus,
    /// The rate that the list advertises, in calls per second.
    pub advertised_rate: f64,
    /// Its share of the destination's calls relative to the other endpoints' weights, where the list gives weights.
    pub weight: Option<f64>,
}
