//! A random history of an instance, checked against the records of its destination and its clients.

use crate::common::incarnation::{
    is_accepted, message, TestIncarnation, KEYED_CLASS, NON_IDEMPOTENT_CLASS,
};
use crate::common::{attempt_finished, folder as temporary_folder};
use marblefall_delivery::core::engine::{AttemptRequest, EngineCommand, EngineEvent};
use marblefall_delivery::core::journal::latest_generation;
use marblefall_delivery::core::{FinalOutcome, MessageId, RequestId};
use marblefall_scheduler::{Outcome, Span};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Duration of one step of a history, in ms.
const STEP_MS: i64 = 10;
/// Time after which no message is submitted, in ms.
const LAST_SUBMISSION_MS: i64 = 8000;
/// Time after which incarnations are no longer started, handed over or killed, in ms.
const LAST_RESTART_MS: i64 = 9000;
/// The deduplication window of [`common::KEYED`], in ms.
const DEDUPLICATION_WINDOW_MS: i64 = 6000;

/// An attempt in flight.
struct InFlightAttempt {
    id: MessageId,
    attempt: u32,
    message: String,
    sender: Role,
    ends_ms: i64,
}

/// The role of an incarnation. At most two incarnations run at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Predecessor,
    Successor,
}

/// The parameters of a history.
#[derive(Clone, Copy)]
pub struct HistoryParameters {
    /// Maximum size of the folder, in bytes.
    pub max_bytes: u64,
    /// Length of the body of each message, in bytes.
    pub body_bytes: usize,
    /// Steps after which a predecessor without attempts exits, on average.
    pub steps_before_exit: u16,
    /// Steps between two submissions, on average.
    pub steps_between_submissions: u8,
    /// Upper bound of an attempt's duration, in ms.
    pub max_attempt_ms: i64,
    /// Number of accepted messages that a history must exceed, as it proves little otherwise.
    pub min_accepted: usize,
}

/// A history of one instance and its destination, in which incarnations start, hand over and are killed at random. The
/// instance is checked against the records of its destination and its clients.
pub struct RestartHistory {
    pub folder: PathBuf,
    parameters: HistoryParameters,
    rng: fastrand::Rng,
    /// The active incarnation, or the one that has handed over to the successor.
    predecessor: Option<TestIncarnation>,
    /// The standby, or the incarnation that has taken over from the predecessor.
    successor: Option<TestIncarnation>,
    successor_is_active: bool,
    pub ms: i64,
    in_flight: Vec<InFlightAttempt>,
    /// The times at which each message was executed at the destination.
    executions: BTreeMap<String, Vec<i64>>,
    /// The indices of the accepted messages' classes, by message.
    pub accepted_messages: BTreeMap<String, usize>,
    /// The final outcomes that notices have reported, by message.
    notices: BTreeMap<String, FinalOutcome>,
    backoff_until_ms: i64,
    next_message_number: usize,
    pub trace: Vec<String>,
}

impl RestartHistory {
    /// Starts a history with one active incarnation.
    pub fn new(seed: u64, parameters: HistoryParameters) -> RestartHistory {
        let folder = temporary_folder(&format!("history-{seed}-{}", parameters.body_bytes));
        let (predecessor, _) =
            TestIncarnation::start_alone_within(parameters.max_bytes, &folder, 0);
        RestartHistory {
            folder,
            parameters,
            rng: fastrand::Rng::with_seed(seed),
            predecessor: Some(predecessor),
            successor: None,
            successor_is_active: false,
            ms: 0,
            in_flight: Vec::new(),
            executions: BTreeMap::new(),
            accepted_messages: BTreeMap::new(),
            notices: BTreeMap::new(),
            backoff_until_ms: 0,
            next_message_number: 0,
            trace: Vec::new(),
        }
    }

    /// Adds a line to the trace.
    fn record(&mut self, event: impl Into<String>) {
        self.trace.push(format!("{:5} {}", self.ms, event.into()));
    }

    /// Executes the commands of an incarnation. Panics if an attempt violates an invariant.
    fn execute(&mut self, commands: Vec<EngineCommand>, sender: Role) {
        for command in commands {
            match command {
                EngineCommand::StartAttempt(AttemptRequest {
                    message_id: id,
                    attempt,
                    message,
                    ..
                }) => {
                    let name = String::from_utf8(message.identity.clone()).unwrap();
                    self.record(format!("attempt {attempt} of {name} by {sender:?}"));
                    assert!(
                        !self.in_flight.iter().any(|attempt| attempt.message == name),
                        "two attempts of {name} in flight"
                    );
                    assert!(
                        self.ms >= self.backoff_until_ms,
                        "an attempt is sent during a backoff"
                    );
                    let duration = self.rng.i64(5..self.parameters.max_attempt_ms);
                    self.in_flight.push(InFlightAttempt {
                        id,
                        attempt,
                        message: name,
                        sender,
                        ends_ms: self.ms + duration,
                    });
                }
                EngineCommand::SendNotice {
                    message, outcome, ..
                } => {
                    let name = String::from_utf8(message.identity.clone()).unwrap();
                    self.record(format!("notice of {name}: {outcome:?}"));
                    self.notices.insert(name, outcome);
                }
                _ => {}
            }
        }
    }

