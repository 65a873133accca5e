//! Two incarnations of the engine over one folder, with a clock set by the tests: what one takes over from the other, and
//! whole random histories of starts, handovers and crashes.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{attempt_finished, endpoint, engine_settings, folder, limits, START_MS};
use marblefall_delivery::core::engine::{
    AttemptRequest, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::journal::{latest, segments, Generation};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    FinalOutcome, Message, MessageId, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_BYTES: u64 = 3_000_000;
/// A class whose repeats endpoints drop by key, one that is idempotent, and one that is not.
const KEYED: usize = 0;
const FREE: usize = 1;
const NEVER: usize = 2;

fn classes() -> Vec<String> {
    ["keyed", "free", "never"].map(String::from).to_vec()
}

fn restart_settings() -> EngineSettings {
    engine_settings(
        &[
            common::KEYED,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
        ],
        limits(200),
    )
}

fn list(endpoints: &[&str]) -> EngineEvent {
    EngineEvent::EndpointsReplaced(endpoints.iter().map(|name| endpoint(name)).collect())
}

/// One incarnation.
struct TestIncarnation {
    engine: Engine,
    generation: Generation,
    started_ms: i64,
}

impl TestIncarnation {
    /// One that starts while no other runs.
    fn start_alone(dir: &Path, ms: i64) -> (TestIncarnation, Vec<EngineCommand>) {
        let store = MessageStore::open(dir, MAX_BYTES, classes()).unwrap();
        let generation = latest(dir).unwrap();
        let mut commands = Vec::new();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let mut incarnation = TestIncarnation {
            engine: Engine::new(restart_settings(), store, now, &mut commands),
            generation,
            started_ms: ms,
        };
        commands.extend(incarnation.step(ms, vec![list(&["h"])]));
        (incarnation, commands)
    }

    /// One that starts as a standby beside others.
    fn standby(dir: &Path, ms: i64) -> TestIncarnation {
        let generation = latest(dir).unwrap().next();
        let store = MessageStore::begin(dir, MAX_BYTES, classes(), generation).unwrap();
        let mut incarnation = TestIncarnation {
            engine: Engine::standby(restart_settings(), store),
            generation,
            started_ms: ms,
        };
        incarnation.step(ms, vec![list(&["h"])]);
        incarnation
    }

    fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = Timestamp {
            monotonic: Time((ms - self.started_ms) * 1000),
            unix_ms: START_MS + ms,
        };
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut commands);
        }
        commands
    }

    fn submit(&mut self, ms: i64, name: &str, class: usize) -> Vec<EngineCommand> {
        let request = RequestId(
            name.bytes()
                .fold(0, |sum, byte| sum * 257 + u64::from(byte)),
        );
        self.step(
            ms,
            vec![EngineEvent::Submitted(
                request,
                message(name, class, ms, 10),
            )],
        )
    }

    fn hand_over(&mut self, ms: i64) -> Vec<EngineCommand> {
        let by = Time((ms - self.started_ms) * 1000 + 3_400_000);
        self.step(
            ms,
            vec![EngineEvent::Shutdown {
                deadline: by,
                hand_over: true,
            }],
        )
    }

    fn take_over(
        &mut self,
        ms: i64,
        running: &[Generation],
        standby: Generation,
    ) -> Vec<EngineCommand> {
        self.step(
            ms,
            vec![EngineEvent::TakeOver {
                running: running.to_vec(),
                first_concurrent: Some(standby),
            }],
        )
    }
}

fn message(name: &str, class: usize, ms: i64, body: usize) -> Message {
    Message {
        origin: Origin::Platform,
        identity: name.into(),
        idempotency_key: (class == KEYED).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + ms + 20_000,
        attributes: Vec::new(),
        body: vec![b'x'; body],
    }
}

