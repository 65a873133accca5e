//! What is known of routes and destinations.

use super::Time;

/// What is kept of a route while its destination is idle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleRecord {
    /// The end of the backoff that it asked for.
    pub backoff_until: Option<Time>,
    /// It has been ejected since then.
    pub ejected_since: Option<Time>,
    /// It has been recovering since then.
    pub recovering_since: Option<Time>,
    /// Its mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance used to deliver there.
    pub baseline_rate: f64,
}

impl IdleRecord {
    /// The same with its times on another clock.
    pub fn map_times(self, clock: impl Fn(Time) -> Time) -> IdleRecord {
        IdleRecord {
            backoff_until: self.backoff_until.map(&clock),
            ejected_since: self.ejected_since.map(&clock),
            recovering_since: self.recovering_since.map(&clock),
            ..self
        }
    }

    /// Whether it says more of a route than is assumed of any.
    pub fn is_significant(&self) -> bool {
        self.backoff_until.is_some()
            || self.ejected_since.is_some()
            || self.recovering_since.is_some()
            || self.mean_latency_ms.is_some()
    }
}

/// State of a listed destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DestinationState {
    /// It has been ejected since then.
    pub ejected_since: Option<Time>,
    /// It has been recovering since then.
    pub recovering_since: Option<Time>,
    /// The end of the backoff that it asked for.
    pub backoff_until: Option<Time>,
    /// Its mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance usually delivers there.
    pub baseline_rate: f64,
    /// Messages for it that have no final outcome yet.
    pub pending: usize,
    /// Calls in flight.
    pub in_flight: usize,
}
