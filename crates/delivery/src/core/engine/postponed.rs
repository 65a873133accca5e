//! Events of a hot restart whose step failed with a transient error, such as a lack of file descriptors for the journal.
//! They are retried in order until they succeed, and events that depend on them are postponed as well.

use super::EngineEvent;
use marblefall_scheduler::{Span, Time};

/// Delay before postponed events are handled again.
const RETRY_INTERVAL: Span = Span(20_000);

/// The postponed events and the time of their next retry.
#[derive(Debug)]
pub(super) struct PostponedEvents {
    events: Vec<EngineEvent>,
    retry_at: Time,
}

impl Default for PostponedEvents {
    fn default() -> PostponedEvents {
        PostponedEvents {
            events: Vec::new(),
            retry_at: Time::MIN,
        }
    }
}

impl PostponedEvents {
    /// Returns whether an event must wait until the postponed events have succeeded.
    pub(super) fn must_wait(&self, event: &EngineEvent) -> bool {
        let depends_on_order = matches!(
            event,
            EngineEvent::TakeOver { .. }
                | EngineEvent::PredecessorExited(_)
                | EngineEvent::StandbyExited(_)
        );
        depends_on_order && !self.events.is_empty()
    }

    /// Postpones an event.
    pub(super) fn push(&mut self, now: Time, event: EngineEvent) {
        if self.events.is_empty() {
            self.retry_at = now + RETRY_INTERVAL;
        }
        self.events.push(event);
    }

    /// Drops all events, once another incarnation is active and reads the journal itself.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// Returns the time of the next retry, if there are postponed events.
    pub(super) fn next_retry(&self) -> Option<Time> {
        (!self.events.is_empty()).then_some(self.retry_at)
    }

    /// Returns the events of a step, preceded by the postponed ones if their retry is due.
    pub(super) fn take_due(&mut self, now: Time, events: Vec<EngineEvent>) -> Vec<EngineEvent> {
        if self.events.is_empty() || now < self.retry_at {
            return events;
        }
        let mut due = std::mem::take(&mut self.events);
        due.extend(events);
        due
    }
}
