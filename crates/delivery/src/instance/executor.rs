//! Carries out what the engine orders: answers, legs, and what the network is told of endpoints.

use super::{Executor, PolicyUpdate};
use crate::core::engine::{
    AttemptRequest, AttemptResult, Engine, EngineCommand, EngineEvent, LeaseState,
};
use crate::core::{FinalOutcome, Origin, SubmitResponse};
use crate::counters::add;
use crate::frontend::{cloudevents, platform};
use crate::hot_restart::driver;
use crate::lease_guard::{self, LeasePermit};
use crate::log_line;
use crate::net::pool::{Call, Ended};
use marblefall_scheduler::{EndpointStatus, Outcome};
use std::rc::Rc;

impl Executor {
    /// Lets the engine decide, if it may act under its policy, and carries out what it orders. Gives whether it may.
    pub(super) fn step(
        self: &Rc<Self>,
        engine: &mut Engine,
        batch: Vec<EngineEvent>,
        orders: &mut Vec<EngineCommand>,
    ) -> bool {
        let revision = self.revision.get();
        // Held until all that was decided is carried out: the gate is shut only between two steps.
        let act = self.enter();
        let standing = match &self.gate {
            Some(gate) if act.is_none() => match gate.state(revision) {
                lease_guard::GuardState::Suspended | lease_guard::GuardState::Open(_) => {
                    LeaseState::Suspended
                }
                lease_guard::GuardState::Closed => LeaseState::Lost,
            },
            _ => LeaseState::Held,
        };
        engine.set_lease(standing);
        engine.step(self.clock.now(), batch, orders);
        // The process may have been stopped in the midst of the step, and another one decide since.
        let replaced = !engine.has_handed_over() && driver::must_hand_over(&self.life);
        for order in orders.drain(..) {
            if replaced && matches!(order, EngineCommand::SendNotice { .. }) {
                // It is in the journal, where whoever took over before does not look for it.
                log_line!(
                    code = "fenced-off",
                    "a notice is left to the process that took over"
                );
                continue;
            }
            // While nobody acts, this is said only of what was taken on before.
            if act.is_some() && matches!(order, EngineCommand::Respond(_, SubmitResponse::Accepted))
            {
                self.note("takes");
            }
            self.carry_out(order);
        }
        act.is_some()
    }

