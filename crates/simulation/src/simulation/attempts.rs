//! Attempts: their way to an endpoint and back, and how messages end.

use super::event_queue::{SimulationEvent, Submission, TravellingAttempt};
use super::Simulation;
use crate::partner::Fate;
use crate::seen::{End, Seen};
use crate::wires::Found;
use marblefall_scheduler::{
    AttemptNumber, EndpointId, Event, MessageId, Outcome, RateLimitReport, Span, Time,
};

impl Simulation<'_> {
    /// A courier starts an attempt.
    pub(super) fn send(&mut self, courier: usize, id: u64, endpoint: EndpointId, timeout_at: Time) {
        self.observe(Seen::Sent {
            message: id,
            courier,
            endpoint: endpoint.0,
        });
        self.played.legs += 1;
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts += 1;
            message.in_flight = Some((endpoint, self.now));
        }
        let incarnation = self.couriers[courier].incarnation;
        let ends = |outcome| SimulationEvent::AttemptEnds {
            message: id,
            incarnation,
            outcome,
        };
        let mut delay = self.network_delay();
        match self.connect(courier, id, endpoint, delay) {
            Ok(connecting) => delay.0 += connecting.0,
            Err((after, outcome)) => return self.queue.push(self.now + after, ends(outcome)),
        }
        let (partner, _) = self.endpoint_places[endpoint.0 as usize];
        if self.scenario.cut_off(partner, self.now) || self.is_lost_on_the_way() {
            return self.queue.push(timeout_at, ends(Outcome::TimedOut));
        }
        let attempt = TravellingAttempt {
            message: id,
            incarnation,
            endpoint,
            timeout_at,
        };
        let arrives = SimulationEvent::AttemptArrives(attempt);
        self.queue.push(self.now + delay, arrives);
    }

    /// Takes a connection for an attempt, where the scenario counts them; returns how long establishing it takes, or after which
    /// time the attempt ends how.
    fn connect(
        &mut self,
        courier: usize,
        id: u64,
        endpoint: EndpointId,
        delay: Span,
    ) -> Result<Span, (Span, Outcome)> {
        let (partner, _) = self.endpoint_places[endpoint.0 as usize];
        let Some(wire) = self.scenario.partners[partner].wire else {
            return Ok(Span::ZERO);
        };
        let found = self.wires.take(self.now, courier, endpoint.0, &wire);
        let round_trip = Span(delay.0 + self.network_delay().0);
        let connecting = match found {
            Found::Closed => return Err((round_trip, Outcome::StaleConnection)),
            Found::NoRoom => return Err((round_trip, Outcome::ConnectFailed)),
            Found::New => Span(round_trip.0 + wire.connect.0),
            Found::Kept => Span::ZERO,
        };
        if let Some(message) = self.messages.get_mut(&id) {
            message.holds_connection = true;
        }
        Ok(connecting)
    }

    /// An attempt comes to its endpoint, which answers it or does not.
    pub(super) fn attempt_arrives(&mut self, attempt: TravellingAttempt) {
        let TravellingAttempt {
            message,
            incarnation,
            endpoint,
            timeout_at,
        } = attempt;
        self.observe(Seen::Came {
            message,
            endpoint: endpoint.0,
        });
        let (partner, place) = self.endpoint_places[endpoint.0 as usize];
        let Fate { answer, fell } = self.partners[partner].take(self.now, place, &mut self.rng);
        if fell {
            self.observe(Seen::Fell { partner });
        }
        let delay = self.network_delay();
        let is_lost = self.is_lost_on_the_way() || self.scenario.cut_off(partner, self.now);
        let (at, outcome) = match answer.filter(|_| !is_lost) {
            Some((at, outcome)) if at + delay < timeout_at => (at + delay, outcome),
            _ => (timeout_at, Outcome::TimedOut),
        };
        let ends = SimulationEvent::AttemptEnds {
            message,
            incarnation,
            outcome,
        };
        self.queue.push(at.max(self.now + Span(1)), ends);
    }

    /// An attempt ends for the courier that started it, if that is still the same incarnation.
    pub(super) fn attempt_ends(&mut self, id: u64, incarnation: u32, outcome: Outcome) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let courier = message.courier;
        if self.couriers[courier].incarnation != incarnation {
            return;
        }
        let Some((endpoint, sent)) = message.in_flight.take() else {
            return;
        };
        if !outcome.proves_not_executed() {
            message
                .first_possible_execution
                .get_or_insert((sent, endpoint));
        }
        if std::mem::take(&mut message.holds_connection) {
            let is_whole = matches!(
                outcome,
                Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. }
            );
            self.wires
                .give_back(self.now, courier, endpoint.0, is_whole);
        }
        let attempt = AttemptNumber(message.attempts - 1);
        let is_final = outcome == Outcome::Delivered && !message.ended;
        self.observe(Seen::Closed {
            message: id,
            courier,
            endpoint: endpoint.0,
            outcome,
        });
        if is_final {
            self.finish(id, End::Delivered);
        }
        let finished = Event::AttemptFinished {
            message: MessageId(id),
            attempt,
            outcome,
            duration: self.now - sent,
            is_final,
            rate_limit: RateLimitReport::default(),
        };
        self.deliver(courier, &[finished]);
        let is_over = |message: &super::Message| message.ended && message.in_flight.is_none();
        if self.messages.get(&id).is_some_and(is_over) {
            self.messages.remove(&id);
        }
    }

    /// A message ends; its client may hand it in again.
    pub(super) fn finish(&mut self, id: u64, end: End) {
        self.observe(Seen::Ended { message: id, end });
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.ended = true;
        let submission = message.submission;
        let is_in_flight = message.in_flight.is_some();
        // What was delivered is forgotten once its courier knows.
        if !is_in_flight && end != End::Delivered {
            self.messages.remove(&id);
        }
        let (End::Refused(wait), 1..) = (end, submission.retries_left) else {
            return;
        };
        let again = Submission {
            retries_left: submission.retries_left - 1,
            ..submission
        };
        let delay = self.network_delay();
        let submits = SimulationEvent::ClientSubmits(again);
        self.queue.push(self.now + wait + delay, submits);
    }
}
