//! Starts calls. All attempts are sent from this module.

use super::Scheduler;
use crate::interface::{Action, EndpointId, MessageId, Time};
use crate::state::{Attempt, Call, CallId, MessageState, RouteId};

/// The call that an attempt is part of.
struct StartedCall {
    id: CallId,
    endpoint: EndpointId,
    route_timeout_ms: f64,
    reused_idle: bool,
}

impl Scheduler {
    /// Sends the messages of `batch` to an endpoint in one call.
    pub(crate) fn send(
        &mut self,
        now: Time,
        batch: &[MessageId],
        id: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = &self.endpoints[&id];
        let route = endpoint.route;
        let reused_idle = endpoint.reuses_idle_connection(now, &self.settings.limits);
        if reused_idle && self.has_connection_pressure(endpoint.kind) {
            actions.push(Action::CloseIdleConnections(id));
        }
        let call = StartedCall {
            id: self.start_call(route, batch.len()),
            endpoint: id,
            route_timeout_ms: self.route_timeout_ms(&self.routes[&route]),
            reused_idle,
        };
        for message in batch {
            self.start_attempt(now, *message, &call, actions);
        }
        self.call_sent(now, id);
    }

    /// Adds a call in flight with `open_attempts` attempts.
    pub(super) fn start_call(&mut self, route: RouteId, open_attempts: usize) -> CallId {
        let id = self.next_call;
        self.next_call = CallId(id.0 + 1);
        let call = Call {
            route,
            open_attempts,
        };
        self.calls.insert(id, call);
        id
    }

    fn start_attempt(
        &mut self,
        now: Time,
        id: MessageId,
        call: &StartedCall,
        actions: &mut Vec<Action>,
    ) {
        let timeout = self.attempt_timeout(now, &self.messages[&id], call.route_timeout_ms);
        let message = self.messages.get_mut(&id);
        let message = message.expect("a pending message is stored");
        message.attempts += 1;
        message.state = MessageState::InFlight(Attempt {
            call: call.id,
            endpoint: call.endpoint,
            sent: now,
            reused_idle: call.reused_idle,
            cut_by_deadline: timeout.cut_by_deadline,
        });
        self.pending
            .remove(message.destination, message.deadline, id);
        actions.push(Action::Send {
            message: id,
            endpoint: call.endpoint,
            timeout_at: timeout.at,
        });
    }

    /// Records a sent call at its endpoint and route.
    fn call_sent(&mut self, now: Time, id: EndpointId) {
        let endpoint = &self.endpoints[&id];
        let finish_time = self.finish_time(now, endpoint);
        let rate_share = self.rate_share(&self.routes[&endpoint.route]);
        let retention = self.send_retention();
        let endpoint = self.endpoints.get_mut(&id);
        let endpoint = endpoint.expect("the endpoint is listed");
        endpoint.virtual_finish_time = finish_time.unwrap_or(endpoint.virtual_finish_time);
        endpoint.call_sent(now, &self.settings.limits);
        let route = endpoint.route;
        self.route_mut(route).call_sent(now, retention, rate_share);
    }
}
