//! What a step of the engine costs beside idle destinations: `cargo bench -p marblefall-courier`.

// The macros write items without docs.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use marblefall_delivery::core::directory::{Directory, Entry, Place};
use marblefall_delivery::core::engine::{Engine, Input, Order, Setup};
use marblefall_delivery::core::ledger::Ledger;
use marblefall_delivery::core::{Authorisation, Origin, Stamp, Ticket, Verdict};
use marblefall_scheduler::*;
use std::net::SocketAddr;
use std::sync::Arc;

fn directory(count: u64) -> Arc<Directory> {
    let mut directory = Directory::roomy();
    for number in 0..count {
        let (name, own) = (format!("clinic-{number}"), format!("clinic-{number}-1"));
        let entry =
            Entry { name: &name, number: DestinationId(number), form: 0, rate: 1000.0, rostered: false };
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let place = Place { name: &own, address, weight: None, serves: true };
        directory.add(entry, std::iter::once(place)).expect("room");
    }
    Arc::new(directory.settle())
}

fn setup() -> Setup {
    let class = Class {
        worth: 1.0,
        promise: Span::from_ms(2000.0),
        give_up: Span::from_ms(20_000.0),
        late_value: 0.3,
        effect: Effect::Pure,
        ordered: false,
    };
    let caps = Caps { slots: 16, max_open: 128, max_attempts: 8, ..Caps::default() };
    let settings = Settings {
        classes: vec![class],
        kinds: vec![Kind { apart: false, per_call: 1 }],
        caps,
        weights: Weights::Rough,
        couriers: 1,
        ..Settings::default()
    };
    Setup { settings, seed: 1, remember_ms: vec![0], remember_most: 0 }
}

/// A message taken on and sent, then delivered: two steps.
fn steps(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a message beside idle destinations");
    for count in [10, 10_000, 100_000] {
        let dir = std::env::temp_dir().join(format!("marblefall-step-{}-{count}", std::process::id()));
        let ledger = Ledger::open(&dir, 64_000_000, vec!["free".to_owned()]).expect("a folder");
        let (mut ms, mut orders) = (0, Vec::new());
        let stamp = |ms: i64| Stamp { mono: Time(ms * 1000), unix_ms: ms };
        let mut engine = Engine::new(setup(), ledger, stamp(0), &mut orders);
        engine.step(stamp(0), vec![Input::Directory(directory(count))], &mut orders);
        group.bench_with_input(BenchmarkId::from_parameter(count), &count, |bench, _| {
            bench.iter(|| {
                ms += 1;
                let authorisation = Authorisation {
                    origin: Origin::Events,
                    identity: ms.to_string().into_bytes(),
                    repeat_key: None,
                    class: ClassId(0),
                    destination: DestinationId(3),
                    expires_ms: ms + 20_000,
                    attributes: Vec::new(),
                    body: Vec::new(),
                };
                orders.clear();
                engine.step(stamp(ms), vec![Input::Offered(Ticket(ms as u64), authorisation)], &mut orders);
                let leg = orders.iter().find_map(|order| match order {
                    Order::Leg { seq, copy, .. } => Some((*seq, *copy)),
                    _ => None,
                });
                let (seq, copy) = leg.expect("it is sent at once");
                let (outcome, took) = (Outcome::Delivered, Span::from_ms(1.0));
                let (verdict, report) = (Verdict::Open, Report::default());
                ms += 1;
                engine.step(
                    stamp(ms),
                    vec![Input::LegEnded { seq, copy, outcome, took, verdict, report }],
                    &mut orders,
                );
            });
        });
        let _ = std::fs::remove_dir_all(&dir);
    }
    group.finish();
}

criterion_group!(benches, steps);
criterion_main!(benches);
