//! Checks the observations of a run as they occur.

use super::{Invariant, Verdict, Violation};
use crate::observation::{FinalOutcome, Observation};
use crate::scenario::{EndpointLocation, Scenario};
use marblefall_scheduler::{EndpointStatus, Idempotency, Outcome, Span, Time};
use std::collections::HashMap;

/// Time in which a change of the endpoint list reaches every instance, and attempts sent before that have arrived.
pub const LIST_PROPAGATION_TIME: Span = Span(250_000);
/// Maximum time from the deadline of a message to its end. An attempt in flight at the deadline has to end first.
const DEADLINE_TOLERANCE: Span = Span(1_000_000);
/// Maximum number of violations recorded with their trace. Further violations are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 20;
/// Maximum number of observations recorded per message.
const MAX_TRACE_LENGTH: usize = 40;

/// An accepted message that has no final outcome, or still has an attempt in flight.
struct OpenMessage {
    instance: usize,
    class: usize,
    expires: Time,
    in_flight: Option<AttemptInFlight>,
    /// Time at which the first attempt was sent that the destination may have executed.
    first_possible_execution: Option<Time>,
    has_ended: bool,
    trace: Vec<(Time, Observation)>,
}

impl OpenMessage {
    fn new(instance: usize, class: usize, expires: Time) -> OpenMessage {
        OpenMessage {
            instance,
            class,
            expires,
            in_flight: None,
            first_possible_execution: None,
            has_ended: false,
            trace: Vec::new(),
        }
    }
}

#[derive(Clone, Copy)]
struct AttemptInFlight {
    endpoint: u32,
    sent_at: Time,
}

/// Checks the observations of a run as they occur.
pub struct InvariantChecker<'s> {
    scenario: &'s Scenario,
    endpoint_locations: Vec<EndpointLocation>,
    messages: HashMap<u64, OpenMessage>,
    /// Time before which a destination permits no further attempt from an instance (Retry-After), by instance and
    /// destination.
    retry_not_before: HashMap<(usize, usize), Time>,
    /// Time since which an endpoint has not been listed as active, by endpoint.
    inactive_since: HashMap<u32, Time>,
    violations: Vec<Violation>,
    count: u64,
}