/// The attempts that are started: the message's id, which attempt of it, and the message's name.
fn started_attempts(commands: &[EngineCommand]) -> Vec<(MessageId, u32, String)> {
    let started = |command: &EngineCommand| match command {
        EngineCommand::StartAttempt(AttemptRequest {
            message_id: id,
            attempt,
            message,
            ..
        }) => Some((
            *id,
            *attempt,
            String::from_utf8(message.identity.clone()).unwrap(),
        )),
        _ => None,
    };
    commands.iter().filter_map(started).collect()
}

fn accepted(commands: &[EngineCommand]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, EngineCommand::Respond(_, SubmitResponse::Accepted)))
}

#[test]
fn pending_messages_continue_at_once_in_flight_ones_later() {
    let dir = folder("goes-on");
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    // A route that has not responded yet gets two attempts: the third message waits.
    let out: Vec<_> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| started_attempts(&predecessor.submit(10, name, FREE)))
        .collect();
    assert_eq!(out.len(), 2);
    let mut successor = TestIncarnation::standby(&dir, 100);
    assert!(
        accepted(&successor.submit(110, "d", FREE)),
        "accepted by the standby"
    );
    predecessor.hand_over(200);
    assert!(
        accepted(&predecessor.submit(210, "e", FREE)),
        "a client that has not moved yet is still served"
    );
    let first = successor.take_over(220, &[predecessor.generation], predecessor.generation);
    assert_eq!(
        started_attempts(&first),
        [],
        "two attempts are in flight already, whoever started them"
    );
    // The predecessor's attempts end: one is delivered, the other fails and may be retried.
    predecessor.step(
        300,
        vec![attempt_finished(out[0].0, out[0].1, Outcome::Delivered)],
    );
    predecessor.step(
        310,
        vec![attempt_finished(out[1].0, out[1].1, Outcome::Error)],
    );
    let mut names = Vec::new();
    let mut events = vec![EngineEvent::FollowPredecessors];
    for ms in 320..600 {
        for (id, attempt, name) in
            started_attempts(&successor.step(ms, std::mem::take(&mut events)))
        {
            events.push(attempt_finished(id, attempt, Outcome::Delivered));
            names.push(name);
        }
    }
    names.sort_unstable();
    assert_eq!(
        names,
        ["b", "c", "d", "e"],
        "what was delivered is not sent again, the others are sent once"
    );
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn backoff_passes_to_a_standby_but_not_over_a_restart() {
    for is_killed in [false, true] {
        let dir = folder(&format!("wait-{is_killed}"));
        let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
        let (id, attempt, _) = started_attempts(&predecessor.submit(10, "a", FREE))[0].clone();
        let mut successor = TestIncarnation::standby(&dir, 50);
        let rejection = Outcome::Rejected {
            retry_after: Some(Span::from_ms(4000.0)),
        };
        let mut first = Vec::new();
        if is_killed {
            // Killed in the step after the rejection.
            predecessor.step(100, vec![attempt_finished(id, attempt, rejection)]);
            first.extend(successor.take_over(110, &[], predecessor.generation));
        } else {
            // Rejected only after it has handed over.
            predecessor.hand_over(60);
            first.extend(successor.take_over(
                70,
                &[predecessor.generation],
                predecessor.generation,
            ));
            predecessor.step(100, vec![attempt_finished(id, attempt, rejection)]);
            first.extend(successor.step(110, vec![EngineEvent::FollowPredecessors]));
            first.extend(successor.step(
                120,
                vec![EngineEvent::PredecessorExited(predecessor.generation)],
            ));
        }
        first.extend(successor.submit(130, "b", FREE));
        let mut at = None;
        for ms in (130..8000).step_by(10) {
            first.extend(successor.step(ms, vec![]));
            if at.is_none() && !started_attempts(&first).is_empty() {
                at = Some(ms);
            }
        }
        assert!(
            at.is_some_and(|at| at >= 4100),
            "sent within the backoff, or never: {at:?}"
        );
        // A plain restart ends it.
        let _ = fs::remove_dir_all(&dir);
        let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 9000);
        let (id, attempt, _) = started_attempts(&predecessor.submit(9010, "c", FREE))
            .pop()
            .unwrap();
        predecessor.step(9100, vec![attempt_finished(id, attempt, rejection)]);
        let (mut next, mut commands) = TestIncarnation::start_alone(&dir, 9200);
        commands.extend(next.step(9210, vec![]));
        assert!(
            !started_attempts(&commands).is_empty(),
            "a restart ends a backoff"
        );
        let _ = fs::remove_dir_all(&dir);
    }
}

