//! The last seconds of the process, in which no message is accepted and no attempt is started.

use super::{Batch, Engine, STEP_TIMER_TOKEN};
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;

/// No attempt is started within this time before the process ends.
pub(super) const ATTEMPT_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(1_200_000);
/// No message is accepted within this time before the process ends.
pub(super) const ACCEPTANCE_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(2_200_000);

impl Engine {
    /// Records the latest time at which the process ends, when no successor is running.
    pub(super) fn prepare_shutdown(&mut self, deadline: scheduler::Time) {
        self.shutdown_at = Some(deadline);
        self.schedule_step_at_attempt_cutoff(deadline);
    }

    /// Schedules a step at the time from which no attempt may be started any more.
    pub(super) fn schedule_step_at_attempt_cutoff(&mut self, shutdown_at: scheduler::Time) {
        self.timers.insert((
            shutdown_at - ATTEMPT_CUTOFF_BEFORE_SHUTDOWN,
            STEP_TIMER_TOKEN,
        ));
    }

    /// Passes an empty endpoint list to the scheduler, so that it starts no attempt that could not finish in this
    /// incarnation.
    pub(super) fn stop_attempts_before_shutdown(&mut self, batch: &mut Batch<'_>) {
        self.attempts_stopped |= self.ends_within(batch.now, ATTEMPT_CUTOFF_BEFORE_SHUTDOWN);
        if self.attempts_stopped {
            batch
                .scheduler_events
                .push(scheduler::Event::EndpointsReplaced(Vec::new()));
        }
    }

    /// Returns whether the process ends within a duration.
    pub(super) fn ends_within(&self, now: Timestamp, duration: scheduler::Span) -> bool {
        self.shutdown_at
            .is_some_and(|end| end - now.monotonic <= duration)
    }
}
