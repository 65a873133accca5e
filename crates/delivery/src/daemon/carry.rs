//! Carries out what the engine orders: answers, legs, and what the network is told of endpoints.

use super::{Hands, Switch};
use crate::core::engine::{Engine, Input, Order, Standing};
use crate::core::{Answer, Authorisation, End, Origin, Route, Seq};
use crate::counters::add;
use crate::front::{cloudevents, relay};
use crate::gate::{self, Act};
use crate::life::drive;
use crate::net::pool::{Call, Ended};
use crate::say;
use marblefall_scheduler::{EndpointId, Listing, Outcome, Time};
use std::rc::Rc;

impl Hands {
    /// Lets the engine decide, if it may act under its policy, and carries out what it orders. Gives whether it may.
    pub(super) fn step(
        self: &Rc<Self>,
        engine: &mut Engine,
        batch: Vec<Input>,
        orders: &mut Vec<Order>,
    ) -> bool {
        let revision = self.revision.get();
        // Held until all that was decided is carried out: the gate is shut only between two steps.
        let act = self.enter();
        let standing = match &self.gate {
            Some(gate) if act.is_none() => match gate.standing(revision) {
                gate::Standing::Still | gate::Standing::Open(_) => Standing::Still,
                gate::Standing::Shut => Standing::Shut,
            },
            _ => Standing::Acts,
        };
        engine.stands(standing);
        engine.step(self.clock.now(), batch, orders);
        // The process may have been stopped in the midst of the step, and another one decide since.
        let replaced = !engine.has_handed_over() && drive::must_hand_over(&self.life);
        for order in orders.drain(..) {
            if replaced && matches!(order, Order::Notice(..)) {
                // It is in the journal, where whoever took over before does not look for it.
                say!(code = "fenced-off", "a notice is left to the process that took over");
                continue;
            }
            // While nobody acts, this is said only of what was taken on before.
            if act.is_some() && matches!(order, Order::Answer(_, Answer::TakenOn)) {
                self.note("takes");
            }
            self.carry_out(order);
        }
        act.is_some()
    }

    /// The pass under which something is done by the policy, if it may be at this moment.
    fn enter(&self) -> Option<Act<'_>> {
        self.gate.as_ref().map_or(Some(Act::free()), |gate| gate.enter(self.revision.get()))
    }

    /// Writes what is done into the history, if there is one.
    fn note(&self, what: &str) {
        self.gate.iter().for_each(|gate| gate.note(&self.name, what, self.revision.get()));
    }

    /// Takes up another policy: the fronts at once, the core with its next step.
    pub(super) async fn switch(&self, to: Switch) {
        let Switch { change, relay, events } = to;
        if let (Some(front), Some(terms)) = (&self.relay_front, relay) {
            front.set(terms);
        }
        events.into_iter().for_each(|terms| self.events.set(terms));
        let _ = self.news.send(Input::Change(Box::new(change))).await;
    }

    fn carry_out(self: &Rc<Self>, order: Order) {
        match order {
            Order::Answer(ticket, answer) => {
                match answer {
                    Answer::TakenOn => add(&self.counters.taken_on),
                    Answer::Declined(_) => add(&self.counters.declined),
                    Answer::Conflict | Answer::Ended(_) => {}
                }
                self.desk.answer(ticket, answer);
            }
            Order::Leg { seq, copy, host, route, authorisation, cut_at, write_by } => {
                let hands = self.clone();
                let leg = async move {
                    let input = hands.leg((seq, copy), (host, route), authorisation, cut_at, write_by).await;
                    let _ = hands.queue.send(input).await;
                };
                self.tasks.spawn(leg);
            }
            Order::Wait(route, until) => self.pool.told(route, self.clock.instant(until)),
            Order::Abandon(seq) => self.pool.abandon(seq),
            Order::CloseIdle(host) => self.pool.close_idle(host),
            Order::Ended(end) => match end {
                End::Delivered => {}
                End::Returned(_) => add(&self.counters.returned),
                End::Expired => add(&self.counters.expired),
                End::Failed => add(&self.counters.failed),
            },
            Order::Notice(seq, authorisation, end) => {
                let _ = self.owed.try_send((seq, authorisation.identity.clone(), end));
            }
            Order::Host(id, host) => {
                self.addresses.borrow_mut().insert(id, host.address.as_str().into());
                self.steward.listed(id, &host.name);
                self.pool.place(id, &host.address, host.listing == Listing::On);
            }
            Order::HostGone(id) => {
                self.addresses.borrow_mut().remove(&id);
                self.steward.gone(id);
                self.pool.gone(id);
            }
            Order::TookUp(messages) => {
                self.counters.resumed.set(messages as u64);
                self.steward.started.set(true);
            }
            Order::HandedOver => {
                if let Err(error) = self.life.borrow_mut().over() {
                    say!(
                        code = "not-marked",
                        "the next process does not see that this one has handed over: {error}"
                    );
                }
                self.steward.started.set(false);
                self.pool.leave();
                say!(code = "handed-over", "another process decides from now on");
            }
            Order::Changed(revision) => {
                self.revision.set(revision);
                say!(code = "policy-taken-up", "decides by revision {revision}");
                // What waited for it goes on in a step under its own pass.
                let _ = self.news.try_send(Input::Look);
            }
            Order::Log(text) => say!("{text}"),
        }
    }

    async fn leg(
        &self,
        (seq, copy): (Seq, u32),
        (host, route): (EndpointId, Route),
        authorisation: Rc<Authorisation>,
        cut_at: Time,
        write_by: Time,
    ) -> Input {
        add(&self.counters.legs);
        let begun = self.clock.now().mono;
        let address = self.addresses.borrow().get(&host).cloned().unwrap_or_else(|| "".into());
        let word = |budget_ms| match authorisation.origin {
            Origin::Relay => relay::leg(&authorisation, &address, budget_ms),
            Origin::Events => self.events.get().leg(&authorisation, &address),
        };
        let judge = match authorisation.origin {
            Origin::Relay => relay::judge,
            Origin::Events => cloudevents::judge,
        };
        // Looked at as late as can be: a process that was stopped since this was decided finds the fence here.
        let may =
            || drive::leg_may_begin(&self.life).then(|| self.enter()).flatten().inspect(|_| self.note("leg"));
        let call = Call { route, word: &word, judge, may: &may };
        let (cut_at, write_by) = (self.clock.instant(cut_at), self.clock.instant(write_by));
        let Ended { outcome, verdict, report } = self.pool.leg(seq, host, call, cut_at, write_by).await;
        let counters = &self.counters;
        add(match outcome {
            Outcome::Delivered => &counters.delivered,
            Outcome::Error => &counters.errors,
            Outcome::Full(_) => &counters.turned_away,
            Outcome::TimedOut => &counters.timed_out,
            Outcome::ConnectFailed => &counters.unconnected,
            Outcome::Reset | Outcome::Stale => &counters.resets,
            Outcome::Cancelled => &counters.cancelled,
            Outcome::Moot => &counters.not_begun,
        });
        let took = self.clock.now().mono - begun;
        Input::LegEnded { seq, copy, outcome, took, verdict, report }
    }
}
