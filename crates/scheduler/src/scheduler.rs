//! The scheduler of one instance: applies batches of events to its state and executes the policy.
//!
//! The types of its state are in [`state`](crate::state), the decisions in [`policy`](crate::policy).
//! [`Scheduler::handle`] defines the order within a batch: events, messages that can no longer be delivered, health
//! checks, sends, load shedding.

mod calls;
mod endpoint_list;
mod fleet;
mod hot_restart;
mod idle;
mod messages;
mod sending;
mod timer;

use crate::connection_pressure::ConnectionPressure;
use crate::interface::{
    Action, DestinationId, DiscoveryMode, EndpointId, EndpointStatus, Event, KindId, MessageId,
    OrderingKey, Settings, Span, Time,
};
use crate::list_subscription::ListSubscription;
use crate::loss_rate::LossRate;
use crate::mean_latency::MeanLatency;
use crate::pending_queue::PendingQueue;
use crate::rejection_hold::RejectionHold;
use crate::state::{Call, CallId, Endpoint, Message, OrderingQueue, Route, RouteId, RECENT_WINDOW};
use crate::tenant_rate::TenantRate;
use calls::AttemptEnd;
use std::collections::{BTreeMap, BTreeSet};
use timer::Timer;

/// The scheduler of one instance.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    seed: u64,
    pub(crate) started_at: Option<Time>,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) pending: PendingQueue,
    pub(crate) ordering_queues: BTreeMap<OrderingKey, OrderingQueue>,
    /// Number of messages accepted since the start.
    pub(crate) accepted_count: f64,
    /// Message rates, indexed by tenant.
    pub(crate) tenant_rates: Vec<TenantRate>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) destinations: BTreeMap<DestinationId, Vec<EndpointId>>,
    /// Whether `endpoints` may still hold removed endpoints.
    has_removed_endpoints: bool,
    subscription: ListSubscription,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) ejected_routes: BTreeSet<RouteId>,
    pub(crate) rejection_holds: BTreeMap<DestinationId, RejectionHold>,
    /// Number of rejection holds so far, from which the random number of each is derived.
    pub(crate) hold_count: u64,
    pub(crate) connection_pressure: BTreeMap<KindId, ConnectionPressure>,
    /// The calls in flight.
    pub(crate) calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    /// Mean latency over all routes.
    pub(crate) mean_latency: MeanLatency,
    /// Loss rate over all routes.
    pub(crate) loss_rate: LossRate,
    timer: Option<Timer>,
    last_timer_token: u64,
    pub(crate) log_lines: Vec<String>,
}

impl Scheduler {
    /// Creates a scheduler in its initial state. Its random numbers are derived from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Scheduler {
        let tenant_rates = vec![TenantRate::default(); settings.tenants.len()];
        Scheduler {
            tenant_rates,
            settings,
            seed,
            ..Scheduler::default()
        }
    }

    /// Applies the events of one batch, takes the decisions that are due, and appends the resulting actions to
    /// `actions`.
    pub fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.subscribe_if_due(now, actions);
        self.started_at.get_or_insert(now);
        for event in events {
            self.apply(now, event, actions);
        }
        self.purge_removed_endpoints();
        self.give_up_undeliverable(now, actions);
        self.send_health_checks(now, actions);
        self.send_pending(now, actions);
        self.shed_load(now, actions);
        self.set_timer(now, actions);
        self.purge_ordering_queues(now);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
    }

    fn apply(&mut self, now: Time, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Accepted(message) => self.accept(now, message, None, actions),
            Event::Resumed(message, prior) => self.accept(now, message, Some(prior), actions),
            &Event::AttemptFinished {
                message,
                attempt: _,
                outcome,
                duration,
                is_final,
                rate_limit,
            } => {
                let end = AttemptEnd {
                    message,
                    outcome,
                    duration,
                    is_final,
                    rate_limit,
                };
                self.attempt_finished(now, &end, actions);
            }
            Event::Cancelled(message) => self.cancel(*message, actions),
            Event::TimerFired(token) => self.timer_fired(*token),
            Event::HealthChecked {
                endpoint, outcome, ..
            } => self.health_checked(now, *endpoint, *outcome),
            Event::EndpointsReplaced(updates) => self.replace_endpoints(updates),
            Event::EndpointsUpdated(updates) => self.update_endpoints(updates),
            Event::RouteRestored(route) => self.restore_route(now, route),
            &Event::BackoffNotified {
                destination,
                endpoint,
                until,
            } => self.backoff_notified(destination, endpoint, until),
            Event::EndpointListFailed => self.list_request_failed(now),
        }
    }

    fn subscribe_if_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.settings.discovery != DiscoveryMode::Subscribe {
            return;
        }
        if self.started_at.is_none() || self.subscription.is_retry_due(now) {
            self.subscription.requested();
            actions.push(Action::Subscribe);
        }
    }

    /// Returns the route of each active endpoint of a destination.
    pub(crate) fn active_routes(&self, id: DestinationId) -> impl Iterator<Item = &Route> {
        let ids = self.destinations.get(&id).into_iter().flatten();
        let endpoints = ids.map(|id| &self.endpoints[id]);
        let active = endpoints.filter(|endpoint| endpoint.status == EndpointStatus::Active);
        active.map(|endpoint| &self.routes[&endpoint.route])
    }

    /// Returns the latest virtual finish time of a destination's endpoints, or 0 if it has none.
    pub(crate) fn latest_finish_time(&self, id: DestinationId) -> f64 {
        let endpoints = self.destinations.get(&id).into_iter().flatten();
        endpoints
            .map(|id| self.endpoints[id].virtual_finish_time)
            .fold(0.0, f64::max)
    }

    /// Returns a listed endpoint. Panics if it is not listed.
    pub(crate) fn endpoint_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        self.endpoints.get_mut(&id).expect("the endpoint is listed")
    }

    /// Returns the route of a listed endpoint. Panics if there is none.
    pub(crate) fn route_mut(&mut self, id: RouteId) -> &mut Route {
        self.routes.get_mut(&id).expect("an endpoint has a route")
    }

    /// Returns the time for which the sends of a route are recorded.
    pub(crate) fn send_retention(&self) -> Span {
        RECENT_WINDOW.max(self.settings.rules.overload_window)
    }
}
