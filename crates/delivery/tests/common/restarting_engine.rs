//! An engine that is restarted with the same journal. Each incarnation starts while no other is running.

use super::{
    class_names, endpoint_list, engine_settings, limits, timestamp_of, DESTINATION, KEYED, START_MS,
};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::journal::segment_numbers;
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, MessageId, Origin, RequestId, Timestamp};
use marblefall_scheduler::{ClassId, Idempotency, Limits, Outcome};
use std::path::{Path, PathBuf};

/// Maximum size of the journal, in bytes.
pub const MAX_BYTES: u64 = 3_000_000;
/// Index of the class whose repeats endpoints discard by idempotency key.
pub const KEYED_CLASS: usize = 0;
/// Index of the class whose messages are idempotent.
pub const IDEMPOTENT_CLASS: usize = 1;
/// Index of the class whose messages must not be executed twice.
pub const NON_IDEMPOTENT_CLASS: usize = 2;

/// Returns the names of the classes.
pub fn classes() -> Vec<String> {
    class_names(&["keyed", "free", "never"])
}

/// Opens the store in a folder that no other incarnation writes to.
pub fn open_store(folder: &Path) -> MessageStore {
    MessageStore::open(folder, MAX_BYTES, classes()).unwrap()
}

/// Returns a message with a body of `body` bytes.
pub fn message(name: &str, origin: Origin, class: usize, body: usize) -> Message {
    Message {
        origin,
        identity: name.into(),
        idempotency_key: (class == KEYED_CLASS).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DESTINATION,
        expires_ms: START_MS + 20_000,
        attributes: b"attributes".to_vec(),
        body: vec![b'x'; body],
    }
}

/// Returns the submission of a short message.
pub fn submission(request: u64, name: &str, origin: Origin, class: usize) -> EngineEvent {
    EngineEvent::Submitted(RequestId(request), message(name, origin, class, 9))
}

/// Returns the event for the end of an attempt that was in flight for 100 ms.
pub fn attempt_finished((id, attempt): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    super::attempt_finished(id, attempt, outcome)
}

/// Returns the path of the segment whose number is `after` above that of the first segment in a folder.
pub fn segment_path(folder: &Path, after: u64) -> PathBuf {
    let first = segment_numbers(folder).unwrap()[0];
    folder.join(format!("journal-{:010}", first + after))
}

fn settings() -> EngineSettings {
    let limits = Limits {
        cancellation_allowed: true,
        ..limits(50)
    };
    let idempotencies = [KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent];
    EngineSettings {
        retention_ms: vec![60_000; classes().len()],
        max_retained: 100,
        ..engine_settings(&idempotencies, limits)
    }
}

/// One incarnation of an engine with a folder.
pub struct RestartingEngine {
    pub engine: Engine,
    pub folder: PathBuf,
    started_ms: i64,
}

impl RestartingEngine {
    /// Starts an incarnation `ms` milliseconds after the start of the test, with the endpoint "h".
    pub fn start(folder: PathBuf, ms: i64) -> (RestartingEngine, Vec<EngineCommand>) {
        let store = open_store(&folder);
        let mut commands = Vec::new();
        let now = timestamp_of(ms, ms);
        let mut incarnation = RestartingEngine {
            engine: Engine::new(settings(), store, now, &mut commands),
            folder,
            started_ms: ms,
        };
        commands.extend(incarnation.step_at(now, vec![endpoint_list(&["h"])]));
        (incarnation, commands)
    }

    fn step_at(&mut self, now: Timestamp, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        commands
    }

    /// Steps the engine `after_ms` milliseconds after the start of this incarnation.
    pub fn step(&mut self, after_ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let now = timestamp_of(self.started_ms, self.started_ms + after_ms);
        self.step_at(now, events)
    }
}
