//! Executes the engine's commands: responses, attempts, notices, and changes of endpoints in the network.
//!
//! A step of the engine and the execution of its commands happen under one lease permit, if a lease is needed.

mod attempt_execution;

use super::admin::AdminState;
use super::lease::Lease;
use crate::clock::Clock;
use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::{
    Engine, EngineCommand, EngineEvent, LeaseState, RejectReason, Rejection,
};
use crate::core::{FinalOutcome, Message, MessageId, RequestId, SubmitResponse};
use crate::counters::{add, Counters};
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::SwappableFrontend;
use crate::hot_restart::driver;
use crate::hot_restart::incarnation::Incarnation;
use crate::lease_guard::LeasePermit;
use crate::net::discovery::PendingNotice;
use crate::net::pool::{EndpointListing, Pool};
use crate::net::server::ClientConnections;
use crate::net::spawner::Spawner;
use crate::{log_line, message_line};
use async_channel::Sender;
use marblefall_scheduler::EndpointId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Name of an acceptance in the history of the lease guard, which is read by tools that check histories.
const HISTORY_ACCEPTED: &str = "takes";

/// Executes the engine's commands.
pub(super) struct Executor {
    pub(super) clients: Rc<ClientConnections>,
    pub(super) pool: Rc<Pool>,
    pub(super) cloudevents: Rc<SwappableFrontend<CloudEventsFrontend>>,
    pub(super) notices: Sender<PendingNotice>,
    /// Sends the results of attempts to the engine.
    pub(super) events: Sender<EngineEvent>,
    /// Sends events to the engine that it receives before the results of attempts.
    pub(super) priority_events: Sender<EngineEvent>,
    pub(super) clock: Clock,
    pub(super) counters: Rc<Counters>,
    pub(super) lease: Lease,
    pub(super) endpoint_addresses: RefCell<BTreeMap<EndpointId, Rc<str>>>,
    pub(super) tasks: Spawner,
    pub(super) admin: Rc<AdminState>,
    pub(super) incarnation: Rc<RefCell<Incarnation>>,
    /// Acceptances whose lease ended within their step. They are reported under the next lease.
    pub(super) withheld_acceptances: RefCell<Vec<EngineCommand>>,
}

impl Executor {
    /// Steps the engine and executes its commands. Returns whether the lease was held, or none is needed.
    pub(super) fn step(
        self: &Rc<Self>,
        engine: &mut Engine,
        batch: Vec<EngineEvent>,
        commands: &mut Vec<EngineCommand>,
    ) -> bool {
        // The permit is held until all commands are executed, so the guard closes only between two steps.
        let permit = self.lease.acquire();
        if permit.is_some() {
            engine.set_lease(LeaseState::Held);
            commands.extend(self.withheld_acceptances.borrow_mut().drain(..));
        } else {
            engine.set_lease(self.lease.state_without_permit());
        }
        engine.step(self.clock.now(), batch, commands);
        for rejection in engine.drain_rejections() {
            self.count_rejection(rejection);
        }
        // The process may have been stopped during the step, and another one may have become active.
        let is_fenced = !engine.has_handed_over() && driver::must_hand_over(&self.incarnation);
        for command in commands.drain(..) {
            if is_fenced && matches!(command, EngineCommand::SendNotice { .. }) {
                // The outcome is in the journal, but the process that took over may have read the journal before the
                // outcome was written.
                log_line!(
                    code = "fenced-off",
                    "notice not sent: left to the process that took over"
                );
                continue;
            }
            self.execute_under(permit.as_ref(), command);
        }
        permit.is_some()
    }

    /// Ends the engine and executes its last commands.
    pub(super) fn end(self: &Rc<Self>, engine: &mut Engine, commands: &mut Vec<EngineCommand>) {
        engine.end(self.clock.now(), commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
    }

    /// Executes a command, under a lease permit if there is one. The lease may have ended since the permit was given, if the
    /// process was stopped in between. An acceptance is then withheld, and its message continues under the next lease.
    /// Without a permit, only messages that were accepted before are reported as accepted.
    fn execute_under(self: &Rc<Self>, permit: Option<&LeasePermit<'_>>, command: EngineCommand) {
        let is_acceptance = matches!(command, EngineCommand::Respond(_, SubmitResponse::Accepted));
        if let (Some(permit), true) = (permit, is_acceptance) {
            if !permit.is_valid() {
                self.withheld_acceptances.borrow_mut().push(command);
                return;
            }
            self.lease.record(HISTORY_ACCEPTED);
        }
        self.execute(command);
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
                let context = format!("message {}: attempt refused", id.0);
                self.counters.violated(rule, &context);
            }
            EngineCommand::Log(text) => log_line!("{text}"),
        }
    }

    fn respond(&self, request: RequestId, response: SubmitResponse) {
        match response {
            SubmitResponse::Accepted => add(&self.counters.accepted),
            SubmitResponse::Rejected { .. } => add(&self.counters.rejected),
            SubmitResponse::Conflict
            | SubmitResponse::Finished(_)
            | SubmitResponse::Undetermined => {}
        }
        self.clients.respond(request, response);
    }

    fn count_rejection(&self, rejection: Rejection) {
        let counters = &self.counters;
        add(match rejection.reason {
            RejectReason::Full => &counters.rejected_full,
            RejectReason::Ending => &counters.rejected_ending,
            RejectReason::UnknownDestination => &counters.rejected_unknown,
            RejectReason::NotJournalled => &counters.rejected_unjournalled,
            RejectReason::Scheduler => &counters.rejected_by_scheduler,
        });
        message_line!(
            code = "submission-rejected",
            request = rejection.request.0,
            "{:?}",
            rejection.reason
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
            message_id = message_id.0,
            call = %String::from_utf8_lossy(&message.identity),
            "{outcome:?}"
        );
        let notice = PendingNotice {
            message_id,
            identity: message.identity.clone(),
            outcome,
        };
        // Fails only if the platform's frontend is disabled.
        let _ = self.notices.try_send(notice);
    }

    fn endpoint_listed(&self, id: EndpointId, endpoint: &ListedEndpoint) {
        self.endpoint_addresses
            .borrow_mut()
            .insert(id, endpoint.address.as_str().into());
        self.admin.endpoint_listed(id, &endpoint.name);
        let listing = EndpointListing {
            address: &endpoint.address,
            status: endpoint.status,
            started_ms: endpoint.started_ms,
        };
        self.pool.set_endpoint(id, listing);
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
                "successors cannot see that this process has handed over: {error}"
            );
        }
        self.admin.deactivate();
        self.pool.stop_reusing();
        log_line!(code = "handed-over", "another process decides from now on");
    }

    fn policy_in_force(&self, revision: u64) {
        self.lease.set_revision(revision);
        log_line!(
            code = "policy-in-force",
            "policy revision {revision} is in force"
        );
        // Causes another step, which handles the deferred events under a permit of its own.
        let _ = self.priority_events.try_send(EngineEvent::LeaseChanged);
    }
}
