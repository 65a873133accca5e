//! Simulated destinations: their endpoints, rate limits, outages and recovery.

mod state;

pub use state::{CallResult, DestinationState};

use crate::distribution::ServiceTime;
use marblefall_scheduler::{Span, Time};

/// Lower bound of divisors, in s.
const MIN_DURATION_S: f64 = 1e-6;

/// A limit on the calls of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// A token bucket, full at the start.
    TokenBucket {
        /// Tokens per second.
        rate: f64,
        /// Capacity of the bucket.
        burst: f64,
    },
    /// Fixed windows; the next one starts with the first call after the last one has ended.
    FixedWindow {
        /// Calls per window.
        calls: u32,
        /// Length of a window.
        length: Span,
    },
}

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Connections are refused.
    RefuseConnections,
    /// Connections are reset.
    ResetConnections,
    /// No call is ever answered.
    Blackhole,
    /// Calls are answered with an error.
    ReturnErrors,
    /// Every call is rejected, with Retry-After if the destination sends one.
    RejectAll,
}

/// A period in which calls fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// How calls fail.
    pub kind: OutageKind,
    /// Its start.
    pub from: Time,
    /// Its end.
    pub until: Time,
    /// Share of the calls that fail.
    pub share: f64,
}

impl Outage {
    /// Whether it concerns every call.
    pub fn is_total(&self) -> bool {
        self.share >= 1.0
    }

    fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }
}

/// How capacity returns after an outage, and what overloads a recovering destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Share of the capacity that is available at first.
    pub initial_capacity: f64,
    /// Time from the first call until the full capacity is available.
    pub duration: Span,
    /// Multiple of the available capacity above which the destination is overloaded.
    pub overload_factor: f64,
    /// Time over which calls are counted for that.
    pub overload_window: Span,
    /// How long an overloaded destination refuses connections.
    pub overload_downtime: Span,
}

/// How a destination treats connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionPolicy {
    /// Connections that an endpoint accepts; no limit if `None`.
    pub max_open: Option<usize>,
    /// Idle time after which it closes a connection without notice; never if `None`.
    pub idle_close: Option<Span>,
    /// Time to establish a connection, beside the network's delay.
    pub connect: Span,
}

/// A destination as the scenario describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Its name.
    pub name: String,
    /// Number of its endpoints.
    pub endpoints: usize,
    /// How long a call takes.
    pub service_time: ServiceTime,
    /// Calls that an endpoint processes concurrently.
    pub servers: usize,
    /// Calls that may wait at an endpoint; further ones are rejected.
    pub queue: usize,
    /// Its rate limit, if any.
    pub limit: Option<RateLimit>,
    /// Whether rejections carry Retry-After.
    pub sends_retry_after: bool,
    /// Whether rejected calls count against the rate limit.
    pub counts_rejected: bool,
    /// Share of the calls that is rejected at random.
    pub rejection_rate: f64,
    /// Its outages.
    pub outages: Vec<Outage>,
    /// How it recovers from them; at once and without risk if `None`.
    pub warm_up: Option<WarmUp>,
    /// Calls per second that the endpoint list advertises, if it does.
    pub advertised_rate: Option<f64>,
    /// How it treats connections; without limit and cost if `None`.
    pub connection_policy: Option<ConnectionPolicy>,
}

impl Destination {
    /// Calls per second that it can process when it is warmed up.
    pub fn capacity(&self) -> f64 {
        let served = (self.endpoints * self.servers) as f64
            / (self.service_time.mean_ms / 1000.0).max(MIN_DURATION_S);
        match self.limit {
            Some(RateLimit::TokenBucket { rate, .. }) => served.min(rate),
            Some(RateLimit::FixedWindow { calls, length }) => {
                served.min(f64::from(calls) / length.secs().max(MIN_DURATION_S))
            }
            None => served,
        }
    }
}
