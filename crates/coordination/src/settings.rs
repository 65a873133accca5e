//! The settings of a group: leases, timeouts, and the behaviour during a network partition.

use marblefall_time::Span;

/// Divisor that converts percent to a fraction.
const PERCENT: i64 = 100;

/// Behaviour of a member while it cannot reach the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionPolicy {
    /// The member stops acting when its lease expires. Changes then complete without it.
    Stop,
    /// The member continues to act, and changes wait for it.
    Serve,
}

/// The settings of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CoordinationSettings {
    /// Behaviour of a member while it cannot reach the leader.
    pub partition_policy: PartitionPolicy,
    /// The duration of a lease, under [`PartitionPolicy::Stop`].
    pub lease_duration: Span,
    /// Maximum difference in rate between two members' clocks, in percent.
    pub clock_drift_percent: i64,
    /// Time after which a change is withdrawn if not all members have sent a verdict, under [`PartitionPolicy::Stop`].
    pub check_timeout: Span,
    /// Time after which a change is withdrawn if not all members are quiesced.
    pub quiesce_timeout: Span,
    /// Time after which a message without a response is resent.
    pub resend_interval: Span,
}

impl CoordinationSettings {
    /// Returns the longest time that can pass on one clock while `span` passes on another.
    pub fn max_elapsed(&self, span: Span) -> Span {
        Span(span.0 + self.drift(span) + 1)
    }

    /// Returns the shortest time that can pass on one clock while `span` passes on another.
    pub fn min_elapsed(&self, span: Span) -> Span {
        Span(span.0 - self.drift(span) - 1)
    }

    fn drift(&self, span: Span) -> i64 {
        span.0 * self.clock_drift_percent / PERCENT
    }
}
