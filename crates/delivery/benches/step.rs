//! Benchmark of the engine's steps while many destinations are idle: `cargo bench -p marblefall-delivery`.

// The macros generate items without documentation.
#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::destinations::{event_submission, table_replaced, TableSpec};
use common::{attempt_finished_after, engine_settings, folder, started_attempts, timestamp};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_scheduler::{
    DestinationId, Idempotency, Limits, Outcome, RateHints, Span, ValueDecay,
};

/// Maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 64_000_000;

fn settings() -> EngineSettings {
    let limits = Limits {
        max_in_flight: 16,
        max_open_messages: 128,
        max_attempts: 8,
        ..Limits::default()
    };
    let mut settings = engine_settings(&[Idempotency::Idempotent], limits);
    settings.scheduler.value_decay = ValueDecay::default();
    settings.scheduler.rate_hints = RateHints::Approximate;
    settings
}

/// Delivers one message in two steps of a millisecond each: the first accepts and sends it, the second delivers it.
fn deliver_one(engine: &mut Engine, ms: &mut i64, commands: &mut Vec<EngineCommand>) {
    *ms += 1;
    commands.clear();
    let submission = event_submission(*ms, *ms as u64, DestinationId(3));
    engine.step(timestamp(*ms), vec![submission], commands);
    let (id, attempt) = started_attempts(commands)[0];
    *ms += 1;
    let delivered = attempt_finished_after(Span::from_ms(1.0), id, attempt, Outcome::Delivered);
    engine.step(timestamp(*ms), vec![delivered], commands);
}

fn engine_steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a message beside idle destinations");
    for count in [10, 10_000, 100_000] {
        let folder = folder(&format!("step-{count}"));
        let store = MessageStore::open(&folder, MAX_BYTES, vec!["free".to_owned()])
            .expect("the folder can be created");
        let (mut ms, mut commands) = (0, Vec::new());
        let mut engine = Engine::new(settings(), store, timestamp(0), &mut commands);
        let table = table_replaced(TableSpec {
            count,
            port: 9,
            rate: 1000.0,
        });
        engine.step(timestamp(0), vec![table], &mut commands);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bench, _| {
            bench.iter(|| deliver_one(&mut engine, &mut ms, &mut commands));
        });
        let _ = std::fs::remove_dir_all(&folder);
    }
    group.finish();
}

criterion_group!(benches, engine_steps);
criterion_main!(benches);