#[test]
fn in_flight_attempt_to_a_removed_endpoint_is_not_repeated() {
    let dir = folder("gone");
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    let (id, attempt, _) = started_attempts(&predecessor.submit(10, "a", FREE))[0].clone();
    let mut successor = TestIncarnation::standby(&dir, 50);
    successor.step(60, vec![list(&["other"])]);
    predecessor.hand_over(70);
    let mut commands = successor.take_over(80, &[predecessor.generation], predecessor.generation);
    commands.extend(
        (90..1000)
            .step_by(10)
            .flat_map(|ms| successor.step(ms, vec![EngineEvent::FollowPredecessors])),
    );
    assert_eq!(started_attempts(&commands), []);
    predecessor.step(1000, vec![attempt_finished(id, attempt, Outcome::Error)]);
    let mut commands = successor.step(1010, vec![EngineEvent::FollowPredecessors]);
    commands.extend(
        (1020..3000)
            .step_by(10)
            .flat_map(|ms| successor.step(ms, vec![])),
    );
    assert_eq!(started_attempts(&commands).len(), 1, "then it is retried");
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn two_incarnations_keep_to_the_disk_limit() {
    let dir = folder("disk");
    let size = || -> u64 {
        let len = |file: fs::DirEntry| file.metadata().unwrap().len().div_ceil(512) * 512;
        fs::read_dir(&dir)
            .unwrap()
            .map(|file| len(file.unwrap()))
            .sum()
    };
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    // Nothing is delivered, so all stay open.
    let mut open = 0;
    let mut fill_journal = |incarnation: &mut TestIncarnation, name: &str, ms: i64| {
        let mut accepted_count = 0;
        for n in 0..150 {
            let request = RequestId(n);
            let message = message(&format!("{name}-{n}"), FREE, ms, 20_000);
            accepted_count += usize::from(accepted(
                &incarnation.step(ms, vec![EngineEvent::Submitted(request, message)]),
            ));
        }
        open += accepted_count;
        accepted_count
    };
    assert!(
        fill_journal(&mut predecessor, "old", 10) > 60,
        "the predecessor uses its part"
    );
    let mut successor = TestIncarnation::standby(&dir, 100);
    assert!(
        fill_journal(&mut successor, "new", 110) > 5,
        "there is room for another beside it"
    );
    predecessor.hand_over(120);
    fill_journal(&mut predecessor, "late", 130);
    assert!(size() <= MAX_BYTES, "{}", size());
    let accepted_count =
        successor.take_over(140, &[predecessor.generation], predecessor.generation);
    let recovered = |commands: &[EngineCommand]| {
        commands.iter().find_map(|command| match command {
            EngineCommand::TookOver(count) => Some(*count),
            _ => None,
        })
    };
    successor.step(150, vec![EngineEvent::FollowPredecessors]);
    successor.step(
        160,
        vec![EngineEvent::PredecessorExited(predecessor.generation)],
    );
    assert_eq!(recovered(&accepted_count), Some(open));
    drop(predecessor);
    for ms in 170..400 {
        let more = vec![EngineEvent::Submitted(
            RequestId(1),
            message(&format!("more-{ms}"), FREE, ms, 1000),
        )];
        successor.step(ms, more);
        assert!(size() <= MAX_BYTES, "{} at {ms}", size());
    }
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn partly_unreadable_journal_is_recovered_as_far_as_possible() {
    let dir = folder("unreadable");
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    assert_eq!(
        started_attempts(&predecessor.submit(10, "a", FREE)).len(),
        1
    );
    let mut successor = TestIncarnation::standby(&dir, 50);
    let first = *segments(&dir)
        .unwrap()
        .iter()
        .find(|n| Generation::of(**n) == predecessor.generation)
        .unwrap();
    // A folder in the place of a segment cannot be read.
    fs::create_dir(dir.join(format!("journal-{:010}", first + 7))).unwrap();
    let mut commands = successor.take_over(60, &[], predecessor.generation);
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, EngineCommand::Log(_))),
        "it is logged"
    );
    // What was read continues: its attempt may have been executed, and it finishes here once.
    let mut open = Vec::new();
    for ms in 70..400 {
        open.extend(
            started_attempts(&commands)
                .into_iter()
                .map(|(id, attempt, _)| attempt_finished(id, attempt, Outcome::Delivered)),
        );
        commands = successor.step(ms, std::mem::take(&mut open));
    }
    assert_eq!(successor.engine.load(), (0, 0));
    let _ = fs::remove_dir_all(&dir);
}

