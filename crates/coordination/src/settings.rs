//! The settings of a group: leases, timeouts, and the behaviour in a network partition.

use marblefall_time::Span;

/// Hundredths in a whole.
const PERCENT: i64 = 100;

/// What a member does while it cannot reach the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionPolicy {
    /// It stops acting when its lease expires. Changes then complete without it.
    Stop,
    /// It continues to act; changes wait for it.
    Serve,
}

/// The settings of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CoordinationSettings {
    /// What a member does while it cannot reach the leader.
    pub partition_policy: PartitionPolicy,
    /// The duration of a lease, under [`PartitionPolicy::Stop`].
    pub lease_duration: Span,
    /// Maximum difference in speed between two clocks, in percent.
    pub clock_drift_percent: i64,
    /// Time after which a change without all members' verdicts is withdrawn, under [`PartitionPolicy::Stop`].
    pub check_timeout: Span,
    /// Time after which a change is withdrawn, if not all members are quiesced.
    pub quiesce_timeout: Span,
    /// Time after which a message without a response is sent again.
    pub resend_interval: Span,
}

impl CoordinationSettings {
    /// The longest time that can pass on one clock while `span` passes on another.
    pub fn max_elapsed(&self, span: Span) -> Span {
        Span(span.0 + self.drift(span) + 1)
    }

    /// The shortest time that can pass on one clock while `span` passes on another.
    pub fn min_elapsed(&self, span: Span) -> Span {
        Span(span.0 - self.drift(span) - 1)
    }

    fn drift(&self, span: Span) -> i64 {
        span.0 * self.clock_drift_percent / PERCENT
    }
}
