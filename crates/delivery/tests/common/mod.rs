//! What the tests of the core share: a folder of their own, classes and limits, a host, the end of a leg.
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
/// Receivers drop repeats by key for 6 s.
pub const KEYED: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::All,
    window: Span(6_000_000),
};

/// A folder that is not there yet.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("marblefall-core-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// A class wanted within 2 s and given up after 20.
pub fn class(effect: Idempotency) -> MessageClass {
    MessageClass {
        priority_weight: 1.0,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(20_000.0),
        late_value: 0.3,
        idempotency: effect,
        ordered: false,
    }
}

/// One courier with classes of these effects; nothing that ended is remembered.
pub fn setup(effects: &[Idempotency], caps: Limits) -> EngineSettings {
    let settings = Settings {
        classes: effects.iter().map(|effect| class(*effect)).collect(),
        kinds: vec![DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        value_decay: ValueDecay::Linear,
        limits: caps,
        instances: 1,
        ..Settings::default()
    };
    EngineSettings {
        scheduler: settings,
        seed: 1,
        remember_ms: vec![0; effects.len()],
        max_remembered: 0,
    }
}

/// Limits of a small courier that may hold so many messages.
pub fn caps(max_open: usize) -> Limits {
    Limits {
        max_in_flight: 4,
        max_pending: max_open,
        max_attempts: 8,
        max_retry_after: Span::from_ms(3000.0),
        ..Limits::default()
    }
}

/// A host of destination 7.
pub fn host(name: &str) -> ListedEndpoint {
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

/// A leg that was out for 100 ms.
pub fn ended(seq: MessageId, copy: u32, outcome: Outcome) -> EngineEvent {
    let took = Span::from_ms(100.0);
    EngineEvent::AttemptFinished(AttemptResult {
        message_id: seq,
        attempt: copy,
        outcome,
        duration: took,
        disposition: Disposition::Undecided,
        rate_limit: RateLimitReport::default(),
    })
}

/// The legs that are begun, each a message's number and which leg of it.
pub fn legs(orders: &[EngineCommand]) -> Vec<(MessageId, u32)> {
    let leg = |order: &EngineCommand| match order {
        EngineCommand::StartAttempt(request) => Some((request.message_id, request.attempt)),
        _ => None,
    };
    orders.iter().filter_map(leg).collect()
}

/// The answers to hand-ins, by ticket.
pub fn answers(orders: &[EngineCommand]) -> Vec<(u64, SubmitResponse)> {
    let answer = |order: &EngineCommand| match order {
        EngineCommand::Respond(ticket, answer) => Some((ticket.0, *answer)),
        _ => None,
    };
    orders.iter().filter_map(answer).collect()
}
