//! An engine with a policy that a group decides on. Times are in milliseconds after the start of the engine.

use super::{
    class_names, endpoint_list, engine_settings, folder, limits, DESTINATION, KEYED, START_MS,
};
use marblefall_delivery::core::engine::{
    Engine, EngineCommand, EngineEvent, EngineSettings, PolicyChange,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, Origin, RequestId, Timestamp};
use marblefall_scheduler::{ClassId, Idempotency, Limits, Time};

/// Maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 3_000_000;
/// Maximum number of open messages.
const MAX_OPEN: usize = 8;
/// Names of the classes in the first policy: one with idempotency keys, and one whose messages are idempotent.
pub const CLASSES: [&str; 2] = ["keyed", "free"];
/// Idempotencies of the classes in the first policy.
pub const IDEMPOTENCIES: [Idempotency; 2] = [KEYED, Idempotency::Idempotent];

/// Returns an event with a deadline. Events of the first class have an idempotency key.
pub fn message(name: &str, class: usize, deadline_ms: i64) -> Message {
    Message {
        origin: Origin::CloudEvents,
        identity: name.into(),
        idempotency_key: (class == 0).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DESTINATION,
        expires_ms: START_MS + deadline_ms,
        attributes: Vec::new(),
        body: b"body".to_vec(),
    }
}

/// Returns the engine settings of a policy.
pub fn policy_settings(max_in_flight: usize, idempotencies: &[Idempotency]) -> EngineSettings {
    let limits = Limits {
        max_in_flight,
        cancellation_allowed: true,
        ..limits(MAX_OPEN)
    };
    EngineSettings {
        retention_ms: vec![60_000; idempotencies.len()],
        max_retained: 100,
        ..engine_settings(idempotencies, limits)
    }
}

/// An engine with its first policy, which permits one attempt in flight.
pub struct PolicyEngine {
    pub engine: Engine,
    ms: i64,
}

impl PolicyEngine {
    /// Starts an engine with the endpoint "h".
    pub fn start(name: &str) -> PolicyEngine {
        let store = MessageStore::open(&folder(name), MAX_BYTES, class_names(&CLASSES)).unwrap();
        let now = super::timestamp(0);
        let settings = policy_settings(1, &IDEMPOTENCIES);
        let engine = Engine::new(settings, store, now, &mut Vec::new());
        let mut fixture = PolicyEngine { engine, ms: 0 };
        fixture.step(0, vec![endpoint_list(&["h"])]);
        fixture
    }

    /// Steps the engine, and repeats the step a microsecond later until there is no backlog.
    pub fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        assert!(ms >= self.ms, "time must not go back");
        self.ms = ms;
        let now = super::timestamp(ms);
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        while self.engine.has_backlog() {
            let now = Timestamp {
                monotonic: Time(now.monotonic.0 + 1),
                ..now
            };
            self.engine.step(now, Vec::new(), &mut commands);
        }
        commands
    }

    /// Submits a message.
    pub fn submit(&mut self, ms: i64, request: u64, message: Message) -> Vec<EngineCommand> {
        self.step(
            ms,
            vec![EngineEvent::Submitted(RequestId(request), message)],
        )
    }

    /// Puts another policy in force, with the destinations unchanged.
    pub fn change_policy(
        &mut self,
        ms: i64,
        revision: u64,
        classes: &[&str],
        settings: EngineSettings,
    ) -> Vec<EngineCommand> {
        let change = PolicyChange {
            revision,
            settings,
            classes: class_names(classes),
            destination_table: None,
        };
        self.step(ms, vec![EngineEvent::PolicyChanged(Box::new(change))])
    }
}
