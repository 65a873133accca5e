//! The engine between two lives of the process. Beside a life that decides, and after handing over, it only writes down
//! what it takes on; the life that decides has all messages and the module, and hears from the other how its legs end.

use super::{log_fault, Engine, Input, Order, Standing};
use crate::core::journal::Generation;
use crate::core::ledger::{Known, TakenUp, Told};
use crate::core::record::Closed;
use crate::core::{Answer, End, Seq, Stamp, Verdict};
use marblefall_scheduler as m;
use std::collections::BTreeSet;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Another life does; this one is to take up.
    Beside,
    /// This life does.
    Serving,
    /// This life did, and another one does now.
    HandedOver,
}

/// Whether an input belongs to a change of lives.
pub(super) fn is_change(input: &Input) -> bool {
    matches!(
        input,
        Input::TakeUp { .. }
            | Input::Follow
            | Input::Settle(_)
            | Input::Adopt(_)
            | Input::Stop { hand_over: true, .. }
    )
}

impl Engine {
    /// Whether this life has handed over and only sees its legs and clients out.
    pub fn has_handed_over(&self) -> bool {
        self.stage == Stage::HandedOver
    }

    /// What is taken up is given to the module: all messages, those of this life that waited included.
    pub(super) fn serve(&mut self, now: Stamp, taken: &TakenUp, orders: &mut Vec<Order>) {
        self.stage = Stage::Serving;
        for (destination, host, cold) in &taken.known {
            let host = host.as_ref().map(|host| self.host(host));
            let cold = cold.told_by(|at| now.mono_of(at.0.div_euclid(1000)));
            self.backlog.push(m::Event::Recalled(*destination, host, cold));
        }
        for ((destination, host), until) in self.ledger.waits().clone() {
            let host = self.host(&host);
            orders.push(Order::Wait(self.route(destination, host), now.mono_of(until)));
            self.backlog.push(m::Event::Waits(destination, host, now.mono_of(until)));
        }
        let all: Vec<Seq> = self.ledger.entries().keys().copied().collect();
        let away: BTreeSet<Seq> = taken.away.iter().copied().collect();
        for seq in all {
            self.resume(now, seq, away.contains(&seq), orders);
        }
        orders.push(Order::TookUp(self.ledger.open_count()));
    }

    /// Gives the module a message of an earlier life, or orders the notice that is owed.
    pub(super) fn resume(&mut self, now: Stamp, seq: Seq, away: bool, orders: &mut Vec<Order>) {
        let entry = self.ledger.entries()[&seq].clone();
        match entry.end {
            Some(end) if entry.owed => orders.push(Order::Notice(seq, entry.authorisation, end)),
            Some(_) => {}
            None => {
                let out =
                    entry.out.filter(|_| away).map(|leg| (now.mono_of(leg.at_ms), self.host(&leg.host)));
                if let Some((_, host)) = out {
                    self.out += 1;
                    if !self.listing.contains_key(&host) {
                        self.parked.insert(seq);
                        return;
                    }
                    self.away.insert(seq);
                }
                let ran = entry.ran.map(|leg| (now.mono_of(leg.at_ms), self.host(&leg.host)));
                let handed = self.handed(seq, &entry.authorisation, now);
                let past = m::Past { attempts: entry.attempts, ran, out };
                self.backlog.push(m::Event::Resumed(handed, past));
            }
        }
    }

    /// A step of a life that does not decide, or in which that changes.
    pub(super) fn step_between_lives(&mut self, now: Stamp, inputs: Vec<Input>, orders: &mut Vec<Order>) {
        let (changes, mut rest): (Vec<_>, Vec<_>) = inputs.into_iter().partition(is_change);
        for change in changes {
            match change {
                Input::TakeUp { living, beside } if self.stage == Stage::Beside => {
                    let taken = self.ledger.take_up(&living, beside).unwrap_or_else(|error| {
                        orders.push(Order::Log(format!("the journal is not taken up whole: {error}")));
                        TakenUp::default()
                    });
                    self.serve(now, &taken, orders);
                }
                Input::Follow if self.stage == Stage::Serving => {
                    let mut found = Vec::new();
                    log_fault(self.ledger.follow(&mut found), orders);
                    self.hear(now, found, &mut rest, orders);
                }
                Input::Settle(generation) if self.stage == Stage::Serving => {
                    let mut found = Vec::new();
                    log_fault(self.ledger.settle(generation, &mut found), orders);
                    self.hear(now, found, &mut rest, orders);
                    if !self.ledger.follows() {
                        self.give_up_away(now, &mut rest);
                    }
                }
                Input::Adopt(generation) if self.stage == Stage::Serving => {
                    self.adopt(now, generation, orders);
                }
                Input::Stop { by, hand_over: true } if self.stage != Stage::HandedOver => {
                    self.stop = Some(by);
                    self.hand_over(now, orders);
                }
                _ => {}
            }
        }
        match self.stage {
            Stage::Serving if self.standing != Standing::Acts => self.hold_still(now, rest, orders),
            Stage::Serving => self.decide(now, rest, orders),
            Stage::Beside | Stage::HandedOver => self.write_down(now, rest, orders),
        }
    }

    /// What a life wrote that has handed over: what it took on is resumed, and its legs end as if this life had sent
    /// them.
    fn hear(&mut self, now: Stamp, found: Vec<Told>, rest: &mut Vec<Input>, orders: &mut Vec<Order>) {
        for told in found {
            match told {
                Told::TakenOn(seq) => self.resume(now, seq, false, orders),
                Told::Closed(seq, Closed { copy, outcome, took, verdict, report, .. }) => {
                    if self.away.remove(&seq) || self.parked.contains(&seq) {
                        rest.push(Input::LegEnded { seq, copy, outcome, took, verdict, report });
                    }
                }
            }
        }
    }

