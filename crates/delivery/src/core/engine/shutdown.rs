//! The last seconds of the process: when no message is accepted and no attempt is started any more.

use super::{Batch, Engine, STEP_TIMER_TOKEN};
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;

/// An attempt is not started within this time before the end of the process.
pub(super) const ATTEMPT_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(1_200_000);
/// A message is not accepted within this time before the end of the process.
pub(super) const ACCEPTANCE_CUTOFF_BEFORE_SHUTDOWN: scheduler::Span = scheduler::Span(2_200_000);

impl Engine {
    /// Notes when the process ends, without a successor that runs.
    pub(super) fn prepare_shutdown(&mut self, deadline: scheduler::Time) {
        self.shutdown_at = Some(deadline);
        self.schedule_step_at_attempt_cutoff(deadline);
    }

    /// Has the engine stepped when the last attempt may have been started.
    pub(super) fn schedule_step_at_attempt_cutoff(&mut self, shutdown_at: scheduler::Time) {
        self.timers.insert((
            shutdown_at - ATTEMPT_CUTOFF_BEFORE_SHUTDOWN,
            STEP_TIMER_TOKEN,
        ));
    }

    /// Gives the scheduler a list without endpoints, so that it starts nothing that could not finish in this
    /// incarnation.
    pub(super) fn stop_attempts_before_shutdown(&mut self, batch: &mut Batch<'_>) {
        self.attempts_stopped |= self.ends_within(batch.now, ATTEMPT_CUTOFF_BEFORE_SHUTDOWN);
        if self.attempts_stopped {
            batch
                .scheduler_events
                .push(scheduler::Event::EndpointsReplaced(Vec::new()));
        }
    }

    /// Whether the process ends within a time.
    pub(super) fn ends_within(&self, now: Timestamp, duration: scheduler::Span) -> bool {
        self.shutdown_at
            .is_some_and(|end| end - now.monotonic <= duration)
    }
}
