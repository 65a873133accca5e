//! Steps of a hot restart that a transient error kept from being taken: the system had no descriptor for a file of the
//! journal, say. They are taken again, in their order, until they succeed; what comes after them waits behind them.

use super::EngineEvent;
use marblefall_scheduler::{Span, Time};

/// How often a step is tried again.
const RETRY_INTERVAL: Span = Span(20_000);

/// Events whose step is to be taken again.
#[derive(Debug)]
pub(super) struct Postponed {
    events: Vec<EngineEvent>,
    retry_at: Time,
}

impl Default for Postponed {
    fn default() -> Postponed {
        Postponed {
            events: Vec::new(),
            retry_at: Time(i64::MIN),
        }
    }
}

impl Postponed {
    /// Whether an event has to wait behind those that are postponed.
    pub(super) fn holds_back(&self, event: &EngineEvent) -> bool {
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

    /// Drops all of them: another incarnation decides from now on, and reads the journal itself.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }

    /// When the next try is due, if there is anything to be tried.
    pub(super) fn next_try(&self) -> Option<Time> {
        (!self.events.is_empty()).then_some(self.retry_at)
    }

    /// The events of a step: those that are due to be tried again go first.
    pub(super) fn take_due(&mut self, now: Time, events: Vec<EngineEvent>) -> Vec<EngineEvent> {
        if self.events.is_empty() || now < self.retry_at {
            return events;
        }
        let mut due = std::mem::take(&mut self.events);
        due.extend(events);
        due
    }
}
