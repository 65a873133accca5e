//! The one timer: set for the next moment at which something can change without an event.

use super::Scheduler;
use crate::interface::{Action, Time};
use crate::state::{Route, Timer};

impl Scheduler {
    pub(super) fn timer_fired(&mut self, token: u64) {
        self.timer = self.timer.filter(|timer| timer.token != token);
    }

    /// Sets the timer, unless it is set for an earlier moment already.
    pub(super) fn set_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let next = self
            .next_change(now)
            .map(|at| at.max(now + self.settings.min_batch_interval));
        let Some(at) = next.filter(|at| self.timer.is_none_or(|timer| timer.at > *at)) else {
            return;
        };
        self.next_token += 1;
        let token = self.next_token;
        self.timer = Some(Timer { at, token });
        actions.push(Action::SetTimer { at, token });
    }

    /// When something can change without an event.
    fn next_change(&self, now: Time) -> Option<Time> {
        let mut times: Vec<Time> = self.resubscribe_at.into_iter().collect();
        for (destination, queue) in self.pending.by_destination() {
            let quickest = self.quickest_call(destination);
            let first_fresh = queue.fresh.first().map(|(_, id)| id);
            let candidates = first_fresh.into_iter().chain(&queue.tried);
            times.extend(candidates.map(|id| self.hopeless_at(&self.messages[id], quickest)));
        }
        if !self.ordering_queues.is_empty() {
            let pauses = self
                .pending
                .all()
                .filter_map(|id| self.order_allows_at(id, &self.messages[&id]));
            times.extend(pauses.filter(|at| *at > now));
        }
        let opens_at = |route: &Route| self.next_call_at(now, route).filter(|at| *at > now);
        if self.calls.len() < self.settings.limits.max_in_flight {
            let waited_for = self
                .pending
                .by_destination()
                .flat_map(|(id, _)| self.active_routes(id));
            times.extend(waited_for.filter_map(opens_at));
        }
        if self.settings.limits.health_checks_allowed {
            let ejected = self.ejected_routes.iter();
            let checkable = ejected.filter(|route| self.health_check_endpoint(**route).is_some());
            times.extend(checkable.filter_map(|id| opens_at(&self.routes[id])));
        }
        times.into_iter().min()
    }
}