    /// The pass under which something is done by the policy, if it may be at this moment.
    fn enter(&self) -> Option<LeasePermit<'_>> {
        self.gate
            .as_ref()
            .map_or(Some(LeasePermit::unconditional()), |gate| {
                gate.acquire(self.revision.get())
            })
    }

    /// Writes what is done into the history, if there is one.
    fn note(&self, what: &str) {
        self.gate
            .iter()
            .for_each(|gate| gate.record(&self.name, what, self.revision.get()));
    }

    /// Takes up another policy: the fronts at once, the core with its next step.
    pub(super) async fn switch(&self, to: PolicyUpdate) {
        let PolicyUpdate {
            change,
            relay,
            events,
        } = to;
        if let (Some(front), Some(terms)) = (&self.relay_front, relay) {
            front.set(terms);
        }
        events.into_iter().for_each(|terms| self.events.set(terms));
        let _ = self
            .news
            .send(EngineEvent::PolicyChanged(Box::new(change)))
            .await;
    }

    fn carry_out(self: &Rc<Self>, order: EngineCommand) {
        match order {
            EngineCommand::Respond(ticket, answer) => {
                match answer {
                    SubmitResponse::Accepted => add(&self.counters.taken_on),
                    SubmitResponse::Rejected { .. } => add(&self.counters.declined),
                    SubmitResponse::Conflict | SubmitResponse::Finished(_) => {}
                }
                self.clients.answer(ticket, answer);
            }
            EngineCommand::StartAttempt(request) => {
                let executor = self.clone();
                let attempt = async move {
                    let result = executor.attempt(request).await;
                    let _ = executor
                        .queue
                        .send(EngineEvent::AttemptFinished(result))
                        .await;
                };
                self.tasks.spawn(attempt);
            }
            EngineCommand::SetBackoff(route, until) => {
                self.pool.told(route, self.clock.instant(until))
            }
            EngineCommand::CancelAttempt(seq) => self.pool.abandon(seq),
            EngineCommand::CloseIdleConnections(host) => self.pool.close_idle(host),
            EngineCommand::MessageFinished(end) => match end {
                FinalOutcome::Delivered => {}
                FinalOutcome::Returned { .. } => add(&self.counters.returned),
                FinalOutcome::Expired => add(&self.counters.expired),
                FinalOutcome::Failed => add(&self.counters.failed),
            },
            EngineCommand::SendNotice {
                message_id: seq,
                message,
                outcome: end,
            } => {
                let _ = self.owed.try_send((seq, message.identity.clone(), end));
            }
            EngineCommand::EndpointListed(id, host) => {
                self.addresses
                    .borrow_mut()
                    .insert(id, host.address.as_str().into());
                self.admin.listed(id, &host.name);
                self.pool
                    .place(id, &host.address, host.status == EndpointStatus::Active);
            }
            EngineCommand::EndpointRemoved(id) => {
                self.addresses.borrow_mut().remove(&id);
                self.admin.gone(id);
                self.pool.gone(id);
            }
            EngineCommand::TookOver(messages) => {
                self.counters.resumed.set(messages as u64);
                self.admin.started.set(true);
            }
            EngineCommand::HandedOver => {
                if let Err(error) = self.life.borrow_mut().mark_handed_over() {
                    log_line!(
                        code = "not-marked",
                        "the next process does not see that this one has handed over: {error}"
                    );
                }
                self.admin.started.set(false);
                self.pool.leave();
                log_line!(code = "handed-over", "another process decides from now on");
            }
            EngineCommand::PolicyInForce(revision) => {
                self.revision.set(revision);
                log_line!(code = "policy-taken-up", "decides by revision {revision}");
                // What waited for it goes on in a step under its own pass.
                let _ = self.news.try_send(EngineEvent::LeaseChanged);
            }
            EngineCommand::Log(text) => log_line!("{text}"),
        }
    }

    async fn attempt(&self, request: AttemptRequest) -> AttemptResult {
        let AttemptRequest {
            message_id,
            attempt,
            endpoint: host,
            route,
            message,
            timeout_at: cut_at,
            write_by,
        } = request;
        add(&self.counters.legs);
        let begun = self.clock.now().monotonic;
        let address = self
            .addresses
            .borrow()
            .get(&host)
            .cloned()
            .unwrap_or_else(|| "".into());
        let word = |budget_ms| match message.origin {
            Origin::Platform => platform::encode_attempt(&message, &address, budget_ms),
            Origin::CloudEvents => self.events.get().leg(&message, &address),
        };
        let judge = match message.origin {
            Origin::Platform => platform::judge,
            Origin::CloudEvents => cloudevents::judge,
        };
        // Looked at as late as can be: a process that was stopped since this was decided finds the fence here.
        let may = || {
            driver::may_start_attempt(&self.life)
                .then(|| self.enter())
                .flatten()
                .inspect(|_| self.note("leg"))
        };
        let call = Call {
            route,
            word: &word,
            judge,
            may: &may,
        };
        let (cut_at, write_by) = (self.clock.instant(cut_at), self.clock.instant(write_by));
        let Ended {
            outcome,
            disposition,
            report,
        } = self
            .pool
            .leg(message_id, host, call, cut_at, write_by)
            .await;
        let counters = &self.counters;
        add(match outcome {
            Outcome::Delivered => &counters.delivered,
            Outcome::Error => &counters.errors,
            Outcome::Rejected { .. } => &counters.turned_away,
            Outcome::TimedOut => &counters.timed_out,
            Outcome::ConnectFailed => &counters.unconnected,
            Outcome::Reset | Outcome::StaleConnection => &counters.resets,
            Outcome::Cancelled => &counters.cancelled,
            Outcome::NotSent => &counters.not_begun,
        });
        AttemptResult {
            message_id,
            attempt,
            outcome,
            duration: self.clock.now().monotonic - begun,
            disposition,
            rate_limit: report,
        }
    }
}
