//! Which message is sent where: the ordinary path.

use super::health::{FAILURE_MEMORY, LOSSY, MAX_PRESSURE};
use crate::interface::{
    Action, DestinationId, EndpointId, EndpointStatus, Idempotency, MessageId, Span, Time,
};
use crate::pending_queue::DestinationQueue;
use crate::scheduler::Scheduler;
use crate::state::{Attempt, Call, Endpoint, Message, Route, RECENT};

/// An attempt times out after this many mean latencies ...
const TIMEOUT_FACTOR: f64 = 6.0;
/// ... but never before, in ms: short calls say little of a busy moment.
const MIN_TIMEOUT_MS: f64 = 1200.0;
/// Each attempt that timed out since the last answer multiplies a route's time-out, not that of all routes
/// ...
const TIMEOUT_BACKOFF: f64 = 1.7;
/// ... up to this many times over.
const MAX_TIMEOUT_BACKOFFS: i32 = 3;
/// As many times the time-out for what may not be repeated once abandoned.
const NON_IDEMPOTENT_FACTOR: f64 = 3.0;
/// Where calls get lost while later ones are answered, time-outs are cut to a part.
const LOSSY_TIMEOUT_PART: f64 = 0.35;
/// What failed last costs so many times as much while another endpoint works.
const FAILED_COST_FACTOR: f64 = 1000.0;
/// How much a fee weighs against latency.
const FEE_WEIGHT: f64 = 20.0;
/// A new connection costs about this part of a call more.
const CONNECT_PART: f64 = 0.5;
/// Each call in flight at an endpoint adds this part of a call to its cost.
const QUEUED_PART: f64 = 0.5;
/// Instances that know the same must not do the same: each has seeded draws of its own for the endpoints that
/// it prefers, with this least weight on a shared and on a separate route.
const MIN_PREFERENCE: f64 = 0.03;
const MIN_SEPARATE_PREFERENCE: f64 = 0.15;

/// A message to send now, and where to.
struct Candidate {
    score: f64,
    message: MessageId,
    endpoint: EndpointId,
}

impl Scheduler {
    /// Sends while slots are free.
    pub(crate) fn send_pending(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.calls.len() < self.settings.limits.max_in_flight {
            let Some(Candidate {
                message, endpoint, ..
            }) = self.best(now)
            else {
                return;
            };
            let batch = [vec![message], self.batch_mates(now, message, endpoint)].concat();
            self.send(now, &batch, endpoint, actions);
        }
    }

