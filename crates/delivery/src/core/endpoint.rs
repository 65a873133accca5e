//! An endpoint in the list.

use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};

/// An endpoint as discovery or the destination table lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, which does not change with its address.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its destination.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether attempts may be sent to it.
    pub status: EndpointStatus,
    /// The rate that the list advertises, in calls per second.
    pub advertised_rate: f64,
    /// Its share of the destination's calls relative to the other endpoints' weights, where the list gives weights.
    pub weight: Option<f64>,
}
