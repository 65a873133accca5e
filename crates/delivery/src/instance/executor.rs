//! Executes what the engine wants done: responses, attempts, and what the network needs to know of endpoints.
//!
//! A step of the engine and the execution of its commands happen under one lease permit, if a lease is needed.

use super::admin::AdminState;
use crate::clock::Clock;
use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::{
    AttemptRequest, AttemptResult, Engine, EngineCommand, EngineEvent, LeaseState, RejectReason,
    Rejection,
};
use crate::core::{FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse};
use crate::counters::{add, Counters};
use crate::frontend::cloudevents::{self, CloudEventsFrontend};
use crate::frontend::{platform, SwappableFrontend};
use crate::hot_restart::driver;
use crate::hot_restart::incarnation::Incarnation;
use crate::lease_guard::{GuardState, LeaseGuard, LeasePermit};
use crate::net::discovery::PendingNotice;
use crate::net::pool::{Attempt, EncodedRequest, Pool};
use crate::net::server::ClientConnections;
use crate::net::spawner::Spawner;
use crate::{log_line, message_line};
use async_channel::Sender;
use marblefall_scheduler::{EndpointId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// What the history says of an accepted message. Tools that check histories read it.
const HISTORY_ACCEPTED: &str = "takes";
/// What the history says of a started attempt. Tools that check histories read it.
const HISTORY_ATTEMPT: &str = "leg";

/// The lease under which an instance acts.
pub(super) struct Lease {
    /// The guard, if a lease is needed.
    pub(super) guard: Option<Arc<LeaseGuard>>,
    /// The revision of the policy that the engine decides by.
    pub(super) revision: Cell<u64>,
    /// The instance's name in the history.
    pub(super) instance: String,
}

impl Lease {
    /// A permit to act by the policy, if that is allowed at this moment.
    fn acquire(&self) -> Option<LeasePermit<'_>> {
        match &self.guard {
            None => Some(LeasePermit::unconditional()),
            Some(guard) => guard.acquire(self.revision.get()),
        }
    }

    /// Why there is no permit.
    fn state_without_permit(&self) -> LeaseState {
        let Some(guard) = &self.guard else {
            return LeaseState::Held;
        };
        match guard.state(self.revision.get()) {
            GuardState::Suspended | GuardState::Open(_) => LeaseState::Suspended,
            GuardState::Closed => LeaseState::Lost,
        }
    }

    /// Writes into the history, if there is one.
    fn record(&self, what: &str) {
        if let Some(guard) = &self.guard {
            guard.record(&self.instance, what, self.revision.get());
        }
    }
}

/// Executes the engine's commands.
pub(super) struct Executor {
    pub(super) clients: Rc<ClientConnections>,
    pub(super) pool: Rc<Pool>,
    pub(super) cloudevents: Rc<SwappableFrontend<CloudEventsFrontend>>,
    pub(super) notices: Sender<PendingNotice>,
    /// Where attempts report their results.
    pub(super) events: Sender<EngineEvent>,
    /// Events that go ahead of those.
    pub(super) priority_events: Sender<EngineEvent>,
    pub(super) clock: Clock,
    pub(super) counters: Rc<Counters>,
    pub(super) lease: Lease,
    pub(super) endpoint_addresses: RefCell<BTreeMap<EndpointId, Rc<str>>>,
    pub(super) tasks: Spawner,
    pub(super) admin: Rc<AdminState>,
    pub(super) incarnation: Rc<RefCell<Incarnation>>,
    /// Acceptances whose lease ended within their step; they are told under the next one.
    pub(super) withheld: RefCell<Vec<EngineCommand>>,
}