    /// Steps the incarnation with a role, if there is one. Returns its commands.
    fn step(&mut self, role: Role, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let incarnation = match role {
            Role::Predecessor => self.predecessor.as_mut(),
            Role::Successor => self.successor.as_mut(),
        };
        incarnation.map_or_else(Vec::new, |incarnation| incarnation.step(self.ms, events))
    }

    /// Steps the incarnation with a role, and executes its commands.
    fn step_and_execute(&mut self, role: Role, events: Vec<EngineEvent>) {
        let commands = self.step(role, events);
        self.execute(commands, role);
    }

    /// Makes the active successor the predecessor of later incarnations, once the predecessor has exited.
    fn promote_successor(&mut self) {
        if self.predecessor.is_none() && self.successor.is_some() && self.successor_is_active {
            self.predecessor = self.successor.take();
            self.successor_is_active = false;
            self.in_flight
                .iter_mut()
                .for_each(|attempt| attempt.sender = Role::Predecessor);
        }
    }

    fn kill_predecessor(&mut self) {
        let Some(predecessor) = self.predecessor.take() else {
            return;
        };
        self.record("the predecessor is killed");
        self.drop_attempts(Role::Predecessor);
        let generation = predecessor.generation;
        drop(predecessor);
        match (self.successor.is_some(), self.successor_is_active) {
            (true, true) => self.step_and_execute(
                Role::Successor,
                vec![EngineEvent::PredecessorExited(generation)],
            ),
            (true, false) => {
                self.successor_is_active = true;
                self.step_and_execute(
                    Role::Successor,
                    vec![EngineEvent::TakeOver {
                        running: vec![],
                        first_concurrent: Some(generation),
                    }],
                );
            }
            (false, _) => {
                let (incarnation, commands) = self.start_alone();
                self.record("another incarnation starts alone");
                // A restart ends a backoff.
                self.backoff_until_ms = 0;
                self.predecessor = Some(incarnation);
                self.execute(commands, Role::Predecessor);
            }
        }
        self.promote_successor();
    }

    fn start_alone(&self) -> (TestIncarnation, Vec<EngineCommand>) {
        TestIncarnation::start_alone_within(self.parameters.max_bytes, &self.folder, self.ms)
    }

    /// Drops the attempts of a killed incarnation. Each is executed at the destination or not, at random, and has no result.
    fn drop_attempts(&mut self, sender: Role) {
        let (dropped, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt| attempt.sender == sender);
        self.in_flight = remaining;
        for attempt in dropped {
            if self.rng.bool() {
                let executions = self.executions.entry(attempt.message).or_default();
                executions.push(self.ms);
            }
        }
    }

    fn kill_successor(&mut self) {
        if self.successor.is_none() {
            return;
        }
        self.record("the successor is killed");
        self.drop_attempts(Role::Successor);
        let was_active = std::mem::take(&mut self.successor_is_active);
        self.successor = None;
        if was_active {
            // The predecessor has handed over, so it exits. A third incarnation recovers the messages of both.
            self.drop_attempts(Role::Predecessor);
            self.predecessor = None;
            let (incarnation, commands) = self.start_alone();
            self.record("a third incarnation starts alone");
            self.backoff_until_ms = 0;
            self.predecessor = Some(incarnation);
            self.execute(commands, Role::Predecessor);
        } else {
            let new_generation = latest_generation(&self.folder).unwrap().next();
            self.step_and_execute(
                Role::Predecessor,
                vec![EngineEvent::StandbyExited(new_generation)],
            );
            self.predecessor
                .iter_mut()
                .for_each(|predecessor| predecessor.generation = new_generation);
        }
    }

    fn finish_attempts(&mut self) {
        let ms = self.ms;
        while let Some(at) = self
            .in_flight
            .iter()
            .position(|attempt| attempt.ends_ms <= ms)
        {
            let InFlightAttempt {
                id,
                attempt,
                message: name,
                sender,
                ..
            } = self.in_flight.remove(at);
            let outcome = match self.rng.u8(0..10) {
                0 => Outcome::Error,
                1 => Outcome::Reset,
                2 => Outcome::Rejected {
                    retry_after: Some(Span::from_ms(self.rng.i64(100..900) as f64)),
                },
                3 => Outcome::ConnectFailed,
                _ => Outcome::Delivered,
            };
            let is_executed = match outcome {
                Outcome::Delivered => true,
                Outcome::Error | Outcome::Reset => self.rng.bool(),
                _ => false,
            };
            if is_executed {
                self.executions.entry(name.clone()).or_default().push(ms);
            }
            if let Outcome::Rejected {
                retry_after: Some(retry_after),
            } = outcome
            {
                self.backoff_until_ms = self.backoff_until_ms.max(ms + retry_after.0 / 1000);
            }
            self.record(format!(
                "attempt of {name} ends: {outcome:?}, executed: {is_executed}"
            ));
            self.step_and_execute(sender, vec![attempt_finished(id, attempt, outcome)]);
            if sender == Role::Predecessor && self.successor_is_active {
                // The successor reads the predecessor's journal before any other event.
                self.step_and_execute(Role::Successor, vec![EngineEvent::FollowPredecessors]);
            }
        }
    }

