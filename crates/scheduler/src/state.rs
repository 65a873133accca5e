//! What a scheduler keeps of messages, endpoints and routes. Nothing is decided here.

mod message;
mod route;

pub(crate) use message::{Attempt, Message, OrderingQueue};
pub(crate) use route::{
    LostConnection, Route, RouteId, BASELINE_TIME_S, FAILURES_TO_EJECT, RECENT,
};

use crate::interface::{EndpointStatus, KindId, Limits, Span, Time, ZoneId};

/// A connection unused for longer may have been dropped unseen.
const IDLE_PAUSE: Span = Span(500_000);
/// Weight of the newest latency in a mean: about the last eight count.
const LATENCY_WEIGHT: f64 = 0.12;
/// Latencies have long tails: one moves a mean by this multiple of it at most.
const TAIL_CLIP: f64 = 4.0;

/// An endpoint of a destination.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub kind: KindId,
    pub zone: ZoneId,
    pub status: EndpointStatus,
    pub route: RouteId,
    pub mean_latency_ms: Option<f64>,
    /// Calls in flight.
    pub in_flight: usize,
    /// Connections that are open, as far as the calls tell.
    pub connections: usize,
    pub last_used: Option<Time>,
    pub failed_at: Option<Time>,
    pub connection_cap: Option<ConnectionCap>,
    pub weight: Option<f64>,
    /// When its last call was due in the weighted round robin.
    pub virtual_finish_time: f64,
    /// When it first answered after a failure.
    pub recovered_at: Option<Time>,
}

impl Endpoint {
    /// Notes a call that is sent.
    pub fn call_sent(&mut self, now: Time, limits: &Limits) {
        if self
            .last_used
            .is_none_or(|at| now - at > limits.idle_timeout)
        {
            self.connections = 0;
        }
        self.in_flight += 1;
        self.last_used = Some(now);
        let streams = limits.streams_per_connection.max(1);
        self.connections = self.connections.max(self.in_flight.div_ceil(streams));
    }

    /// Whether a call now would go over a connection that has been idle.
    pub fn reuses_idle_connection(&self, now: Time, limits: &Limits) -> bool {
        let kept = |at| now - at > IDLE_PAUSE && now - at < limits.idle_timeout;
        self.in_flight == 0 && self.last_used.is_some_and(kept)
    }

    /// Notes the end of a call.
    pub fn call_ended(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used = Some(now);
    }
}

/// The calls that an endpoint has connections for, and since when that is assumed.
pub(crate) struct ConnectionCap {
    pub calls: usize,
    pub since: Time,
}

/// Rejections of a destination in a row, over all its routes, and until when they hold it back.
#[derive(Default)]
pub(crate) struct RejectionHold {
    pub rejections: u32,
    pub until: Time,
}

/// A call in flight.
pub(crate) struct Call {
    pub route: RouteId,
    /// Messages of it that still lack their outcome.
    pub open_attempts: usize,
}

/// The rate of a tenant's messages as it was at a time.
#[derive(Clone, Copy, Default)]
pub(crate) struct TenantRate {
    pub per_s: f64,
    pub at: Time,
}

/// The one timer that is set.
#[derive(Clone, Copy)]
pub(crate) struct Timer {
    pub at: Time,
    pub token: u64,
}

/// Blends a sample into a moving mean.
pub(crate) fn blend(mean: &mut Option<f64>, sample: f64) {
    *mean = Some(match *mean {
        None => sample,
        Some(mean) => mean + LATENCY_WEIGHT * (sample.min(TAIL_CLIP * mean.max(1.0)) - mean),
    });
}
