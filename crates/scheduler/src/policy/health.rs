//! What ends of calls and health checks tell: of latency, of a route's health, of its limit and of idle
//! connections.

use crate::interface::{Action, EndpointId, EndpointStatus, Outcome, Span, Time};
use crate::pending_queue::DestinationQueue;
use crate::rate_limiter::LimitView;
use crate::recovery_ramp::{Observation, RouteHealth};
use crate::scheduler::Scheduler;
use crate::state::{
    blend, Attempt, LostConnection, RejectionHold, RouteId, FAILURES_TO_EJECT, RECENT,
};

/// A route that answered nothing for so long may have been out, though too few calls failed to eject it.
pub(crate) const SILENT_FOR: Span = Span(5_000_000);
/// It matters where so many messages wait for it at all instances together ...
const SILENT_BACKLOG: f64 = 24.0;
/// ... or so many at each.
const MIN_SILENT_BACKLOG: f64 = 2.0;
/// A rate limiter never sinks under this part of a call per second, shared by all instances: no route starves
/// for good.
const MIN_LIMITED_RATE: f64 = 1.2;
/// A rejection holds a destination back for this part of the time between two calls of this instance's share
/// of a known limit: a hundred that come back sooner would keep it used up by rejected calls ...
const HOLD_PART: f64 = 1.0;
/// ... and for this part of it where the share is a guess ...
const GUESSED_HOLD_PART: f64 = 0.25;
/// ... twice as long with each further one in a row, over all its routes, up to this many times.
const MAX_HOLD_DOUBLINGS: u32 = 2;
/// So does a response that reports less than this share of the quota: the next call would be rejected.
const MIN_REMAINING: f64 = 0.3;
/// Weight of a served call in a kind's share of calls that got no connection, and in the share of lost calls
/// ...
const PRESSURE_WEIGHT: f64 = 0.02;
/// ... one after a failed connection counts more ...
const CONNECT_FAILURE_WEIGHT: f64 = 5.0;
/// ... as does one lost on an idle connection, though calls get lost otherwise too ...
const IDLE_LOSS_WEIGHT: f64 = 2.0;
/// ... and above this the kind's idle connections are not kept.
pub(crate) const MAX_PRESSURE: f64 = 0.03;
/// From this share of lost calls on time-outs are cut, and a lost call counts for less.
pub(crate) const LOSSY: f64 = 0.022;
const LOSSY_WEIGHT: f64 = 0.5;
/// A connection refused while others are open caps its endpoint's calls; after this, successes lift the cap.
const CAP_REST: Span = Span(1_000_000);
/// So long a failure counts against an endpoint.
pub(crate) const FAILURE_MEMORY: Span = Span(4_000_000);
/// Draws that a rejection's hold comes from.
const HOLD_DRAW_SHIFT: u32 = 20;

