//! What the tests of the core share: folders, classes and limits, an endpoint, and readers of commands.
#![allow(dead_code)]

use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptResult, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::{Disposition, MessageId, SubmitResponse};
use marblefall_scheduler::*;
use std::path::PathBuf;

/// When the tests begin, as Unix time in milliseconds.
pub const START_MS: i64 = 1_800_000_000_000;
/// Endpoints drop repeats by key for 6 s.
pub const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::All,
    window: Span(6_000_000),
};

/// A folder that does not exist yet.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("marblefall-core-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// A class with a latency objective of 2 s and a deadline of 20 s.
pub fn class(idempotency: Idempotency) -> MessageClass {
    MessageClass {
        priority_weight: 1.0,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(20_000.0),
        late_value: 0.3,
        idempotency,
        ordered: false,
    }
}

/// Settings of one instance with classes of these idempotencies; nothing is remembered after its final outcome.
pub fn engine_settings(idempotencies: &[Idempotency], limits: Limits) -> EngineSettings {
    let settings = Settings {
        classes: idempotencies
            .iter()
            .map(|idempotency| class(*idempotency))
            .collect(),
        kinds: vec![DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        value_decay: ValueDecay::Linear,
        limits,
        instances: 1,
        ..Settings::default()
    };
    EngineSettings {
        scheduler: settings,
        seed: 1,
        retention_ms: vec![0; idempotencies.len()],
        max_remembered: 0,
    }
}

/// Limits of a small instance that may have so many open messages.
pub fn limits(max_open: usize) -> Limits {
    Limits {
        max_in_flight: 4,
        max_open_messages: max_open,
        max_attempts: 8,
        max_retry_after: Span::from_ms(3000.0),
        ..Limits::default()
    }
}

/// An endpoint of destination 7.
pub fn endpoint(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        destination: DestinationId(7),
        kind: KindId(0),
        zone: ZoneId(0),
        status: EndpointStatus::Active,
        advertised_rate: 50.0,
        weight: None,
    }
}

/// The result of an attempt that was in flight for 100 ms.
pub fn attempt_finished(id: MessageId, attempt: u32, outcome: Outcome) -> EngineEvent {
    let duration = Span::from_ms(100.0);
    EngineEvent::AttemptFinished(AttemptResult {
        message_id: id,
        attempt,
        outcome,
        duration,
        disposition: Disposition::Undecided,
        rate_limit: RateLimitReport::default(),
    })
}

/// The attempts that are started: each a message's id and which attempt of it.
pub fn started_attempts(commands: &[EngineCommand]) -> Vec<(MessageId, u32)> {
    let started = |command: &EngineCommand| match command {
        EngineCommand::StartAttempt(request) => Some((request.message_id, request.attempt)),
        _ => None,
    };
    commands.iter().filter_map(started).collect()
}

/// The responses to submissions, by request.
pub fn responses(commands: &[EngineCommand]) -> Vec<(u64, SubmitResponse)> {
    let response = |command: &EngineCommand| match command {
        EngineCommand::Respond(request, response) => Some((request.0, *response)),
        _ => None,
    };
    commands.iter().filter_map(response).collect()
}
