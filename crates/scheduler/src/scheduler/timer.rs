//! The scheduler's single timer, set to the next time at which a decision may change without an event.

use super::Scheduler;
use crate::interface::{Action, Time};
use crate::state::Route;

/// A timer that was requested and has not fired.
#[derive(Clone, Copy)]
pub(super) struct Timer {
    at: Time,
    token: u64,
}

impl Scheduler {
    pub(super) fn timer_fired(&mut self, token: u64) {
        self.timer = self.timer.filter(|timer| timer.token != token);
    }

    /// Sets the timer, unless it is already set for the same or an earlier time.
    pub(super) fn set_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let earliest = now + self.settings.min_batch_interval;
        let next = self.next_change(now).map(|at| at.max(earliest));
        let Some(at) = next.filter(|at| self.timer.is_none_or(|timer| timer.at > *at)) else {
            return;
        };
        self.last_timer_token += 1;
        let token = self.last_timer_token;
        self.timer = Some(Timer { at, token });
        actions.push(Action::SetTimer { at, token });
    }

    /// Returns the next time at which a decision may change without an event.
    fn next_change(&self, now: Time) -> Option<Time> {
        let mut times: Vec<Time> = self.subscription.retry_at().into_iter().collect();
        self.extend_with_undeliverable_times(&mut times);
        self.extend_with_ordering_times(now, &mut times);
        self.extend_with_next_calls(now, &mut times);
        times.into_iter().min()
    }

    /// Adds the times at which pending messages become undeliverable.
    fn extend_with_undeliverable_times(&self, times: &mut Vec<Time>) {
        for (destination, queue) in self.pending.by_destination() {
            let fastest = self.fastest_latency(destination);
            let first_untried = queue.untried.first().map(|(_, id)| id);
            let candidates = first_untried.into_iter().chain(&queue.tried);
            times.extend(candidates.map(|id| self.undeliverable_at(&self.messages[id], fastest)));
        }
    }

    /// Adds the times at which pauses of ordering keys end.
    fn extend_with_ordering_times(&self, now: Time, times: &mut Vec<Time>) {
        if self.ordering_queues.is_empty() {
            return;
        }
        let pending = self.pending.all();
        let permitted = pending.filter_map(|id| self.ordering_permits_at(id, &self.messages[&id]));
        times.extend(permitted.filter(|at| *at > now));
    }

    /// Adds the times at which routes may be sent a call or a health check.
    fn extend_with_next_calls(&self, now: Time, times: &mut Vec<Time>) {
        let next_call_at = |route: &Route| self.next_call_at(now, route).filter(|at| *at > now);
        if self.calls.len() < self.settings.limits.max_in_flight {
            let routes = self
                .pending
                .by_destination()
                .flat_map(|(id, _)| self.active_routes(id));
            times.extend(routes.filter_map(next_call_at));
        }
        if self.settings.limits.health_checks_allowed {
            let ejected = self.ejected_routes.iter();
            let checkable = ejected.filter(|route| self.health_check_endpoint(**route).is_some());
            times.extend(checkable.filter_map(|id| next_call_at(&self.routes[id])));
        }
    }
}