/// A file of the journal that cannot be read for a while.
struct UnreadableSegment {
    path: PathBuf,
    hidden: PathBuf,
}

impl UnreadableSegment {
    /// Makes the first segment of a generation unreadable: reading what stands in its place fails with EIO.
    fn of(dir: &Path, generation: Generation) -> UnreadableSegment {
        let all = segments(dir).unwrap();
        let number = all
            .iter()
            .find(|number| Generation::of(**number) == generation)
            .unwrap();
        let path = dir.join(format!("journal-{number:010}"));
        let hidden = dir.join("hidden");
        fs::rename(&path, &hidden).unwrap();
        std::os::unix::fs::symlink("/proc/self/mem", &path).unwrap();
        UnreadableSegment { path, hidden }
    }

    fn can_be_read_again(self) {
        fs::remove_file(&self.path).unwrap();
        fs::rename(&self.hidden, &self.path).unwrap();
    }
}

/// Steps an engine over a span, delivers what it starts, and returns the names of what was started.
fn delivered_within(incarnation: &mut TestIncarnation, ms: std::ops::Range<i64>) -> Vec<String> {
    let mut names = Vec::new();
    let mut events = Vec::new();
    for ms in ms {
        for (id, attempt, name) in
            started_attempts(&incarnation.step(ms, std::mem::take(&mut events)))
        {
            events.push(attempt_finished(id, attempt, Outcome::Delivered));
            names.push(name);
        }
    }
    names.sort_unstable();
    names
}

#[test]
fn journal_that_cannot_be_read_for_a_moment_is_taken_over_later() {
    let dir = folder("read-later");
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    predecessor.submit(10, "a", FREE);
    let mut successor = TestIncarnation::standby(&dir, 50);
    successor.submit(60, "b", FREE);
    let generation = predecessor.generation;
    drop(predecessor);
    let unreadable = UnreadableSegment::of(&dir, generation);
    let commands = successor.take_over(70, &[], generation);
    assert_eq!(started_attempts(&commands), [], "nothing is known yet");
    assert!(
        accepted(&successor.submit(80, "c", FREE)),
        "it goes on accepting"
    );
    assert!(successor.engine.next_wake().is_some(), "it tries again");
    unreadable.can_be_read_again();
    assert_eq!(delivered_within(&mut successor, 90..800), ["a", "b", "c"]);
    let _ = fs::remove_dir_all(&dir);
}