    /// The pending message to send now, and where to.
    fn best(&self, now: Time) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        for (destination, queue) in self.pending.by_destination() {
            // Where what was never executed may not go, nothing may: of a shut destination none is looked at.
            let Some(any) = self.pick_endpoint(now, destination, None) else {
                continue;
            };
            for id in queue.all() {
                let message = &self.messages[&id];
                if self.order_allows_at(id, message).is_none_or(|at| at > now) {
                    continue;
                }
                let pick = match message.first_possible_execution {
                    None => Some(any),
                    Some(_) => self.pick_endpoint(now, destination, Some(message)),
                };
                let Some((endpoint, latency_ms)) = pick else {
                    continue;
                };
                let score = self.decayed_weight(now, message) / latency_ms;
                if best.as_ref().is_none_or(|best| {
                    score > best.score || score == best.score && id < best.message
                }) {
                    best = Some(Candidate {
                        score,
                        message: id,
                        endpoint,
                    });
                }
            }
        }
        best
    }

    /// The endpoint that a message would be sent to now, and its route's expected latency in ms. Without a
    /// message it is for one that was never executed and may go anywhere.
    fn pick_endpoint(
        &self,
        now: Time,
        to: DestinationId,
        message: Option<&Message>,
    ) -> Option<(EndpointId, f64)> {
        let mut best: Option<(f64, EndpointId, f64)> = None;
        for &id in self.destinations.get(&to)? {
            let endpoint = &self.endpoints[&id];
            let route = &self.routes[&endpoint.route];
            let cap = endpoint.connection_cap.as_ref();
            if endpoint.status != EndpointStatus::Active
                || cap.is_some_and(|cap| endpoint.in_flight >= cap.calls)
                || message.is_some_and(|message| !self.may_send(now, message, id, endpoint))
                || self.next_call_at(now, route).is_none_or(|at| at > now)
            {
                continue;
            }
            let cost = self.cost(now, id, endpoint, route);
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, id, self.expected_latency_ms(route)));
            }
        }
        best.map(|(_, id, latency_ms)| (id, latency_ms))
    }

    /// What a call to an endpoint costs, against those of other endpoints of its destination.
    fn cost(&self, now: Time, id: EndpointId, endpoint: &Endpoint, route: &Route) -> f64 {
        let route_latency_ms = self.expected_latency_ms(route);
        let latency_ms = endpoint.mean_latency_ms.unwrap_or(route_latency_ms);
        let mut cost = latency_ms * (1.0 + QUEUED_PART * endpoint.in_flight as f64);
        let limits = &self.settings.limits;
        let streams = limits.streams_per_connection.max(1);
        let unused = endpoint
            .last_used
            .is_none_or(|at| now - at > limits.idle_timeout);
        if unused || endpoint.in_flight >= endpoint.connections * streams {
            cost += CONNECT_PART * route_latency_ms;
        }
        let separate = endpoint.route.endpoint.is_some();
        if separate {
            let fee = self
                .settings
                .zone_fees
                .get(endpoint.zone.0)
                .copied()
                .unwrap_or(0.0);
            cost *= 1.0 + FEE_WEIGHT * fee;
        }
        let failed = endpoint
            .failed_at
            .is_some_and(|at| now - at < FAILURE_MEMORY);
        let shunned = if failed { FAILED_COST_FACTOR } else { 1.0 };
        // Exponential draws over rates: the least falls to each endpoint by its part of the rates.
        let draw = -self.seeded_fraction(u64::from(id.0)).clamp(0.02, 0.98).ln();
        let least = if separate {
            MIN_SEPARATE_PREFERENCE
        } else {
            MIN_PREFERENCE
        };
        let preference = self.unseen_load().max(least);
        cost *= shunned * (draw / route.advertised_rate.max(0.01)).powf(preference);
        let finish_time = self.finish_time(now, endpoint);
        finish_time.map_or(cost, |finish_time| finish_time + (shunned - 1.0) * 1e9)
    }

    /// Where weights are given, calls go by weighted round robin: each puts its endpoint's next one part in
    /// its weight off. None lies before the last call's: nobody makes up for what it missed while it was
    /// ejected or weighed less.
    fn finish_time(&self, now: Time, endpoint: &Endpoint) -> Option<f64> {
        let weight = endpoint.weight?;
        let recovered_at = endpoint.failed_at.map(|_| now).or(endpoint.recovered_at);
        let rules = &self.settings.rules;
        let capacity = recovered_at.map_or(1.0, |at| rules.capacity_share(now - at));
        let next = endpoint.virtual_finish_time + 1.0 / (weight * capacity).max(1e-9);
        Some(
            self.latest_finish_time(endpoint.route.destination)
                .max(next),
        )
    }

    /// From when on order by key lets a message go; `None` while others stand before it.
    pub(crate) fn order_allows_at(&self, id: MessageId, message: &Message) -> Option<Time> {
        let past = Time(i64::MIN);
        let queue = message
            .ordering_key
            .and_then(|key| self.ordering_queues.get(&key));
        let Some(queue) = queue else {
            return Some(past);
        };
        // A message's own further attempts do not wait for itself.
        let paused = message.first_possible_execution.is_none();
        let at = if paused { queue.paused_until } else { past };
        Some(at).filter(|_| queue.messages.front() == Some(&id))
    }

    /// Further messages that may share a call, the most valuable first.
    fn batch_mates(&self, now: Time, first: MessageId, endpoint: EndpointId) -> Vec<MessageId> {
        let to = &self.endpoints[&endpoint];
        let kind = self.settings.kinds.get(to.kind.0);
        let max_batch = kind.map_or(1, |kind| kind.max_batch.max(1));
        let queue = self
            .pending
            .of_destination(to.route.destination)
            .filter(|_| max_batch > 1);
        let fits = |id: &MessageId| {
            let message = &self.messages[id];
            *id != first
                && self.may_send(now, message, endpoint, to)
                && self
                    .order_allows_at(*id, message)
                    .is_some_and(|at| at <= now)
        };
        let mut mates: Vec<MessageId> = queue
            .into_iter()
            .flat_map(DestinationQueue::all)
            .filter(fits)
            .collect();
        let weight = |id: &MessageId| self.decayed_weight(now, &self.messages[id]);
        mates.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.cmp(b)));
        mates.truncate(max_batch - 1);
        mates
    }

    /// The only way out: one call with these messages to one endpoint.
    fn send(&mut self, now: Time, batch: &[MessageId], id: EndpointId, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[&id];
        let route_id = endpoint.route;
        let timeout_ms = self.timeout_ms(&self.routes[&route_id]);
        let reused_idle = endpoint.reuses_idle_connection(now, &self.settings.limits);
        let pressure = self.connection_pressure.get(&endpoint.kind);
        if reused_idle && pressure.is_some_and(|pressure| *pressure > MAX_PRESSURE) {
            actions.push(Action::CloseIdleConnections(id));
        }
        let call = self.next_call;
        self.next_call += 1;
        for &message_id in batch {
            let message = self
                .messages
                .get_mut(&message_id)
                .expect("pending messages are known");
            let class = &self.settings.classes[message.class.0];
            let once = class.idempotency == Idempotency::NonIdempotent;
            let factor = if once { NON_IDEMPOTENT_FACTOR } else { 1.0 };
            let route_timeout_at = now + Span::from_ms(timeout_ms * factor);
            let cut_by_deadline = message.deadline < route_timeout_at;
            let timeout_at = message.deadline.min(route_timeout_at);
            message.attempts += 1;
            message.in_flight = Some(Attempt {
                call,
                endpoint: id,
                sent: now,
                reused_idle,
                cut_by_deadline,
            });
            self.pending
                .remove(message.destination, message.deadline, message_id);
            actions.push(Action::Send {
                message: message_id,
                endpoint: id,
                timeout_at,
            });
        }
        self.calls.insert(
            call,
            Call {
                route: route_id,
                open_attempts: batch.len(),
            },
        );
        self.note_call(now, id);
    }

    /// The time-out of attempts at a route, in ms.
    fn timeout_ms(&self, route: &Route) -> f64 {
        let backoff = TIMEOUT_BACKOFF.powi(route.consecutive_timeouts.min(MAX_TIMEOUT_BACKOFFS));
        let part = if self.loss_rate > LOSSY {
            LOSSY_TIMEOUT_PART
        } else {
            1.0
        };
        (TIMEOUT_FACTOR * self.expected_latency_ms(route)).max(MIN_TIMEOUT_MS) * backoff * part
    }

    /// Notes a call that was sent.
    fn note_call(&mut self, now: Time, id: EndpointId) {
        let endpoint = &self.endpoints[&id];
        let finish_time = self.finish_time(now, endpoint);
        let rate_share = self.rate_share(&self.routes[&endpoint.route]);
        let endpoint = self.endpoints.get_mut(&id).expect("it was looked up");
        endpoint.virtual_finish_time = finish_time.unwrap_or(endpoint.virtual_finish_time);
        endpoint.call_sent(now, &self.settings.limits);
        let retention = RECENT.max(self.settings.rules.overload_window);
        let route = self.routes.get_mut(&endpoint.route);
        let route = route.expect("an endpoint has a route");
        route.call_sent(now, retention, rate_share);
    }
}
