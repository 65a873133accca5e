//! Attempts, from the instance to the endpoint and back, and the final outcomes of messages.

use super::event_queue::{SentAttempt, SimulationEvent, Submission};
use super::{Message, Simulation};
use crate::connections::{Acquired, Release};
use crate::destination::CallResult;
use crate::observation::{FinalOutcome, Observation};
use marblefall_scheduler::{
    AttemptNumber, AttemptStart, EndpointId, Event, MessageId, Outcome, RateLimitReport, Span, Time,
};

/// Result of connecting to the endpoint of an attempt.
enum ConnectResult {
    /// The connection is established after this additional time.
    Established { after: Span },
    /// The attempt fails without reaching its endpoint.
    Failed { after: Span, outcome: Outcome },
}

/// An attempt that has just ended.
struct EndedAttempt {
    instance: usize,
    start: AttemptStart,
    number: AttemptNumber,
    /// Whether the attempt delivers a message that had no final outcome before.
    is_final: bool,
}

impl Simulation<'_> {
    /// Starts an attempt of an instance.
    pub(super) fn send(
        &mut self,
        instance: usize,
        id: u64,
        endpoint: EndpointId,
        timeout_at: Time,
    ) {
        self.record_attempt(instance, id, endpoint);
        let attempt = SentAttempt {
            message: id,
            incarnation: self.instances[instance].incarnation,
            endpoint,
            timeout_at,
        };
        let network_delay = self.network_delay();
        match self.connect(instance, id, endpoint, network_delay) {
            ConnectResult::Established { after } => {
                self.send_over_network(attempt, Span(network_delay.0 + after.0));
            }
            ConnectResult::Failed { after, outcome } => {
                self.queue
                    .push(self.now + after, attempt.end_event(outcome));
            }
        }
    }

    fn record_attempt(&mut self, instance: usize, id: u64, endpoint: EndpointId) {
        self.observe(Observation::AttemptSent {
            message: id,
            instance,
            endpoint: endpoint.0,
        });
        self.totals.attempts += 1;
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts += 1;
            message.in_flight = Some(AttemptStart {
                endpoint,
                sent: self.now,
            });
        }
    }

    /// Schedules the arrival of an attempt at its endpoint, or its timeout if the network loses it.
    fn send_over_network(&mut self, attempt: SentAttempt, delay: Span) {
        let destination = self.destination_of(attempt.endpoint);
        if self.scenario.is_partitioned(destination, self.now) || self.is_lost_in_network() {
            let timeout = attempt.end_event(Outcome::TimedOut);
            return self.queue.push(attempt.timeout_at, timeout);
        }
        let arrival = SimulationEvent::AttemptArrives(attempt);
        self.queue.push(self.now + delay, arrival);
    }

    /// Acquires a connection for an attempt. Without a connection policy of the destination, connecting takes no time.
    fn connect(
        &mut self,
        instance: usize,
        id: u64,
        endpoint: EndpointId,
        network_delay: Span,
    ) -> ConnectResult {
        let destination = self.destination_of(endpoint);
        let Some(policy) = self.scenario.destinations[destination].connection_policy else {
            return ConnectResult::Established { after: Span::ZERO };
        };
        let acquired = self
            .connection_pool
            .acquire(self.now, instance, endpoint.0, &policy);
        let round_trip = Span(network_delay.0 + self.network_delay().0);
        let after = match acquired {
            Acquired::Stale => {
                return ConnectResult::Failed {
                    after: round_trip,
                    outcome: Outcome::StaleConnection,
                };
            }
            Acquired::LimitReached => {
                return ConnectResult::Failed {
                    after: round_trip,
                    outcome: Outcome::ConnectFailed,
                };
            }
            Acquired::New => Span(round_trip.0 + policy.connect.0),
            Acquired::Reused => Span::ZERO,
        };
        if let Some(message) = self.messages.get_mut(&id) {
            message.holds_connection = true;
        }
        ConnectResult::Established { after }
    }

    /// Handles an attempt that arrives at its endpoint, and schedules its end.
    pub(super) fn attempt_arrives(&mut self, attempt: SentAttempt) {
        self.observe(Observation::AttemptArrived {
            message: attempt.message,
            endpoint: attempt.endpoint.0,
        });
        let location = self.endpoint_locations[attempt.endpoint.0 as usize];
        let destination = location.destination;
        let result =
            self.destinations[destination].receive(self.now, location.index, &mut self.rng);
        if matches!(result, CallResult::Overloaded { .. }) {
            self.observe(Observation::RecoveryOverloaded { destination });
        }
        let delay = self.network_delay();
        let is_lost =
            self.is_lost_in_network() || self.scenario.is_partitioned(destination, self.now);
        let (at, outcome) = match result.answer().filter(|_| !is_lost) {
            Some((at, outcome)) if at + delay < attempt.timeout_at => (at + delay, outcome),
            _ => (attempt.timeout_at, Outcome::TimedOut),
        };
        let at = at.max(self.now + Span(1));
        self.queue.push(at, attempt.end_event(outcome));
    }

    /// Reports the end of an attempt to its instance if the incarnation that started the attempt still runs.
    pub(super) fn attempt_ends(&mut self, id: u64, incarnation: u32, outcome: Outcome) {
        let Some(ended) = self.take_attempt_in_flight(id, incarnation, outcome) else {
            return;
        };
        self.observe(Observation::AttemptEnded {
            message: id,
            instance: ended.instance,
            endpoint: ended.start.endpoint.0,
            outcome,
        });
        if ended.is_final {
            self.finish(id, FinalOutcome::Delivered);
        }
        let finished = Event::AttemptFinished {
            message: MessageId(id),
            attempt: ended.number,
            outcome,
            duration: self.now - ended.start.sent,
            is_final: ended.is_final,
            rate_limit: RateLimitReport::default(),
        };
        self.deliver(ended.instance, &[finished]);
        let is_complete = |message: &Message| message.has_ended && message.in_flight.is_none();
        if self.messages.get(&id).is_some_and(is_complete) {
            self.messages.remove(&id);
        }
    }

    /// Removes the attempt in flight of a message and releases its connection. Returns `None` if the incarnation that
    /// started the attempt no longer runs, or if no attempt is in flight.
    fn take_attempt_in_flight(
        &mut self,
        id: u64,
        incarnation: u32,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let message = self.messages.get_mut(&id)?;
        let instance = message.instance;
        if self.instances[instance].incarnation != incarnation {
            return None;
        }
        let start = message.in_flight.take()?;
        if !outcome.proves_not_executed() {
            message.first_possible_execution.get_or_insert(start);
        }
        if std::mem::take(&mut message.holds_connection) {
            let release = release_after(outcome);
            self.connection_pool
                .release(self.now, instance, start.endpoint.0, release);
        }
        Some(EndedAttempt {
            instance,
            start,
            number: AttemptNumber(message.attempts - 1),
            is_final: outcome == Outcome::Delivered && !message.has_ended,
        })
    }

    /// Records the final outcome of a message. The client submits a rejected message again if it has retries left.
    pub(super) fn finish(&mut self, id: u64, outcome: FinalOutcome) {
        self.observe(Observation::Finished {
            message: id,
            outcome,
        });
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        message.has_ended = true;
        let submission = message.submission;
        let is_in_flight = message.in_flight.is_some();
        // A delivered message is removed once its instance has received the end of the attempt.
        if !is_in_flight && outcome != FinalOutcome::Delivered {
            self.messages.remove(&id);
        }
        let (FinalOutcome::Rejected(wait), 1..) = (outcome, submission.retries_left) else {
            return;
        };
        let resubmission = Submission {
            retries_left: submission.retries_left - 1,
            ..submission
        };
        let delay = self.network_delay();
        let submit = SimulationEvent::ClientSubmits(resubmission);
        self.queue.push(self.now + wait + delay, submit);
    }
}

/// Returns the state of the connection after an attempt. Only a complete response leaves it reusable.
fn release_after(outcome: Outcome) -> Release {
    match outcome {
        Outcome::Delivered | Outcome::Error | Outcome::Rejected { .. } => Release::Reusable,
        _ => Release::Closed,
    }
}
