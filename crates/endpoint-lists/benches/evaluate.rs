//! Benchmarks of parsing, comparing, checking and activating a large list.
//! Run with `cargo bench -p marblefall-endpoint-lists`.

#![allow(missing_docs, reason = "the macros generate undocumented items")]

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use marblefall_endpoint_lists::{
    diff, ActiveLists, Destination, Endpoint, EndpointList, EndpointSource, ListRules,
};
use std::hint::black_box;
use std::net::SocketAddr;

const DESTINATIONS: usize = 10_000;
const MAX_BYTES: usize = 8 << 20;

/// Creates a list of destinations with two endpoints each.
fn list(destinations: usize, revision: u64, weight: f64) -> EndpointList {
    let endpoint = |number: usize, port: u16| Endpoint {
        name: format!("clinic-{number}-{port}"),
        address: SocketAddr::from(([10, (number >> 8) as u8, number as u8, 1], port)),
        weight,
        zone: "north".to_owned(),
        draining: false,
    };
    let destination = |number: usize| {
        let endpoints = vec![endpoint(number, 8080), endpoint(number, 8081)];
        (format!("clinic-{number}"), Destination { endpoints })
    };
    EndpointList {
        revision,
        destinations: (0..destinations).map(destination).collect(),
        loss_allowance: None,
    }
}

fn evaluate(criterion: &mut Criterion) {
    let (old, new) = (list(DESTINATIONS, 1, 1.0), list(DESTINATIONS, 2, 2.0));
    let (first, second) = (old.to_toml(), new.to_toml());
    let destinations = old
        .destinations
        .keys()
        .map(|name| (name.clone(), EndpointSource::Lists))
        .collect();
    let mut active = ActiveLists::new(ListRules {
        destinations: Some(destinations),
        ..ListRules::default()
    });
    active.activate(active.evaluate("a", first.as_bytes()).expect("valid"));
    let mut group = criterion.benchmark_group("list of 10,000 destinations and 20,000 endpoints");
    group
        .sample_size(20)
        .throughput(Throughput::Bytes(second.len() as u64));
    group.bench_function("parse", |bench| {
        bench.iter(|| EndpointList::parse(black_box(second.as_bytes()), MAX_BYTES))
    });
    group.bench_function("diff", |bench| bench.iter(|| diff(black_box(&old), &new)));
    group.bench_function("evaluate", |bench| {
        bench.iter(|| active.evaluate("a", black_box(second.as_bytes())))
    });
    let candidate = active.evaluate("a", second.as_bytes()).expect("valid");
    group.bench_function("activate", |bench| {
        bench.iter_batched(
            || (active.clone(), candidate.clone()),
            |(mut active, candidate)| active.activate(candidate),
            criterion::BatchSize::LargeInput,
        )
    });
    group.finish();
}

criterion_group!(benches, evaluate);
criterion_main!(benches);