impl Executor {
    /// Lets the engine decide, and executes its commands. Returns whether the lease was held.
    pub(super) fn step(
        self: &Rc<Self>,
        engine: &mut Engine,
        batch: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) -> bool {
        // Held until all that was decided is executed: the guard closes only between two steps.
        let permit = self.lease.acquire();
        let has_permit = permit.is_some();
        engine.set_lease(if has_permit {
            LeaseState::Held
        } else {
            self.lease.state_without_permit()
        });
        if has_permit {
            commands.extend(self.withheld.borrow_mut().drain(..));
        }
        engine.step(self.clock.now(), batch, commands);
        for Rejection { request, reason } in engine.drain_rejections() {
            self.count_rejected(request, reason);
        }
        // The process may have been stopped during the step, and another one decide since.
        let is_fenced = !engine.has_handed_over() && driver::must_hand_over(&self.incarnation);
        for command in commands.drain(..) {
            if is_fenced && matches!(command, EngineCommand::SendNotice { .. }) {
                // It is in the journal, where whoever took over before does not look for it.
                log_line!(
                    code = "fenced-off",
                    "a notice is left to the process that took over"
                );
                continue;
            }
            let is_acceptance =
                matches!(command, EngineCommand::Respond(_, SubmitResponse::Accepted));
            // Without the lease, this is said only of messages that were accepted before.
            if let (Some(permit), true) = (&permit, is_acceptance) {
                if !permit.is_valid() {
                    // The process was held up in the step. What it journalled goes on under the next lease.
                    self.withheld.borrow_mut().push(command);
                    continue;
                }
                self.lease.record(HISTORY_ACCEPTED);
            }
            self.execute(command);
        }
        has_permit
    }

    fn execute(self: &Rc<Self>, command: EngineCommand) {
        match command {
            EngineCommand::Respond(request, response) => self.respond(request, response),
            EngineCommand::StartAttempt(request) => self.start_attempt(request),
            EngineCommand::SetBackoff(route, until) => {
                self.pool.back_off(route, self.clock.instant(until));
            }
            EngineCommand::CancelAttempt(id) => self.pool.cancel(id),
            EngineCommand::CloseIdleConnections(endpoint) => self.pool.close_idle(endpoint),
            EngineCommand::MessageFinished(outcome) => self.count_final_outcome(outcome),
            EngineCommand::SendNotice {
                message_id,
                message,
                outcome,
            } => self.send_notice(message_id, &message, outcome),
            EngineCommand::EndpointListed(id, endpoint) => self.endpoint_listed(id, &endpoint),
            EngineCommand::EndpointRemoved(id) => self.endpoint_removed(id),
            EngineCommand::TookOver(messages) => {
                self.counters.recovered.set(messages as u64);
                self.admin.activate();
            }
            EngineCommand::HandedOver => self.handed_over(),
            EngineCommand::PolicyInForce(revision) => self.policy_in_force(revision),
            EngineCommand::RuleViolated(rule, id) => {
                let what = format!("message {}: attempt refused", id.0);
                self.counters.violated(rule, &what);
            }
            EngineCommand::Log(text) => log_line!("{text}"),
        }
    }

    fn respond(&self, request: RequestId, response: SubmitResponse) {
        match response {
            SubmitResponse::Accepted => add(&self.counters.accepted),
            SubmitResponse::Rejected { .. } => add(&self.counters.rejected),
            SubmitResponse::Conflict | SubmitResponse::Finished(_) => {}
        }
        self.clients.respond(request, response);
    }

    fn count_rejected(&self, request: RequestId, reason: RejectReason) {
        let counters = &self.counters;
        add(match reason {
            RejectReason::Full => &counters.rejected_full,
            RejectReason::Ending => &counters.rejected_ending,
            RejectReason::UnknownDestination => &counters.rejected_unknown,
            RejectReason::NotJournalled => &counters.rejected_unjournalled,
            RejectReason::Scheduler => &counters.rejected_by_scheduler,
        });
        message_line!(
            code = "submission-rejected",
            request = request.0,
            "{reason:?}"
        );
    }

    fn count_final_outcome(&self, outcome: FinalOutcome) {
        match outcome {
            FinalOutcome::Delivered => {}
            FinalOutcome::Returned { .. } => add(&self.counters.returned),
            FinalOutcome::Expired => add(&self.counters.expired),
            FinalOutcome::Failed => add(&self.counters.failed),
        }
    }

    fn send_notice(&self, message_id: MessageId, message: &Message, outcome: FinalOutcome) {
        message_line!(
            code = "final-outcome",
            message = message_id.0,
            "{outcome:?}"
        );
        let notice = PendingNotice {
            message_id,
            identity: message.identity.clone(),
            outcome,
        };
        // Fails only where the platform's frontend is disabled.
        let _ = self.notices.try_send(notice);
    }

