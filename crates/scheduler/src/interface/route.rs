//! State of routes and destinations that is exported from the scheduler.

use super::{DestinationId, EndpointId, Time};

/// State of a route that is kept while its destination is idle, and that is handed over to the next incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleRecord {
    /// End of the backoff that the route requested; `None` if there is no backoff.
    pub backoff_until: Option<Time>,
    /// Start of the present ejection; `None` if the route is not ejected.
    pub ejected_since: Option<Time>,
    /// Start of the present recovery; `None` if the route is not recovering.
    pub recovering_since: Option<Time>,
    /// Mean latency, in milliseconds; `None` before the first success.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance delivers on the route while the route is healthy.
    pub baseline_rate: f64,
}

impl IdleRecord {
    /// Converts every time in the record with `clock`.
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

/// The record of a route, with the route's identity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownRoute {
    /// The destination of the route.
    pub destination: DestinationId,
    /// The endpoint of a separate route; `None` for the shared route of the destination.
    pub endpoint: Option<EndpointId>,
    /// State of the route.
    pub record: IdleRecord,
}

/// A destination that the scheduler has compacted and no longer lists.
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
    /// Start of the present ejection; `None` if the destination is not ejected.
    pub ejected_since: Option<Time>,
    /// Start of the present recovery; `None` if the destination is not recovering.
    pub recovering_since: Option<Time>,
    /// End of the backoff that the destination requested; `None` if there is no backoff.
    pub backoff_until: Option<Time>,
    /// Mean latency, in milliseconds; `None` before the first success.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance delivers to the destination while it is healthy.
    pub baseline_rate: f64,
    /// Number of messages for the destination without a final outcome, those in flight included.
    pub pending: usize,
    /// Number of calls in flight.
    pub in_flight: usize,
}