/// The active process heard of it once, and did not look at that journal again.
#[test]
fn exited_standby_whose_journal_cannot_be_read_is_adopted_later() {
    let dir = folder("adopted-later");
    let (mut active, _) = TestIncarnation::start_alone(&dir, 0);
    let mut standby = TestIncarnation::standby(&dir, 50);
    assert!(accepted(&standby.submit(60, "a", FREE)));
    let generation = standby.generation;
    drop(standby);
    let unreadable = UnreadableSegment::of(&dir, generation);
    let exited = EngineEvent::StandbyExited(generation.next());
    assert_eq!(started_attempts(&active.step(70, vec![exited])), []);
    unreadable.can_be_read_again();
    assert_eq!(delivered_within(&mut active, 80..800), ["a"]);
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn handed_over_engine_rejects_beyond_its_last_room() {
    let dir = folder("last-room");
    let (mut predecessor, _) = TestIncarnation::start_alone(&dir, 0);
    predecessor.hand_over(10);
    let (mut accepted_count, mut rejected_count) = (0, 0);
    for n in 0..20 {
        let submission =
            EngineEvent::Submitted(RequestId(n), message(&format!("m{n}"), FREE, 20, 20_000));
        let mut commands = Vec::new();
        let now = Timestamp {
            monotonic: Time(20_000),
            unix_ms: START_MS + 20,
        };
        predecessor
            .engine
            .step(now, vec![submission], &mut commands);
        accepted_count += usize::from(accepted(&commands));
        rejected_count += commands
            .iter()
            .filter(|o| {
                matches!(
                    o,
                    EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
                )
            })
            .count();
        assert!(
            !predecessor.engine.has_backlog(),
            "it would be stepped again and again"
        );
        assert_eq!(predecessor.engine.next_wake(), None);
    }
    assert!(
        accepted_count > 2 && rejected_count > 2 && accepted_count + rejected_count == 20,
        "{accepted_count} accepted, {rejected_count} rejected"
    );
    let _ = fs::remove_dir_all(&dir);
}

/// An attempt in flight.
struct InFlightAttempt {
    id: MessageId,
    attempt: u32,
    message: String,
    by: Role,
    ends_ms: i64,
}

/// One of the two incarnations that run at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Predecessor,
    Successor,
}

/// A history of one destination and one instance, whose incarnations come and go by a seed. The destination's and the clients'
/// records are the truth.
struct RestartHistory {
    dir: PathBuf,
    rng: fastrand::Rng,
    /// The active incarnation, or the one that hands over, and the standby beside it.
    predecessor: Option<TestIncarnation>,
    successor: Option<TestIncarnation>,
    successor_is_active: bool,
    ms: i64,
    in_flight: Vec<InFlightAttempt>,
    /// When each message was executed at the destination.
    executions: BTreeMap<String, Vec<i64>>,
    accepted_messages: BTreeMap<String, usize>,
    notices: BTreeMap<String, FinalOutcome>,
    backoff_until: i64,
    next_number: usize,
    trace: Vec<String>,
}

impl RestartHistory {
    fn record(&mut self, what: impl Into<String>) {
        self.trace.push(format!("{:5} {}", self.ms, what.into()));
    }

