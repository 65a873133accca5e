//! The scheduler of one instance: it takes batches of events, keeps its state by them, and lets the policy decide.
//!
//! What it keeps is in [`state`](crate::state), what it decides in [`policy`](crate::policy). The order of a batch is that
//! of [`Scheduler::handle`]: events first, then what can no longer be delivered, health checks, sends, and last what there
//! is no room for.

mod calls;
mod endpoint_list;
mod hot_restart;
mod idle;
mod messages;
mod timer;

use crate::interface::{
    Action, DestinationId, DiscoveryMode, EndpointId, EndpointStatus, Event, KindId, MessageId,
    OrderingKey, Outcome, RateLimitReport, Settings, Span, Time,
};
use crate::pending_queue::PendingQueue;
use crate::state::{
    Call, Endpoint, Message, OrderingQueue, RejectionHold, Route, RouteId, TenantRate, Timer,
};
use std::collections::{BTreeMap, BTreeSet};

/// Up to so many instances see enough of the load to go by what they see.
const FEW_INSTANCES: f64 = 4.0;

/// The scheduler of one instance.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) pending: PendingQueue,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) destinations: BTreeMap<DestinationId, Vec<EndpointId>>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) rejection_holds: BTreeMap<DestinationId, RejectionHold>,
    /// Rejections so far, for draws that differ from one to the next.
    pub(crate) rejection_count: u64,
    /// Calls in flight, by number.
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) ordering_queues: BTreeMap<OrderingKey, OrderingQueue>,
    /// By tenant.
    pub(crate) tenant_rates: Vec<TenantRate>,
    /// Mean latency over all routes.
    pub(crate) mean_latency_ms: Option<f64>,
    /// Messages accepted since the start.
    pub(crate) accepted_count: f64,
    pub(crate) started_at: Option<Time>,
    pub(crate) ejected_routes: BTreeSet<RouteId>,
    /// Removed endpoints may not be forgotten yet.
    has_removed_endpoints: bool,
    /// For each kind, the moving share of calls that got no connection where others were served.
    pub(crate) connection_pressure: BTreeMap<KindId, f64>,
    timer: Option<Timer>,
    next_token: u64,
    resubscribe_at: Option<Time>,
    /// Requests for the endpoint list that failed in a row.
    list_failures: i32,
    /// Moving share of calls that later ones at their route overtook and that never came back.
    pub(crate) loss_rate: f64,
    pub(crate) log_lines: Vec<String>,
}

/// The end of an attempt.
struct AttemptEnd {
    message: MessageId,
    outcome: Outcome,
    duration: Span,
    is_final: bool,
    rate_limit: RateLimitReport,
}

impl Scheduler {
    /// A scheduler that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        let tenant_rates = vec![TenantRate::default(); settings.tenants.len()];
        Scheduler {
            tenant_rates,
            settings,
            seed,
            ..Scheduler::default()
        }
    }

    /// Takes all events of one batch, then decides.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.subscribe_if_due(now, actions);
        self.started_at.get_or_insert(now);
        for event in events {
            self.apply(now, event, actions);
        }
        self.forget_removed_endpoints();
        self.give_up(now, actions);
        self.send_health_checks(now, actions);
        self.send_pending(now, actions);
        self.make_room(now, actions);
        self.set_timer(now, actions);
        self.ordering_queues
            .retain(|_, queue| !queue.messages.is_empty() || queue.paused_until > now);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
    }

    fn apply(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Accepted(message) => self.accept(now, message, None, actions),
            Event::Resumed(message, prior) => self.accept(now, message, Some(prior), actions),
            Event::AttemptFinished {
                message,
                outcome,
                duration,
                is_final,
                rate_limit,
                ..
            } => {
                let end = AttemptEnd {
                    message: *message,
                    outcome: *outcome,
                    duration: *duration,
                    is_final: *is_final,
                    rate_limit: *rate_limit,
                };
                self.attempt_finished(now, &end, actions);
            }
            Event::Cancelled(message) => self.cancel(*message, actions),
            Event::TimerFired(token) => self.timer_fired(*token),
            Event::HealthChecked {
                endpoint, outcome, ..
            } => {
                self.health_checked(now, *endpoint, *outcome);
            }
            Event::EndpointsReplaced(updates) => self.replace_endpoints(updates),
            Event::EndpointsUpdated(updates) => self.update_endpoints(updates),
            Event::RouteRestored(destination, endpoint, record) => {
                let route = RouteId {
                    destination: *destination,
                    endpoint: *endpoint,
                };
                self.restore_route(now, route, record);
            }
            Event::BackoffNotified(destination, endpoint, until) => {
                self.note_backoff(*destination, *endpoint, *until);
            }
            Event::EndpointListFailed => self.retry_subscription(now),
        }
    }

    fn subscribe_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.settings.discovery != DiscoveryMode::Subscribe {
            return;
        }
        let retry_due = self.resubscribe_at.is_some_and(|at| at <= now);
        if self.started_at.is_none() || retry_due {
            self.resubscribe_at = None;
            actions.push(Action::Subscribe);
        }
    }

    /// The routes of a destination's active endpoints.
    pub(crate) fn active_routes(&self, id: DestinationId) -> impl Iterator<Item = &Route> {
        let ids = self.destinations.get(&id).into_iter().flatten();
        let endpoints = ids.map(|id| &self.endpoints[id]);
        let active = endpoints.filter(|endpoint| endpoint.status == EndpointStatus::Active);
        active.map(|endpoint| &self.routes[&endpoint.route])
    }

    /// The latest virtual finish time of a destination's endpoints so far.
    pub(crate) fn latest_finish_time(&self, id: DestinationId) -> f64 {
        let endpoints = self.destinations.get(&id).into_iter().flatten();
        endpoints
            .map(|id| self.endpoints[id].virtual_finish_time)
            .fold(0.0, f64::max)
    }

    /// A route that is known to exist.
    pub(crate) fn route_mut(&mut self, id: RouteId) -> &mut Route {
        self.routes.get_mut(&id).expect("an endpoint has a route")
    }

    /// The part of the load that this instance does not see, from 0 to 1.
    pub(crate) fn unseen_load(&self) -> f64 {
        (1.0 - FEW_INSTANCES / self.instances()).max(0.0)
    }

    /// How many instances there are, 1 or more.
    pub(crate) fn instances(&self) -> f64 {
        self.settings.instances.max(1) as f64
    }

    /// A number in 0..1 that this instance keeps for something with a number.
    pub(crate) fn seeded_fraction(&self, of: u64) -> f64 {
        let mixed = (self.seed ^ of.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
            .wrapping_mul(0xD134_2543_DE82_EF95);
        let bits = (mixed ^ (mixed >> 29)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        bits as f64 / (1u64 << 24) as f64
    }
}
