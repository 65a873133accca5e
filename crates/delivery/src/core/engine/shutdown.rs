//! The last seconds of the process: when no message is accepted and no attempt is started any more.

use super::{Batch, Engine, STEP_TIMER};
use crate::core::Timestamp;
use marblefall_scheduler as m;

/// An attempt is not started within this time before the end of the process.
pub(super) const LAST_ATTEMPT_BEFORE_END: m::Span = m::Span(1_200_000);
/// A message is not accepted within this time before the end of the process.
pub(super) const LAST_ACCEPTED_BEFORE_END: m::Span = m::Span(2_200_000);

impl Engine {
    /// Notes when the process ends, without a successor that runs.
    pub(super) fn prepare_shutdown(&mut self, deadline: m::Time) {
        self.shutdown_at = Some(deadline);
        self.wake_for_last_attempt(deadline);
    }

    /// Has the engine stepped when the last attempt may have been started.
    pub(super) fn wake_for_last_attempt(&mut self, shutdown_at: m::Time) {
        self.timers
            .insert((shutdown_at - LAST_ATTEMPT_BEFORE_END, STEP_TIMER));
    }

    /// Gives the scheduler a list without endpoints, so that it starts nothing that could not finish in this
    /// incarnation.
    pub(super) fn stop_attempts_before_shutdown(&mut self, batch: &mut Batch<'_>) {
        self.attempts_stopped |= self.ends_within(batch.now, LAST_ATTEMPT_BEFORE_END);
        if self.attempts_stopped {
            batch
                .scheduler_events
                .push(m::Event::EndpointsReplaced(Vec::new()));
        }
    }

    /// Whether the process ends within a time.
    pub(super) fn ends_within(&self, now: Timestamp, time: m::Span) -> bool {
        self.shutdown_at
            .is_some_and(|end| end - now.monotonic <= time)
    }
}
