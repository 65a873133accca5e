//! The settings of a group: leases, timeouts, and what a network partition costs.

use marblefall_time::Span;

/// What a network partition costs, by the operators' choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PartitionPolicy {
    /// A member that has not reached the leader for longer than its lease stops acting; changes then complete without it.
    Stop,
    /// It continues to act; changes wait for it.
    Serve,
}

/// The settings of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CoordinationSettings {
    /// What a network partition costs.
    pub partition_policy: PartitionPolicy,
    /// How long a lease lasts, under [`PartitionPolicy::Stop`].
    pub lease_duration: Span,
    /// By how many hundredths two clocks may differ in speed.
    pub clock_drift_percent: i64,
    /// How long a change may wait for the members' verdicts, under [`PartitionPolicy::Stop`].
    pub check_timeout: Span,
    /// How long members may be quiesced before the change is withdrawn.
    pub quiesce_timeout: Span,
    /// A message without a response is sent again after this.
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
        span.0 * self.clock_drift_percent / 100
    }
}
