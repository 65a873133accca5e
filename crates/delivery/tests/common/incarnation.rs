//! Incarnations of an engine with one folder, of which two may be running at the same time.

use super::{
    attempt_finished, class_names, endpoint_list, engine_settings, limits, timestamp_of,
    DESTINATION, START_MS,
};
use marblefall_delivery::core::engine::{
    AttemptRequest, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::journal::{latest_generation, Generation};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, MessageId, Origin, RequestId, SubmitResponse};
use marblefall_scheduler::{ClassId, Idempotency, Outcome, Time};
use std::ops::Range;
use std::path::Path;

/// Maximum size of the folder, in bytes.
pub const MAX_BYTES: u64 = 3_000_000;
/// Index of the class whose repeats endpoints discard by idempotency key.
pub const KEYED_CLASS: usize = 0;
/// Index of the class whose messages are idempotent.
pub const IDEMPOTENT_CLASS: usize = 1;
/// Index of the class whose messages must not be executed twice.
pub const NON_IDEMPOTENT_CLASS: usize = 2;
/// Time in which a process must shut down, in microseconds.
const SHUTDOWN_TIMEOUT_US: i64 = 3_400_000;

fn classes() -> Vec<String> {
    class_names(&["keyed", "free", "never"])
}

fn settings() -> EngineSettings {
    engine_settings(
        &[
            super::KEYED,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
        ],
        limits(200),
    )
}

/// One incarnation of the engine. Times are in milliseconds after the start of the test.
pub struct TestIncarnation {
    pub engine: Engine,
    pub generation: Generation,
    started_ms: i64,
}

impl TestIncarnation {
    /// Starts an incarnation while no other is running, with the endpoint "h".
    pub fn start_alone(folder: &Path, ms: i64) -> (TestIncarnation, Vec<EngineCommand>) {
        TestIncarnation::start_alone_within(MAX_BYTES, folder, ms)
    }

    /// Starts an incarnation while no other is running, in a folder of at most `max_bytes` bytes, with the endpoint "h".
    pub fn start_alone_within(
        max_bytes: u64,
        folder: &Path,
        ms: i64,
    ) -> (TestIncarnation, Vec<EngineCommand>) {
        let store = MessageStore::open(folder, max_bytes, classes()).unwrap();
        let generation = latest_generation(folder).unwrap();
        let mut commands = Vec::new();
        let now = timestamp_of(ms, ms);
        let mut incarnation = TestIncarnation {
            engine: Engine::new(settings(), store, now, &mut commands),
            generation,
            started_ms: ms,
        };
        commands.extend(incarnation.step(ms, vec![endpoint_list(&["h"])]));
        (incarnation, commands)
    }

    /// Starts a standby while other incarnations are running, with the endpoint "h".
    pub fn standby(folder: &Path, ms: i64) -> TestIncarnation {
        TestIncarnation::standby_within(MAX_BYTES, folder, ms)
    }

    /// Starts a standby while other incarnations are running, in a folder of at most `max_bytes` bytes, with the endpoint
    /// "h".
    pub fn standby_within(max_bytes: u64, folder: &Path, ms: i64) -> TestIncarnation {
        let generation = latest_generation(folder).unwrap().next();
        let store = MessageStore::begin(folder, max_bytes, classes(), generation).unwrap();
        let mut incarnation = TestIncarnation {
            engine: Engine::standby(settings(), store),
            generation,
            started_ms: ms,
        };
        incarnation.step(ms, vec![endpoint_list(&["h"])]);
        incarnation
    }

    /// Steps the engine repeatedly until it has no backlog.
    pub fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = timestamp_of(self.started_ms, ms);
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut commands);
        }
        commands
    }

    /// Submits a short message. The id of the request is derived from the name of the message.
    pub fn submit(&mut self, ms: i64, name: &str, class: usize) -> Vec<EngineCommand> {
        let request = RequestId(
            name.bytes()
                .fold(0, |sum, byte| sum * 257 + u64::from(byte)),
        );
        let message = message(name, class, ms, 10);
        self.step(ms, vec![EngineEvent::Submitted(request, message)])
    }

    /// Hands over to a successor, and shuts the incarnation down.
    pub fn hand_over(&mut self, ms: i64) -> Vec<EngineCommand> {
        let deadline = Time((ms - self.started_ms) * 1000 + SHUTDOWN_TIMEOUT_US);
        self.step(ms, vec![EngineEvent::HandOver { deadline }])
    }

    /// Makes a standby active. `first_concurrent` is the first incarnation that was running when the standby was started.
    pub fn take_over(
        &mut self,
        ms: i64,
        running: &[Generation],
        first_concurrent: Generation,
    ) -> Vec<EngineCommand> {
        self.step(
            ms,
            vec![EngineEvent::TakeOver {
                running: running.to_vec(),
                first_concurrent: Some(first_concurrent),
            }],
        )
    }

    /// Steps the engine in each millisecond of a span, and delivers each message whose attempt it starts. Returns the
    /// names of these messages in alphabetical order.
    pub fn deliver_all(&mut self, ms: Range<i64>) -> Vec<String> {
        self.deliver_all_after(Vec::new(), ms)
    }

    /// Like [`TestIncarnation::deliver_all`], with events for the first step.
    pub fn deliver_all_after(
        &mut self,
        mut events: Vec<EngineEvent>,
        ms: Range<i64>,
    ) -> Vec<String> {
        let mut names = Vec::new();
        for ms in ms {
            let commands = self.step(ms, std::mem::take(&mut events));
            for (id, attempt, name) in started_attempts(&commands) {
                events.push(attempt_finished(id, attempt, Outcome::Delivered));
                names.push(name);
            }
        }
        names.sort_unstable();
        names
    }
}

/// Returns a message of the platform with a body of `body` bytes.
pub fn message(name: &str, class: usize, ms: i64, body: usize) -> Message {
    Message {
        origin: Origin::Platform,
        identity: name.into(),
        idempotency_key: (class == KEYED_CLASS).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DESTINATION,
        expires_ms: START_MS + ms + 20_000,
        attributes: Vec::new(),
        body: vec![b'x'; body],
    }
}

/// Returns the started attempts, each with the message's id, the attempt's number, and the message's name.
pub fn started_attempts(commands: &[EngineCommand]) -> Vec<(MessageId, u32, String)> {
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

/// Returns whether a submission is accepted.
pub fn is_accepted(commands: &[EngineCommand]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, EngineCommand::Respond(_, SubmitResponse::Accepted)))
}
