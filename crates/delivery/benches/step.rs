//! What a step of the engine costs beside idle destinations: `cargo bench -p marblefall-delivery`.

#![allow(
    clippy::too_many_lines,
    reason = "a measurement tells one course of events"
)]
// The macros write items without docs.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::engine::{
    AttemptResult, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Disposition, Message, Origin, RequestId, Timestamp};
use marblefall_scheduler::{
    ClassId, DestinationId, DestinationKind, Idempotency, Limits, MessageClass, Outcome, RateHints,
    RateLimitReport, Settings, Span, Time,
};
use std::net::SocketAddr;
use std::sync::Arc;

fn destination_table(count: u64) -> Arc<DestinationTable> {
    let mut destination_table = DestinationTable::with_large_capacity();
    for number in 0..count {
        let (name, endpoint_name) = (format!("clinic-{number}"), format!("clinic-{number}-1"));
        let entry = DestinationEntry {
            name: &name,
            id: DestinationId(number),
            encoding: 0,
            rate: 1000.0,
            from_list: false,
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let endpoint = EndpointEntry {
            name: &endpoint_name,
            address,
            weight: None,
            active: true,
        };
        destination_table
            .add(entry, std::iter::once(endpoint))
            .expect("room");
    }
    Arc::new(destination_table.build())
}

fn engine_settings() -> EngineSettings {
    let class = MessageClass {
        priority_weight: 1.0,
        latency_objective: Span::from_ms(2000.0),
        deadline: Span::from_ms(20_000.0),
        late_value: 0.3,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let limits = Limits {
        max_in_flight: 16,
        max_open_messages: 128,
        max_attempts: 8,
        ..Limits::default()
    };
    let settings = Settings {
        classes: vec![class],
        kinds: vec![DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        limits,
        rate_hints: RateHints::Approximate,
        instances: 1,
        ..Settings::default()
    };
    EngineSettings {
        scheduler: settings,
        seed: 1,
        retention_ms: vec![0],
        max_remembered: 0,
    }
}

/// A message accepted and sent, then delivered: two steps.
fn engine_steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a message beside idle destinations");
    for count in [10, 10_000, 100_000] {
        let dir =
            std::env::temp_dir().join(format!("marblefall-step-{}-{count}", std::process::id()));
        let store =
            MessageStore::open(&dir, 64_000_000, vec!["free".to_owned()]).expect("a folder");
        let (mut ms, mut commands) = (0, Vec::new());
        let at = |ms: i64| Timestamp {
            monotonic: Time(ms * 1000),
            unix_ms: ms,
        };
        let mut engine = Engine::new(engine_settings(), store, at(0), &mut commands);
        engine.step(
            at(0),
            vec![EngineEvent::DestinationTableReplaced(destination_table(
                count,
            ))],
            &mut commands,
        );
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bench, _| {
            bench.iter(|| {
                ms += 1;
                let message = Message {
                    origin: Origin::CloudEvents,
                    identity: ms.to_string().into_bytes(),
                    idempotency_key: None,
                    class: ClassId(0),
                    destination: DestinationId(3),
                    expires_ms: ms + 20_000,
                    attributes: Vec::new(),
                    body: Vec::new(),
                };
                commands.clear();
                engine.step(
                    at(ms),
                    vec![EngineEvent::Submitted(RequestId(ms as u64), message)],
                    &mut commands,
                );
                let started = commands.iter().find_map(|command| match command {
                    EngineCommand::StartAttempt(request) => {
                        Some((request.message_id, request.attempt))
                    }
                    _ => None,
                });
                let (id, attempt) = started.expect("it is sent at once");
                let (outcome, duration) = (Outcome::Delivered, Span::from_ms(1.0));
                let (disposition, rate_limit) =
                    (Disposition::Undecided, RateLimitReport::default());
                ms += 1;
                engine.step(
                    at(ms),
                    vec![EngineEvent::AttemptFinished(AttemptResult {
                        message_id: id,
                        attempt,
                        outcome,
                        duration,
                        disposition,
                        rate_limit,
                    })],
                    &mut commands,
                );
            });
        });
        let _ = std::fs::remove_dir_all(&dir);
    }
    group.finish();
}

criterion_group!(benches, engine_steps);
criterion_main!(benches);
