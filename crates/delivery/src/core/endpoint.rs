//! The listing of an endpoint.

use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};

/// An endpoint as discovery or the destination table lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Name of the endpoint, which does not depend on the address.
    pub name: String,
    /// Address of the endpoint.
    pub address: String,
    /// Unix time in milliseconds at which the endpoint's process started; 0 if it is not known, or long ago.
    pub started_ms: i64,
    /// Destination of the endpoint.
    pub destination: DestinationId,
    /// Kind of the destination.
    pub kind: KindId,
    /// Zone of the endpoint.
    pub zone: ZoneId,
    /// Whether new attempts may be sent to the endpoint.
    pub status: EndpointStatus,
    /// Rate that the list advertises, in calls per second.
    pub advertised_rate: f64,
    /// Share of the destination's calls, relative to the weights of its other endpoints; `None` where the list gives no
    /// weight.
    pub weight: Option<f64>,
}