impl Scheduler {
    /// What the end of a call, or of a health check without a duration, tells of its endpoint and its route.
    pub(crate) fn learn(
        &mut self,
        now: Time,
        id: EndpointId,
        sent: Time,
        duration: Option<Span>,
        outcome: Outcome,
    ) {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return;
        };
        let route_id = endpoint.route;
        if duration.is_some() {
            self.call_ended(now, id, sent);
        }
        match outcome {
            Outcome::Delivered => self.learn_success(now, id, sent, duration),
            Outcome::Rejected { retry_after } => {
                self.learn_rejection(now, route_id, sent, retry_after);
            }
            Outcome::ConnectFailed if self.has_other_connections(id) => {
                self.cap_connections(now, id);
            }
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.endpoint_failed(now, id);
                let timed_out = duration.is_some() && outcome == Outcome::TimedOut;
                self.learn_failure(route_id, sent, timed_out);
            }
            // Endpoints drop idle connections by the dozen: taken for failures, routes would be ejected.
            Outcome::Cancelled | Outcome::NotSent | Outcome::StaleConnection => {}
        }
        self.judge(now, route_id, sent, outcome == Outcome::Delivered);
    }

    fn learn_success(&mut self, now: Time, id: EndpointId, sent: Time, duration: Option<Span>) {
        let route_id = self.endpoints[&id].route;
        let view = self.clear_limit_view(route_id);
        let min_backlog = (SILENT_BACKLOG / self.instances())
            .ceil()
            .max(MIN_SILENT_BACKLOG);
        let endpoint = self.endpoints.get_mut(&id).expect("it was just looked up");
        let route = self
            .routes
            .get_mut(&route_id)
            .expect("an endpoint has a route");
        self.loss_rate -= PRESSURE_WEIGHT * self.loss_rate;
        if let Some(duration) = duration {
            blend(&mut endpoint.mean_latency_ms, duration.ms());
            blend(&mut route.mean_latency_ms, duration.ms());
            blend(&mut self.mean_latency_ms, duration.ms());
        }
        endpoint.recovered_at = endpoint
            .failed_at
            .take()
            .map(|_| now)
            .or(endpoint.recovered_at);
        if let Some(cap) = &mut endpoint.connection_cap {
            cap.calls += usize::from(now - cap.since > CAP_REST);
        }
        if route.baseline_at.is_some_and(|at| now - at >= SILENT_FOR) {
            let queue = self.pending.of_destination(route_id.destination);
            if queue.map_or(0, DestinationQueue::len) >= min_backlog as usize {
                route.ramp.answered_after_silence(now);
            }
        }
        if route.was_rejecting(now) {
            route.ramp.answered_after_silence(now);
        }
        route.succeeded(now, sent, self.settings.rules.ramp_duration, view);
        self.rejection_holds.remove(&route_id.destination);
    }

    fn learn_rejection(&mut self, now: Time, id: RouteId, sent: Time, retry_after: Option<Span>) {
        let jitter = self.seeded_fraction(self.rejection_count << HOLD_DRAW_SHIFT);
        let interval_ms = self.call_interval_ms(now, id);
        let has_share = self.rate_share(&self.routes[&id]).is_some();
        let part = if has_share {
            HOLD_PART
        } else {
            GUESSED_HOLD_PART
        };
        let view = self.clear_limit_view(id);
        let min_rate = MIN_LIMITED_RATE / self.instances();
        let unseen_load = self.unseen_load();
        let route = self.routes.get_mut(&id).expect("an endpoint has a route");
        route.back_off(now + retry_after.unwrap_or(Span::ZERO));
        route.rejected(now, sent, min_rate, view);
        // No limit makes anyone wait longer than its window: the route is out of service. Harm: one does.
        if retry_after.is_some_and(|wait| wait > self.settings.rules.overload_window) {
            route.fail_for_good();
        }
        self.rejection_count += 1;
        let hold = self.rejection_holds.entry(id.destination).or_default();
        let doubled = f64::from(1u32 << hold.rejections.min(MAX_HOLD_DOUBLINGS));
        hold.rejections += 1;
        let asked_ms = retry_after.map_or(0.0, Span::ms);
        let hold_ms = unseen_load * (asked_ms + interval_ms * part * doubled * (0.5 + jitter));
        hold.until = now + Span::from_ms(hold_ms);
    }

    /// Time between two calls, in ms, if this instance kept to its part of all of the destination's routes.
    fn call_interval_ms(&self, now: Time, id: RouteId) -> f64 {
        let routes = id
            .endpoint
            .map_or(1, |_| self.destinations[&id.destination].len());
        1000.0 / (self.own_rate(now, &self.routes[&id]) * routes as f64)
    }

    /// The view of a route's limit, if this instance sees all of the load.
    fn clear_limit_view(&self, id: RouteId) -> Option<LimitView> {
        self.limit_view(&self.routes[&id])
            .filter(|_| self.unseen_load() == 0.0)
    }

    fn learn_failure(&mut self, id: RouteId, sent: Time, timed_out: bool) {
        let route = self.routes.get_mut(&id).expect("an endpoint has a route");
        let overtaken = Some(sent) < route.last_success_sent;
        route.consecutive_timeouts += i32::from(timed_out && !overtaken);
        if timed_out && overtaken {
            let weight = if self.loss_rate > LOSSY {
                LOSSY_WEIGHT
            } else {
                1.0
            };
            self.loss_rate += PRESSURE_WEIGHT * (weight - self.loss_rate);
        }
        route.failed(sent, 1.0);
    }

    /// Judges whether a route is to be ejected, and whether an ejected one recovers.
    fn judge(&mut self, now: Time, id: RouteId, sent: Time, answered: bool) {
        // As many failures in a row as come in the time that three take at a busy route, or a least.
        let least = FAILURES_TO_EJECT - self.unseen_load();
        let has_pending = || self.pending.has(id.destination);
        let route = self.routes.get_mut(&id);
        let route = route.expect("only routes in use are judged");
        let needed = (FAILURES_TO_EJECT * route.baseline_rate).clamp(least, FAILURES_TO_EJECT);
        let failing = route.consecutive_failures >= needed;
        let observation = Observation {
            sent,
            answered,
            failing,
        };
        let ramp_duration = self.settings.rules.ramp_duration;
        if !route
            .ramp
            .observe(now, observation, has_pending, ramp_duration)
        {
            return;
        }
        if route.ramp.is_ejected() {
            self.ejected_routes.insert(id);
            route.baseline_rate = route.baseline_rate(now);
            route.baseline_at = Some(now);
            self.log_lines.push(format!("{id}: ejected"));
        } else {
            self.ejected_routes.remove(&id);
            self.log_lines.push(format!("{id}: answers again"));
        }
    }

    /// Where a response reports that little of the quota remains, leaves a destination alone for about the
    /// time between two calls of this instance's share.
    pub(crate) fn spare_if_low(&mut self, now: Time, id: RouteId, remaining: Option<f64>) {
        if !remaining.is_some_and(|remaining| remaining < MIN_REMAINING) {
            return;
        }
        let Some(rate) = self.rate_share(&self.routes[&id]) else {
            return;
        };
        self.rejection_count += 1;
        let jitter = self.seeded_fraction(self.rejection_count << HOLD_DRAW_SHIFT);
        let until = now + Span::from_ms(1000.0 / rate * HOLD_PART * (0.5 + jitter));
        self.rejection_holds.insert(
            id.destination,
            RejectionHold {
                rejections: 0,
                until,
            },
        );
    }

    /// Idle connections do harm where an endpoint takes no more of them, and where they are dropped unseen:
    /// calls get no connection, or get lost on an idle one, while others are served. Then those of such a
    /// kind are closed after each call. Harm: each call pays for a new one.
    pub(crate) fn learn_connections(
        &mut self,
        now: Time,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get(&attempt.endpoint) else {
            return;
        };
        let kind = endpoint.kind;
        let loss = match outcome {
            Outcome::ConnectFailed => Some(CONNECT_FAILURE_WEIGHT),
            Outcome::TimedOut | Outcome::Reset if attempt.reused_idle => Some(IDLE_LOSS_WEIGHT),
            _ => None,
        };
        let unseen_load = self.unseen_load();
        let route = self
            .routes
            .get_mut(&endpoint.route)
            .expect("an endpoint has a route");
        let pressure = self.connection_pressure.entry(kind).or_default();
        let before = *pressure;
        if let Some(weight) = loss {
            route.lost_connection = Some(LostConnection { at: now, weight });
        } else if outcome == Outcome::Delivered {
            let lost = route.lost_connection.take();
            let lost = lost.filter(|lost| now - lost.at < FAILURE_MEMORY);
            let healthy = route.ramp.health() == RouteHealth::Healthy;
            let weight = lost.filter(|_| healthy).map_or(0.0, |lost| lost.weight);
            *pressure += PRESSURE_WEIGHT * (weight * unseen_load - *pressure);
        }
        if *pressure <= MAX_PRESSURE {
            return;
        }
        // All that are idle go at once when it is found out: each would hold its place for long.
        let newly_found = before <= MAX_PRESSURE;
        for (id, other) in &mut self.endpoints {
            let affected = *id == attempt.endpoint || newly_found && other.kind == kind;
            if affected && other.in_flight == 0 && other.last_used.is_some() {
                actions.push(Action::CloseIdleConnections(*id));
                other.last_used = None;
            }
        }
    }

    /// Where health checks are allowed, an ejected route is tried with one first.
    pub(crate) fn send_health_checks(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.settings.limits.health_checks_allowed {
            return;
        }
        let retention = RECENT.max(self.settings.rules.overload_window);
        for id in self.ejected_routes.clone() {
            let opens_at = self.next_call_at(now, &self.routes[&id]);
            let endpoint = self.health_check_endpoint(id);
            let Some(endpoint) = endpoint.filter(|_| opens_at.is_some_and(|at| at <= now)) else {
                continue;
            };
            let route = self.route_mut(id);
            route.health_check_in_flight = true;
            route.sent(now, retention);
            actions.push(Action::HealthCheck(endpoint));
        }
    }

    /// Takes the end of a health check.
    pub(crate) fn health_checked(&mut self, now: Time, id: EndpointId, outcome: Outcome) {
        let route = self
            .endpoints
            .get(&id)
            .and_then(|endpoint| self.routes.get_mut(&endpoint.route));
        if let Some(route) = route {
            route.health_check_in_flight = false;
        }
        self.learn(now, id, now, None, outcome);
    }

    /// The endpoint at which a route is checked.
    pub(crate) fn health_check_endpoint(&self, route: RouteId) -> Option<EndpointId> {
        let endpoints = self.destinations[&route.destination].iter().copied();
        let active = endpoints.filter(|id| {
            let endpoint = &self.endpoints[id];
            endpoint.status == EndpointStatus::Active && endpoint.route == route
        });
        active.min()
    }
}