    /// Executes what an incarnation commands; breaches of the rules are panics that show the trace.
    fn execute(&mut self, commands: Vec<EngineCommand>, by: Role) {
        for command in commands {
            match command {
                EngineCommand::StartAttempt(AttemptRequest {
                    message_id: id,
                    attempt,
                    message,
                    ..
                }) => {
                    let name = String::from_utf8(message.identity.clone()).unwrap();
                    self.record(format!("attempt {attempt} of {name} by {by:?}"));
                    assert!(
                        !self.in_flight.iter().any(|attempt| attempt.message == name),
                        "two attempts of {name} in flight"
                    );
                    assert!(self.ms >= self.backoff_until, "sent during a backoff");
                    let duration = self.rng.i64(5..400);
                    self.in_flight.push(InFlightAttempt {
                        id,
                        attempt,
                        message: name,
                        by,
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

    fn step(&mut self, by: Role, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let incarnation = match by {
            Role::Predecessor => self.predecessor.as_mut(),
            Role::Successor => self.successor.as_mut(),
        };
        incarnation.map_or_else(Vec::new, |incarnation| incarnation.step(self.ms, events))
    }

    fn run(&mut self, by: Role, events: Vec<EngineEvent>) {
        let commands = self.step(by, events);
        self.execute(commands, by);
    }

    /// The successor takes the predecessor's place once that has exited.
    fn promote_successor(&mut self) {
        if self.predecessor.is_none() && self.successor.is_some() && self.successor_is_active {
            self.predecessor = self.successor.take();
            self.successor_is_active = false;
            self.in_flight
                .iter_mut()
                .for_each(|attempt| attempt.by = Role::Predecessor);
        }
    }

    fn kill_predecessor(&mut self) {
        let Some(predecessor) = self.predecessor.take() else {
            return;
        };
        self.record("the predecessor is killed");
        self.lose_attempts(Role::Predecessor);
        let generation = predecessor.generation;
        drop(predecessor);
        match (self.successor.is_some(), self.successor_is_active) {
            (true, true) => self.run(
                Role::Successor,
                vec![EngineEvent::PredecessorExited(generation)],
            ),
            (true, false) => {
                self.successor_is_active = true;
                self.run(
                    Role::Successor,
                    vec![EngineEvent::TakeOver {
                        running: vec![],
                        first_concurrent: Some(generation),
                    }],
                );
            }
            (false, _) => {
                let (incarnation, commands) = TestIncarnation::start_alone(&self.dir, self.ms);
                self.record("another one starts alone");
                // A restart ends a backoff.
                self.backoff_until = 0;
                self.predecessor = Some(incarnation);
                self.execute(commands, Role::Predecessor);
            }
        }
        self.promote_successor();
    }

    /// Attempts of a killed incarnation are executed at the destination, or never came there; nobody learns of it.
    fn lose_attempts(&mut self, by: Role) {
        let (lost, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|attempt| attempt.by == by);
        self.in_flight = remaining;
        for attempt in lost {
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
        self.lose_attempts(Role::Successor);
        let was_active = std::mem::take(&mut self.successor_is_active);
        self.successor = None;
        if was_active {
            // The predecessor has handed over and exits; a third incarnation finds what both left.
            self.lose_attempts(Role::Predecessor);
            self.predecessor = None;
            let (incarnation, commands) = TestIncarnation::start_alone(&self.dir, self.ms);
            self.record("a third one starts alone");
            self.backoff_until = 0;
            self.predecessor = Some(incarnation);
            self.execute(commands, Role::Predecessor);
        } else {
            let claimed = latest(&self.dir).unwrap().next();
            self.run(Role::Predecessor, vec![EngineEvent::StandbyExited(claimed)]);
            self.predecessor
                .iter_mut()
                .for_each(|predecessor| predecessor.generation = claimed);
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
                by,
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
            let executed = match outcome {
                Outcome::Delivered => true,
                Outcome::Error | Outcome::Reset => self.rng.bool(),
                _ => false,
            };
            if executed {
                self.executions.entry(name.clone()).or_default().push(ms);
            }
            if let Outcome::Rejected {
                retry_after: Some(wait),
            } = outcome
            {
                self.backoff_until = self.backoff_until.max(ms + wait.0 / 1000);
            }
            self.record(format!(
                "attempt of {name} ends: {outcome:?}, executed {executed}"
            ));
            self.run(by, vec![attempt_finished(id, attempt, outcome)]);
            if by == Role::Predecessor && self.successor_is_active {
                // Read at the successor's next poll, before anything else happens here.
                self.run(Role::Successor, vec![EngineEvent::FollowPredecessors]);
            }
        }
    }

    fn submit_message(&mut self) {
        let (name, class) = (format!("m{}", self.next_number), self.next_number % 3);
        self.next_number += 1;
        let to_predecessor =
            self.successor.is_none() || self.predecessor.is_some() && self.rng.bool();
        let to = if to_predecessor {
            Role::Predecessor
        } else {
            Role::Successor
        };
        let event = EngineEvent::Submitted(
            RequestId(self.next_number as u64),
            message(&name, class, self.ms, 50),
        );
        let commands = self.step(to, vec![event]);
        if accepted(&commands) {
            self.accepted_messages.insert(name.clone(), class);
            self.record(format!("{name} accepted by {to:?}"));
        }
        self.execute(commands, to);
        if to == Role::Predecessor && self.successor_is_active {
            self.run(Role::Successor, vec![EngineEvent::FollowPredecessors]);
        }
    }

    fn advance(&mut self) {
        self.ms += 10;
        self.finish_attempts();
        if self.ms < 8000 && self.rng.u8(0..3) == 0 {
            self.submit_message();
        }
        if self.ms < 9000 {
            match self.rng.u16(0..600) {
                0..=5 if self.successor.is_none() => {
                    self.record("a standby starts");
                    self.successor = Some(TestIncarnation::standby(&self.dir, self.ms));
                }
                6..=25 if self.successor.is_some() && !self.successor_is_active => {
                    self.record("hands over");
                    let commands = self.predecessor.as_mut().unwrap().hand_over(self.ms);
                    self.execute(commands, Role::Predecessor);
                    let generation = self.predecessor.as_ref().unwrap().generation;
                    self.successor_is_active = true;
                    let commands = self.successor.as_mut().unwrap().take_over(
                        self.ms,
                        &[generation],
                        generation,
                    );
                    self.execute(commands, Role::Successor);
                }
                26..=28 => self.kill_predecessor(),
                29..=31 => self.kill_successor(),
                _ => {}
            }
        }
        if self.successor_is_active
            && !self
                .in_flight
                .iter()
                .any(|attempt| attempt.by == Role::Predecessor)
            && self.rng.u8(0..20) == 0
        {
            self.record("the predecessor exits");
            let generation = self.predecessor.take().unwrap().generation;
            self.run(
                Role::Successor,
                vec![EngineEvent::PredecessorExited(generation)],
            );
            self.promote_successor();
        }
        self.run(Role::Predecessor, vec![]);
        self.run(
            Role::Successor,
            if self.successor_is_active {
                vec![EngineEvent::FollowPredecessors]
            } else {
                vec![]
            },
        );
    }

    fn check(&self) {
        for (name, class) in &self.accepted_messages {
            let none = Vec::new();
            let executions = self.executions.get(name).unwrap_or(&none);
            let noticed = self.notices.get(name);
            assert!(
                !executions.is_empty() || noticed.is_some(),
                "{name} is lost"
            );
            match *class {
                NEVER => assert!(
                    executions.len() <= 1,
                    "{name} was executed {} times",
                    executions.len()
                ),
                KEYED => {
                    let spread = executions.last().unwrap_or(&0) - executions.first().unwrap_or(&0);
                    assert!(
                        spread < 6000 + 400,
                        "{name} was executed again after its window"
                    );
                }
                _ => {}
            }
        }
    }
}

/// Whole histories of incarnations that start, hand over and are killed at any moment: every message has a final outcome,
/// none is in flight twice, none is executed more often than its class allows, nothing is sent during a backoff.
#[test]
fn random_restart_histories_break_no_rule() {
    for seed in 0..150 {
        let dir = folder(&format!("history-{seed}"));
        let (predecessor, _) = TestIncarnation::start_alone(&dir, 0);
        let (in_flight, executions, accepted_messages, notices, trace) = Default::default();
        let rng = fastrand::Rng::with_seed(seed);
        let mut history = RestartHistory {
            dir: dir.clone(),
            rng,
            predecessor: Some(predecessor),
            successor: None,
            successor_is_active: false,
            ms: 0,
            in_flight,
            executions,
            accepted_messages,
            notices,
            backoff_until: 0,
            next_number: 0,
            trace,
        };
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while history.ms < 40_000 {
                history.advance();
            }
            history.check();
        }));
        if outcome.is_err() {
            panic!("seed {seed}:\n{}", history.trace.join("\n"));
        }
        assert!(
            history.accepted_messages.len() > 100,
            "too few messages were accepted"
        );
        let _ = fs::remove_dir_all(&dir);
    }
}
