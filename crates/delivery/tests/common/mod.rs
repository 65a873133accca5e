//! What the tests of the core share: folders, settings, endpoints, and readers of commands.
#![allow(dead_code, reason = "each test uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

pub mod destinations;
pub mod full_journal;
pub mod incarnation;
pub mod policy;
pub mod restarting_engine;

use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptResult, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::{Disposition, FinalOutcome, MessageId, SubmitResponse, Timestamp};
use marblefall_scheduler::{
    DeduplicationScope, DestinationId, DestinationKind, EndpointStatus, Idempotency, KindId,
    Limits, MessageClass, Outcome, RateLimitReport, Settings, Span, Time, ValueDecay, ZoneId,
};
use std::path::PathBuf;

/// When the tests begin, as Unix time in milliseconds.
pub const START_MS: i64 = 1_800_000_000_000;
/// The destination of all tests with a single one.
pub const DESTINATION: DestinationId = DestinationId(7);
/// Endpoints discard repeats by their idempotency key for 6 s.
pub const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::All,
    window: Span(6_000_000),
};
/// The response to a submission that is rejected for no reason of its destination.
pub const REJECTED: SubmitResponse = SubmitResponse::Rejected {
    retry_after_ms: 1000,
};

/// A folder that does not exist yet.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("marblefall-core-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// A time in milliseconds after the start of the tests, for an engine that was started then.
pub fn timestamp(ms: i64) -> Timestamp {
    timestamp_of(0, ms)
}

/// A time in milliseconds after the start of the tests, for an incarnation that was started at `started_ms`: its
/// monotonic clock starts at zero.
pub fn timestamp_of(started_ms: i64, ms: i64) -> Timestamp {
    Timestamp {
        monotonic: Time((ms - started_ms) * 1000),
        unix_ms: START_MS + ms,
    }
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

/// The names of classes.
pub fn class_names(classes: &[&str]) -> Vec<String> {
    classes.iter().map(|class| (*class).to_owned()).collect()
}

/// Settings of one instance with classes of these idempotencies. Nothing is retained after its final outcome.
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
        max_retained: 0,
    }
}

/// Limits of a small instance that may have this many open messages.
pub fn limits(max_open: usize) -> Limits {
    Limits {
        max_in_flight: 4,
        max_open_messages: max_open,
        max_attempts: 8,
        max_retry_after: Span::from_ms(3000.0),
        ..Limits::default()
    }
}

/// An endpoint of [`DESTINATION`].
pub fn endpoint(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        destination: DESTINATION,
        kind: KindId(0),
        zone: ZoneId(0),
        status: EndpointStatus::Active,
        advertised_rate: 50.0,
        weight: None,
    }
}

/// A complete list of these endpoints of [`DESTINATION`].
pub fn endpoint_list(names: &[&str]) -> EngineEvent {
    EngineEvent::EndpointsReplaced(names.iter().map(|name| endpoint(name)).collect())
}

/// The result of an attempt that was in flight for 100 ms.
pub fn attempt_finished(id: MessageId, attempt: u32, outcome: Outcome) -> EngineEvent {
    attempt_finished_after(Span::from_ms(100.0), id, attempt, outcome)
}

/// The result of an attempt that was in flight for a time.
pub fn attempt_finished_after(
    duration: Span,
    id: MessageId,
    attempt: u32,
    outcome: Outcome,
) -> EngineEvent {
    EngineEvent::AttemptFinished(AttemptResult {
        message_id: id,
        attempt,
        outcome,
        duration,
        disposition: Disposition::Undecided,
        rate_limit: RateLimitReport::default(),
    })
}

/// The attempts that are started: each a message's id and the attempt's number.
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

/// The final outcomes of which notices are sent.
pub fn notice_outcomes(commands: &[EngineCommand]) -> Vec<FinalOutcome> {
    let outcome = |command: &EngineCommand| match command {
        EngineCommand::SendNotice { outcome, .. } => Some(*outcome),
        _ => None,
    };
    commands.iter().filter_map(outcome).collect()
}
