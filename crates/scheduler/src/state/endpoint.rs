//! State of one endpoint: its calls, connections and failures.

use super::RouteId;
use crate::interface::{EndpointStatus, KindId, Limits, Span, Time, ZoneId};
use crate::mean_latency::MeanLatency;

/// Time without use after which a connection counts as idle: the endpoint may have dropped it without closing it.
const MIN_IDLE_TIME: Span = Span::from_secs(0.5);
/// Time for which a failure counts against an endpoint.
const FAILURE_RETENTION: Span = Span::from_secs(4.0);
/// Time after which each success raises a connection cap by one.
const CAP_GROWTH_DELAY: Span = Span::from_secs(1.0);

/// An endpoint of a destination.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub kind: KindId,
    pub zone: ZoneId,
    pub status: EndpointStatus,
    pub route: RouteId,
    pub mean_latency: MeanLatency,
    /// Number of calls in flight.
    pub in_flight: usize,
    /// Estimated number of open connections.
    pub connections: usize,
    /// Time of the last send or end of a call; `None` if unused or if its idle connections were closed.
    pub last_used: Option<Time>,
    /// Time of the last failure, until the endpoint answers again.
    pub failed_at: Option<Time>,
    /// Time of the first success after the last failure.
    pub recovered_at: Option<Time>,
    pub connection_cap: Option<ConnectionCap>,
    pub weight: Option<f64>,
    /// Virtual finish time of the last call in the weighted round robin.
    pub virtual_finish_time: f64,
}

/// Limit on the calls in flight to an endpoint that refused a further connection.
pub(crate) struct ConnectionCap {
    calls: usize,
    since: Time,
}

impl Endpoint {
    /// Records a sent call.
    pub fn call_sent(&mut self, now: Time, limits: &Limits) {
        if self.is_unused(now, limits) {
            self.connections = 0;
        }
        self.in_flight += 1;
        self.last_used = Some(now);
        let streams = limits.streams_per_connection.max(1);
        self.connections = self.connections.max(self.in_flight.div_ceil(streams));
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used = Some(now);
    }

    /// Records a success: the endpoint recovers from a failure, and its connection cap grows.
    pub fn succeeded(&mut self, now: Time) {
        if self.failed_at.take().is_some() {
            self.recovered_at = Some(now);
        }
        if let Some(cap) = &mut self.connection_cap {
            cap.calls += usize::from(now - cap.since > CAP_GROWTH_DELAY);
        }
    }

    /// Records a failure, after which only the connections of the calls in flight are assumed to be open.
    pub fn failed(&mut self, now: Time) {
        self.failed_at = Some(now);
        self.connections = self.in_flight;
    }

    /// Records that the endpoint accepts no more connections than those of the calls in flight.
    pub fn cap_connections(&mut self, now: Time) {
        self.connection_cap = Some(ConnectionCap {
            calls: self.in_flight,
            since: now,
        });
    }

    /// Whether the connection cap admits no further call.
    pub fn is_at_connection_cap(&self) -> bool {
        let cap = self.connection_cap.as_ref();
        cap.is_some_and(|cap| self.in_flight >= cap.calls)
    }

    /// Whether the endpoint has failed recently and not answered since.
    pub fn has_failed_recently(&self, now: Time) -> bool {
        self.failed_at
            .is_some_and(|at| now - at < FAILURE_RETENTION)
    }

    /// Whether the endpoint serves calls on other connections, so that a refused connection is no failure.
    pub fn serves_other_connections(&self) -> bool {
        self.in_flight > 0 && self.failed_at.is_none()
    }

    /// Whether a call now would reuse a connection that has been idle.
    pub fn reuses_idle_connection(&self, now: Time, limits: &Limits) -> bool {
        let is_idle = |at| now - at > MIN_IDLE_TIME && now - at < limits.idle_timeout;
        self.in_flight == 0 && self.last_used.is_some_and(is_idle)
    }

    /// Whether a call now would need a new connection.
    pub fn needs_new_connection(&self, now: Time, limits: &Limits) -> bool {
        let streams = limits.streams_per_connection.max(1);
        self.is_unused(now, limits) || self.in_flight >= self.connections * streams
    }

    /// Whether the endpoint has not been used for longer than connections stay open.
    fn is_unused(&self, now: Time, limits: &Limits) -> bool {
        self.last_used
            .is_none_or(|at| now - at > limits.idle_timeout)
    }
}