    fn endpoint_listed(&self, id: EndpointId, endpoint: &ListedEndpoint) {
        self.endpoint_addresses
            .borrow_mut()
            .insert(id, endpoint.address.as_str().into());
        self.admin.endpoint_listed(id, &endpoint.name);
        self.pool
            .set_endpoint(id, &endpoint.address, endpoint.status);
    }

    fn endpoint_removed(&self, id: EndpointId) {
        self.endpoint_addresses.borrow_mut().remove(&id);
        self.admin.endpoint_removed(id);
        self.pool.remove_endpoint(id);
    }

    fn handed_over(&self) {
        if let Err(error) = self.incarnation.borrow_mut().mark_handed_over() {
            log_line!(
                code = "not-marked",
                "the next process does not see that this one has handed over: {error}"
            );
        }
        self.admin.deactivate();
        self.pool.stop_reusing();
        log_line!(code = "handed-over", "another process decides from now on");
    }

    fn policy_in_force(&self, revision: u64) {
        self.lease.revision.set(revision);
        log_line!(code = "policy-in-force", "decides by revision {revision}");
        // What was deferred until then goes on in a step under a permit of its own.
        let _ = self.priority_events.try_send(EngineEvent::LeaseChanged);
    }

    fn start_attempt(self: &Rc<Self>, request: AttemptRequest) {
        let executor = self.clone();
        self.tasks.spawn(async move {
            let result = executor.run_attempt(request).await;
            // Fails only once the engine has ended.
            let _ = executor
                .events
                .send(EngineEvent::AttemptFinished(result))
                .await;
        });
    }

    async fn run_attempt(&self, request: AttemptRequest) -> AttemptResult {
        let message = request.message;
        add(&self.counters.attempts);
        let started_at = self.clock.now().monotonic;
        let address = self.address_of(request.endpoint);
        let encode = |budget_ms| -> EncodedRequest<'_> {
            match message.origin {
                Origin::Platform => platform::encode_attempt(&message, &address, budget_ms),
                Origin::CloudEvents => self.cloudevents.get().encode_attempt(&message, &address),
            }
        };
        let judge = match message.origin {
            Origin::Platform => platform::judge,
            Origin::CloudEvents => cloudevents::judge,
        };
        let attempt = Attempt {
            message_id: request.message_id,
            endpoint: request.endpoint,
            route: request.route,
            timeout_at: self.clock.instant(request.timeout_at),
            write_by: self.clock.instant(request.write_by),
            encode: &encode,
            judge,
            permit: &|| self.attempt_permit(),
        };
        let ended = self.pool.run_attempt(attempt).await;
        self.count_attempt(&ended.outcome);
        if ended.outcome != Outcome::Delivered {
            message_line!(
                code = "attempt-ended",
                message = request.message_id.0,
                attempt = request.attempt,
                endpoint = request.endpoint.0,
                "{:?}",
                ended.outcome
            );
        }
        AttemptResult {
            message_id: request.message_id,
            attempt: request.attempt,
            outcome: ended.outcome,
            duration: self.clock.now().monotonic - started_at,
            disposition: ended.disposition,
            rate_limit: ended.rate_limit,
        }
    }

    fn address_of(&self, id: EndpointId) -> Rc<str> {
        let addresses = self.endpoint_addresses.borrow();
        addresses.get(&id).cloned().unwrap_or_else(|| "".into())
    }

    /// A permit to start an attempt. Looked at as late as can be: a process that was stopped since the attempt was chosen
    /// finds that it is fenced.
    fn attempt_permit(&self) -> Option<LeasePermit<'_>> {
        if !driver::may_start_attempt(&self.incarnation) {
            return None;
        }
        let permit = self.lease.acquire()?;
        self.lease.record(HISTORY_ATTEMPT);
        Some(permit)
    }

    fn count_attempt(&self, outcome: &Outcome) {
        let counters = &self.counters;
        add(match outcome {
            Outcome::Delivered => &counters.attempts_delivered,
            Outcome::Error => &counters.attempts_failed,
            Outcome::Rejected { .. } => &counters.attempts_rejected,
            Outcome::TimedOut => &counters.attempts_timed_out,
            Outcome::ConnectFailed => &counters.attempts_unconnected,
            Outcome::Reset | Outcome::StaleConnection => &counters.attempts_reset,
            Outcome::Cancelled => &counters.attempts_cancelled,
            Outcome::NotSent => &counters.attempts_not_sent,
        });
    }
}