    /// Legs of lives that ended without a word: they may have run.
    fn give_up_away(&mut self, now: Stamp, rest: &mut Vec<Input>) {
        let away = std::mem::take(&mut self.away);
        for seq in away.into_iter().chain(self.parked.iter().copied()) {
            let Some(entry) = self.ledger.get(seq) else { continue };
            let began = entry.out.as_ref().map_or(now.unix_ms, |leg| leg.at_ms);
            let took = m::Span((now.unix_ms - began).max(0) * 1000);
            let copy = entry.attempts.saturating_sub(1);
            let (outcome, verdict, report) = (m::Outcome::Reset, Verdict::Open, m::Report::default());
            rest.push(Input::LegEnded { seq, copy, outcome, took, verdict, report });
        }
    }

    /// Goes on under a later generation with what a life left that never decided.
    fn adopt(&mut self, now: Stamp, generation: Generation, orders: &mut Vec<Order>) {
        let before: BTreeSet<Seq> = self.ledger.entries().keys().copied().collect();
        let taken = self.ledger.renew(generation).and_then(|()| self.ledger.take_up(&[], None));
        log_fault(taken.map(|_| ()), orders);
        let new = self.ledger.entries().keys().copied().filter(|seq| !before.contains(seq));
        for seq in new.collect::<Vec<_>>() {
            self.resume(now, seq, false, orders);
        }
    }

    /// From here on another life decides: what is known goes into the journal, and what is out is reported there.
    fn hand_over(&mut self, now: Stamp, orders: &mut Vec<Order>) {
        if self.stage == Stage::Serving {
            let unix = |at: m::Time| m::Time(now.unix_ms * 1000 + (at - now.mono).0);
            let known = self.module.known(now.mono).into_iter().map(|(destination, host, cold)| -> Known {
                (destination, host.and_then(|host| self.hosts.get(&host).cloned()), cold.told_by(unix))
            });
            let known = known.collect();
            log_fault(self.ledger.hand_over(known), orders);
            orders.push(Order::HandedOver);
        }
        // One that never decided has nothing to hand over; it leaves what it took on when it ends.
        self.stage = Stage::HandedOver;
        self.backlog.clear();
        self.wakes.clear();
    }

    /// Tells the module of the list while it holds nothing that it could send.
    pub(super) fn tell(&mut self, now: Stamp, events: &[m::Event], orders: &mut Vec<Order>) {
        let mut actions = Vec::new();
        self.module.handle(now.mono, events, &mut actions);
        for action in actions {
            self.carry_out(now, action, &BTreeSet::new(), orders);
        }
    }

    /// A step without decisions: the list is kept up with, what is handed in is written down, legs are reported.
    fn write_down(&mut self, now: Stamp, inputs: Vec<Input>, orders: &mut Vec<Order>) {
        let (mut events, mut offered) = (Vec::new(), Vec::new());
        let rest = self.take_news(now, inputs, &mut events, orders);
        if self.stage == Stage::Beside && !events.is_empty() {
            self.tell(now, &events, orders);
        }
        let mut unheard = Vec::new();
        for input in rest {
            match input {
                Input::Offered(..) => self.take(now, input, &mut unheard, &mut offered, orders),
                Input::LegEnded { seq, copy, outcome, took, verdict, report } => {
                    self.out = self.out.saturating_sub(1);
                    self.note_wait(now, seq, outcome, orders);
                    self.report(now, seq, copy, (outcome, took, verdict, report), orders);
                }
                // Whoever waits is gone; the message is the other life's.
                Input::Withdrawn(ticket) => {
                    self.waiting.values_mut().for_each(|tickets| tickets.retain(|other| *other != ticket));
                }
                Input::Stop { by, .. } => self.stop = Some(by),
                _ => {}
            }
        }
        self.take_on(now, offered, &[], orders);
        // What the journal did not take is declined, and the module has not heard of it.
        self.backlog.clear();
    }

    /// Tells the life that decides how a leg of this one ended, and who waits here for a delivery.
    fn report(
        &mut self,
        now: Stamp,
        seq: Seq,
        copy: u32,
        (outcome, took, verdict, report): (m::Outcome, m::Span, Verdict, m::Report),
        orders: &mut Vec<Order>,
    ) {
        let class = self.ledger.get(seq).map(|entry| entry.authorisation.class.0);
        let remember = class.and_then(|class| self.remember_ms.get(class)).copied().unwrap_or(0);
        let keep_until_ms = now.unix_ms + remember;
        let closed = Closed { copy, outcome, took, verdict, report, keep_until_ms };
        log_fault(self.ledger.closed(seq, closed), orders);
        if outcome == m::Outcome::Delivered {
            orders.push(Order::Ended(End::Delivered));
            self.answer(seq, Answer::Ended(End::Delivered), orders);
        }
    }

    /// A wait that a host told is written down before anything else is done with its answer.
    pub(super) fn note_wait(&mut self, now: Stamp, seq: Seq, outcome: m::Outcome, orders: &mut Vec<Order>) {
        let m::Outcome::Full(Some(wait)) = outcome else { return };
        let Some(entry) = self.ledger.get(seq) else { return };
        let Some(leg) = &entry.out else { return };
        let (to, host) = (entry.authorisation.destination, leg.host.clone());
        let until = now.unix_ms + wait.0.div_euclid(1000) + 1;
        log_fault(self.ledger.told(to, host.clone(), until), orders);
        // A call of this life's own has told it to the network; what another life was told has not come that way.
        let endpoint = self.host(&host);
        orders.push(Order::Wait(self.route(to, endpoint), now.mono_of(until)));
    }
}
