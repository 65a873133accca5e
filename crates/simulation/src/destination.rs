//! Simulated destinations: their endpoints, rate limits, outages and recovery.

mod state;

pub use state::{CallResult, DestinationState};

use crate::distribution::ServiceTime;
use marblefall_scheduler::{Span, Time};

/// Lower bound of divisors, in s.
const MIN_DURATION_S: f64 = 1e-6;

/// A limit on the total calls of all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimit {
    /// A token bucket, full at the start.
    TokenBucket {
        /// Refill rate, in tokens per second.
        rate: f64,
        /// Capacity of the bucket, in tokens.
        burst: f64,
    },
    /// Fixed windows. The next window starts with the first call after the end of the previous window.
    FixedWindow {
        /// Calls admitted per window.
        calls: u32,
        /// Length of a window.
        length: Span,
    },
}

/// The way in which calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Connections are refused.
    RefuseConnections,
    /// Connections are reset.
    ResetConnections,
    /// Calls are never answered.
    Blackhole,
    /// Calls are answered with an error.
    ReturnErrors,
    /// Calls are rejected, with Retry-After if the destination sends it.
    RejectAll,
}

/// A period in which calls fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// The way in which calls fail.
    pub kind: OutageKind,
    /// Start of the outage.
    pub from: Time,
    /// End of the outage (exclusive).
    pub until: Time,
    /// Share of the calls that fail, within 0 and 1.
    pub share: f64,
}

impl Outage {
    /// Returns whether every call fails during the outage.
    pub fn is_total(&self) -> bool {
        self.share >= 1.0
    }

    fn is_active(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }
}

/// Recovery of the capacity after an outage, and the load that makes a recovering destination fail again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Share of the capacity that is available at the first call.
    pub initial_capacity: f64,
    /// Time from the first call until the full capacity is available.
    pub duration: Span,
    /// Multiple of the available capacity above which the destination is overloaded.
    pub overload_factor: f64,
    /// Length of the sliding window in which calls are counted to detect overload.
    pub overload_window: Span,
    /// Time for which an overloaded destination refuses connections.
    pub overload_downtime: Span,
}

/// Limits and costs of connections to a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionPolicy {
    /// Maximum number of open connections per endpoint; `None` means no limit.
    pub max_open: Option<usize>,
    /// Idle time after which an endpoint closes a connection without notice; `None` means never.
    pub idle_close: Option<Span>,
    /// Time to establish a connection, in addition to the network delay.
    pub connect: Span,
}

/// Definition of a destination in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Name of the destination.
    pub name: String,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Distribution of the time to process a call.
    pub service_time: ServiceTime,
    /// Number of calls that an endpoint processes concurrently.
    pub servers: usize,
    /// Maximum number of calls that wait at an endpoint. Further calls are rejected.
    pub queue: usize,
    /// Rate limit; `None` means no limit.
    pub limit: Option<RateLimit>,
    /// Whether rejections carry Retry-After.
    pub sends_retry_after: bool,
    /// Whether rejected calls count against the rate limit.
    pub counts_rejected: bool,
    /// Share of the calls that are rejected at random.
    pub rejection_rate: f64,
    /// Outages of the destination.
    pub outages: Vec<Outage>,
    /// Recovery from an outage; `None` means full capacity at once and no overload.
    pub warm_up: Option<WarmUp>,
    /// Rate that the endpoint list advertises, in calls per second; `None` if it advertises no rate.
    pub advertised_rate: Option<f64>,
    /// Connection policy; `None` means connections without limit or cost.
    pub connection_policy: Option<ConnectionPolicy>,
}

impl Destination {
    /// Returns the calls per second that the destination can process when it is warmed up.
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
