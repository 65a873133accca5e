//! State of routes and destinations that leaves the scheduler.

use super::{DestinationId, EndpointId, Time};

/// State of a route that is kept while its destination is idle, and handed to the next incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleRecord {
    /// End of the backoff that the route requested.
    pub backoff_until: Option<Time>,
    /// Since when the route has been ejected.
    pub ejected_since: Option<Time>,
    /// Since when the route has been recovering.
    pub recovering_since: Option<Time>,
    /// Mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance delivers on the route while it is healthy.
    pub baseline_rate: f64,
}

impl IdleRecord {
    /// Converts every time of the record to another clock.
    pub fn map_times(self, clock: impl Fn(Time) -> Time) -> IdleRecord {
        IdleRecord {
            backoff_until: self.backoff_until.map(&clock),
            ejected_since: self.ejected_since.map(&clock),
            recovering_since: self.recovering_since.map(&clock),
            ..self
        }
    }

    /// Whether the record differs from the defaults of a new route.
    pub fn is_significant(&self) -> bool {
        self.backoff_until.is_some()
            || self.ejected_since.is_some()
            || self.recovering_since.is_some()
            || self.mean_latency_ms.is_some()
    }
}

/// The record of one route, with the route's identity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownRoute {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint, where it is a separate route.
    pub endpoint: Option<EndpointId>,
    /// State of the route.
    pub record: IdleRecord,
}

/// A destination that the scheduler has compacted: its endpoints are no longer listed, its state is the record.
#[derive(Clone, Debug, PartialEq)]
pub struct CompactedDestination {
    /// The endpoints that the scheduler no longer lists.
    pub endpoints: Vec<EndpointId>,
    /// State of the destination's route.
    pub record: IdleRecord,
}

/// State of a listed destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DestinationState {
    /// Since when the destination has been ejected.
    pub ejected_since: Option<Time>,
    /// Since when the destination has been recovering.
    pub recovering_since: Option<Time>,
    /// End of the backoff that the destination requested.
    pub backoff_until: Option<Time>,
    /// Mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance delivers there while the destination is healthy.
    pub baseline_rate: f64,
    /// Messages for the destination without a final outcome.
    pub pending: usize,
    /// Calls in flight.
    pub in_flight: usize,
}
