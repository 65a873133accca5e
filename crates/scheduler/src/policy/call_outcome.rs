//! Effects of the outcome of a call or health check on the health, limits and latencies of its
//! endpoint and route.

use crate::interface::{Outcome, Span, Time};
use crate::scheduler::Scheduler;
use crate::state::{EndedCall, RouteId};

/// Minimum rate of the rate limiters of all instances together, in calls per second, so that no route is
/// starved.
const MIN_LIMITED_RATE: f64 = 1.2;

impl Scheduler {
    /// Updates the health, limits and latencies of an endpoint and its route after a call or health check.
    pub(crate) fn observe_outcome(&mut self, now: Time, call: &EndedCall) {
        let Some(endpoint) = self.endpoints.get(&call.endpoint) else {
            return;
        };
        let route = endpoint.route;
        if call.duration.is_some() {
            self.call_ended(now, call.endpoint, call.sent);
        }
        match call.outcome {
            Outcome::Delivered => self.observe_success(now, route, call),
            Outcome::Rejected { retry_after } => {
                self.observe_rejection(now, route, call.sent, retry_after);
            }
            Outcome::ConnectFailed if self.endpoints[&call.endpoint].serves_other_connections() => {
                self.endpoint_mut(call.endpoint).cap_connections(now);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.observe_failure(now, route, call);
            }
            // Endpoints drop many idle connections at once. Counting these as failures would eject routes.
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
        let answered = call.outcome == Outcome::Delivered;
        self.update_health(now, route, call.sent, answered);
    }

    fn observe_success(&mut self, now: Time, id: RouteId, call: &EndedCall) {
        let view = self.limit_view(&self.routes[&id]);
        let ramp_duration = self.settings.rules.ramp_duration;
        self.loss_rate.call_succeeded();
        if let Some(latency) = call.duration {
            self.observe_latency(call.endpoint, latency);
        }
        self.endpoint_mut(call.endpoint).succeeded(now);
        self.ramp_after_silence(now, id);
        self.route_mut(id)
            .succeeded(now, call.sent, ramp_duration, view);
        self.rejection_holds.remove(&id.destination);
    }

    fn observe_rejection(&mut self, now: Time, id: RouteId, sent: Time, retry_after: Option<Span>) {
        self.hold_after_rejection(now, id, retry_after);
        let view = self.limit_view(&self.routes[&id]);
        let min_rate = MIN_LIMITED_RATE / self.instances();
        let overload_window = self.settings.rules.overload_window;
        let route = self.route_mut(id);
        route.back_off(now + retry_after.unwrap_or(Span::ZERO));
        route.rejected(now, sent, min_rate, view);
        // A rate limit never requests a longer wait than its window, so the route is out of service.
        if retry_after.is_some_and(|wait| wait > overload_window) {
            route.failures.reach_ejection_threshold();
        }
    }

    fn observe_failure(&mut self, now: Time, id: RouteId, call: &EndedCall) {
        self.endpoint_mut(call.endpoint).failed(now);
        if call.duration.is_some() && call.outcome == Outcome::TimedOut {
            self.observe_timeout(id, call.sent);
        }
        self.route_mut(id).failures.failed(call.sent);
    }
}