impl<'s> InvariantChecker<'s> {
    /// Creates a checker without observations.
    pub fn new(scenario: &'s Scenario) -> InvariantChecker<'s> {
        InvariantChecker {
            scenario,
            endpoint_locations: scenario.endpoint_locations(),
            messages: HashMap::new(),
            retry_not_before: HashMap::new(),
            inactive_since: HashMap::new(),
            violations: Vec::new(),
            count: 0,
        }
    }

    /// Checks an observation. Observations must be passed in chronological order.
    pub fn observe(&mut self, at: Time, observation: &Observation) {
        self.record_trace(at, observation);
        match *observation {
            Observation::Accepted {
                message,
                instance,
                class,
                expires,
                ..
            } => {
                let mut accepted = OpenMessage::new(instance, class, expires);
                accepted.trace.push((at, *observation));
                self.messages.insert(message, accepted);
            }
            Observation::Finished { message, outcome } => {
                self.message_finished(at, message, outcome);
            }
            Observation::AttemptSent {
                message,
                instance,
                endpoint,
            } => self.attempt_sent(at, message, instance, endpoint),
            Observation::AttemptArrived { message, endpoint } => {
                self.attempt_arrived(at, message, endpoint);
            }
            Observation::AttemptEnded {
                message,
                instance,
                endpoint,
                outcome,
            } => {
                self.record_retry_after(at, instance, endpoint, outcome);
                self.attempt_ended(message, outcome);
            }
            Observation::EndpointListed { endpoint, status } => {
                self.endpoint_listed(at, endpoint, status);
            }
            Observation::RecoveryOverloaded { destination } => {
                let name = &self.scenario.destinations[destination].name;
                let description = format!("{name} failed again");
                self.record_violation(Invariant::NoRecoveryOverload, at, None, description);
            }
            Observation::InstanceCrashed { instance } => self.instance_crashed(instance),
            Observation::InstanceRestarted { .. } => {}
        }
    }

    /// Completes the check. Messages without a final outcome whose deadline has passed are reported as lost.
    pub fn finish(mut self, at: Time) -> Verdict {
        let is_lost =
            |open: &OpenMessage| !open.has_ended && open.expires + DEADLINE_TOLERANCE < at;
        let lost = self.messages.iter().filter(|(_, open)| is_lost(open));
        let mut lost: Vec<u64> = lost.map(|(message, _)| *message).collect();
        lost.sort_unstable();
        for message in lost {
            let description = format!("message {message} has no final outcome");
            self.record_violation(Invariant::NoMessageLost, at, Some(message), description);
        }
        Verdict {
            violations: self.violations,
            count: self.count,
        }
    }

    fn record_violation(
        &mut self,
        invariant: Invariant,
        at: Time,
        message: Option<u64>,
        description: String,
    ) {
        self.count += 1;
        if self.violations.len() >= MAX_RECORDED_VIOLATIONS {
            return;
        }
        let open = message.and_then(|message| self.messages.get(&message));
        self.violations.push(Violation {
            invariant,
            at,
            description,
            trace: open.map_or_else(Vec::new, |open| open.trace.clone()),
        });
    }

    fn record_trace(&mut self, at: Time, observation: &Observation) {
        let message = observation.message();
        let Some(open) = message.and_then(|message| self.messages.get_mut(&message)) else {
            return;
        };
        if open.trace.len() < MAX_TRACE_LENGTH {
            open.trace.push((at, *observation));
        }
    }

    fn message_finished(&mut self, at: Time, message: u64, outcome: FinalOutcome) {
        let open = self.messages.get_mut(&message);
        let Some(open) = open.filter(|open| !open.has_ended) else {
            let description =
                format!("message {message} ended again, or was never accepted: {outcome:?}");
            return self.record_violation(
                Invariant::SingleFinalOutcome,
                at,
                Some(message),
                description,
            );
        };
        open.has_ended = true;
        let has_attempt_in_flight = open.in_flight.is_some();
        let late = at - open.expires;
        if late > DEADLINE_TOLERANCE && outcome == FinalOutcome::Delivered {
            let description = format!(
                "message {message} was delivered {:.0} ms after its deadline",
                late.ms()
            );
            self.record_violation(Invariant::NoMessageLost, at, Some(message), description);
        }
        if !has_attempt_in_flight {
            self.messages.remove(&message);
        }
    }

    fn attempt_sent(&mut self, at: Time, message: u64, instance: usize, endpoint: u32) {
        self.check_retry_after(at, message, instance, endpoint);
        let Some(open) = self.messages.get_mut(&message) else {
            let description =
                format!("an attempt of message {message}, which has ended or was never accepted");
            return self.record_violation(Invariant::SingleFinalOutcome, at, None, description);
        };
        let sent = AttemptInFlight {
            endpoint,
            sent_at: at,
        };
        if let Some(other) = open.in_flight.replace(sent) {
            let description = format!(
                "an attempt of message {message} while another one is in flight to endpoint {} since {:.6} s",
                other.endpoint,
                other.sent_at.ms() / 1000.0
            );
            return self.record_violation(
                Invariant::SingleAttemptInFlight,
                at,
                Some(message),
                description,
            );
        }
        let age = open.first_possible_execution.map(|first| at - first);
        let idempotency = self.scenario.classes[open.class].class.idempotency;
        if let Some(reason) = age.and_then(|age| reason_against_retry(idempotency, age)) {
            let description = format!("message {message} was sent again, but {reason}");
            self.record_violation(Invariant::RetriesPermitted, at, Some(message), description);
        }
    }

    fn check_retry_after(&mut self, at: Time, message: u64, instance: usize, endpoint: u32) {
        let destination = self.endpoint_locations[endpoint as usize].destination;
        let Some(until) = self.retry_not_before.get(&(instance, destination)) else {
            return;
        };
        if at < *until {
            let early = (*until - at).ms();
            let description =
                format!("message {message} was sent {early:.3} ms before Retry-After had passed");
            self.record_violation(
                Invariant::RetryAfterObserved,
                at,
                Some(message),
                description,
            );
        }
    }

    fn attempt_arrived(&mut self, at: Time, message: u64, endpoint: u32) {
        let Some(since) = self.inactive_since.get(&endpoint) else {
            return;
        };
        let late = at - *since;
        if late > LIST_PROPAGATION_TIME {
            let description = format!(
                "message {message} arrived at endpoint {endpoint} {:.0} ms after it left the list",
                late.ms()
            );
            self.record_violation(Invariant::DrainingObserved, at, Some(message), description);
        }
    }

    fn record_retry_after(&mut self, at: Time, instance: usize, endpoint: u32, outcome: Outcome) {
        let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        else {
            return;
        };
        let destination = self.endpoint_locations[endpoint as usize].destination;
        let key = (instance, destination);
        let until = self.retry_not_before.entry(key).or_insert(at);
        *until = (*until).max(at + wait);
    }

    fn attempt_ended(&mut self, message: u64, outcome: Outcome) {
        let Some(open) = self.messages.get_mut(&message) else {
            return;
        };
        if let Some(attempt) = open.in_flight.take() {
            if !outcome.proves_not_executed() {
                open.first_possible_execution.get_or_insert(attempt.sent_at);
            }
        }
        if open.has_ended {
            self.messages.remove(&message);
        }
    }

    fn endpoint_listed(&mut self, at: Time, endpoint: u32, status: EndpointStatus) {
        if status == EndpointStatus::Active {
            self.inactive_since.remove(&endpoint);
        } else {
            self.inactive_since.entry(endpoint).or_insert(at);
        }
    }

    /// Handles the crash of an instance. Its attempts in flight may have been executed, and its record of Retry-After is
    /// lost.
    fn instance_crashed(&mut self, instance: usize) {
        let messages = self.messages.values_mut();
        for open in messages.filter(|open| open.instance == instance) {
            if let Some(attempt) = open.in_flight.take() {
                open.first_possible_execution.get_or_insert(attempt.sent_at);
            }
        }
        self.messages
            .retain(|_, open| open.instance != instance || !open.has_ended);
        self.retry_not_before
            .retain(|(of_instance, _), _| *of_instance != instance);
    }
}

/// Returns the reason why a message must not be retried at this age since its first possible execution, or `None` if the
/// retry is permitted.
fn reason_against_retry(idempotency: Idempotency, age: Span) -> Option<String> {
    match idempotency {
        Idempotency::NonIdempotent => Some("its class is not idempotent".to_owned()),
        Idempotency::IdempotencyKey { window, .. } if age >= window => Some(format!(
            "it was first sent {:.1} s ago, and its idempotency key is valid for {:.1} s",
            age.secs(),
            window.secs()
        )),
        Idempotency::IdempotencyKey { .. } | Idempotency::Idempotent => None,
    }
}