    fn submit_message(&mut self) {
        let (name, class) = (
            format!("m{}", self.next_message_number),
            self.next_message_number % 3,
        );
        self.next_message_number += 1;
        let is_for_predecessor =
            self.successor.is_none() || self.predecessor.is_some() && self.rng.bool();
        let receiver = if is_for_predecessor {
            Role::Predecessor
        } else {
            Role::Successor
        };
        let event = EngineEvent::Submitted(
            RequestId(self.next_message_number as u64),
            message(&name, class, self.ms, self.parameters.body_bytes),
        );
        let commands = self.step(receiver, vec![event]);
        if is_accepted(&commands) {
            self.accepted_messages.insert(name.clone(), class);
            self.record(format!("{name} accepted by {receiver:?}"));
        }
        self.execute(commands, receiver);
        if receiver == Role::Predecessor && self.successor_is_active {
            self.step_and_execute(Role::Successor, vec![EngineEvent::FollowPredecessors]);
        }
    }

    /// Advances the time by one step: attempts end, messages are submitted, and incarnations start, hand over, exit or are
    /// killed.
    pub fn advance(&mut self) {
        self.ms += STEP_MS;
        self.finish_attempts();
        if self.ms < LAST_SUBMISSION_MS
            && self.rng.u8(0..self.parameters.steps_between_submissions) == 0
        {
            self.submit_message();
        }
        if self.ms < LAST_RESTART_MS {
            self.restart_at_random();
        } else if self.successor.is_some() && !self.successor_is_active {
            // A standby requests the handover if its predecessor is not shut down.
            self.hand_over();
        }
        if self.successor_is_active
            && !self.has_attempts_in_flight(Role::Predecessor)
            && self.rng.u16(0..self.parameters.steps_before_exit) == 0
        {
            self.exit_predecessor();
        }
        self.step_and_execute(Role::Predecessor, vec![]);
        self.step_and_execute(
            Role::Successor,
            if self.successor_is_active {
                vec![EngineEvent::FollowPredecessors]
            } else {
                vec![]
            },
        );
    }

    fn has_attempts_in_flight(&self, sender: Role) -> bool {
        self.in_flight
            .iter()
            .any(|attempt| attempt.sender == sender)
    }

    /// Starts a standby, hands over to it, or kills an incarnation, each with a fixed probability.
    fn restart_at_random(&mut self) {
        match self.rng.u16(0..600) {
            0..=5 if self.successor.is_none() => {
                self.record("a standby starts");
                self.successor = Some(TestIncarnation::standby_within(
                    self.parameters.max_bytes,
                    &self.folder,
                    self.ms,
                ));
            }
            6..=25 if self.successor.is_some() && !self.successor_is_active => self.hand_over(),
            26..=28 => self.kill_predecessor(),
            29..=31 => self.kill_successor(),
            _ => {}
        }
    }

    fn hand_over(&mut self) {
        self.record("the predecessor hands over");
        let commands = self.predecessor.as_mut().unwrap().hand_over(self.ms);
        self.execute(commands, Role::Predecessor);
        let generation = self.predecessor.as_ref().unwrap().generation;
        self.successor_is_active = true;
        let successor = self.successor.as_mut().unwrap();
        let commands = successor.take_over(self.ms, &[generation], generation);
        self.execute(commands, Role::Successor);
    }

    fn exit_predecessor(&mut self) {
        self.record("the predecessor exits");
        let generation = self.predecessor.take().unwrap().generation;
        self.step_and_execute(
            Role::Successor,
            vec![EngineEvent::PredecessorExited(generation)],
        );
        self.promote_successor();
    }

    /// Checks the executions and final outcomes of all accepted messages.
    pub fn check_outcomes(&self) {
        for (name, class) in &self.accepted_messages {
            let none = Vec::new();
            let executions = self.executions.get(name).unwrap_or(&none);
            let notice = self.notices.get(name);
            assert!(!executions.is_empty() || notice.is_some(), "{name} is lost");
            match *class {
                NON_IDEMPOTENT_CLASS => assert!(
                    executions.len() <= 1,
                    "{name} was executed {} times",
                    executions.len()
                ),
                KEYED_CLASS => {
                    let span_ms =
                        executions.last().unwrap_or(&0) - executions.first().unwrap_or(&0);
                    assert!(
                        span_ms < DEDUPLICATION_WINDOW_MS + self.parameters.max_attempt_ms,
                        "{name} was executed again after its deduplication window"
                    );
                }
                _ => {}
            }
        }
    }
}
