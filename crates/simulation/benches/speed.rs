//! Speed of the simulation: `cargo bench -p marblefall-simulation`.

#![allow(missing_docs, reason = "the macros write items without docs")]

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use marblefall_simulation::metrics::measure;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{play, production_node};

const CALM_SCENARIO: &str = r#"
seconds = 10
[couriers]
count = 3
slots = 200
[class.status]
[partner.clinic]
count = 100
service_ms = 20
shape = "exponential"
listed = 1000
[[load]]
class = "status"
partner = "clinic"
rate = 5000
"#;

fn speed(criterion: &mut Criterion) {
    let scenario = Scenario::parse(CALM_SCENARIO, &[], 1).expect("the scenario is valid");
    let messages = play(&scenario, 1, &production_node, &mut |_, _| {}).messages;
    let mut group = criterion.benchmark_group("100 destinations, 5,000 messages per second");
    group
        .throughput(Throughput::Elements(messages))
        .sample_size(10);
    group.bench_function("played", |bencher| {
        bencher.iter(|| play(&scenario, 1, &production_node, &mut |_, _| {}));
    });
    group.bench_function("played, measured and checked", |bencher| {
        bencher.iter(|| {
            let run = measure(&scenario, 1, &production_node);
            assert!(run.verdict.is_clean());
        });
    });
    group.finish();
}

criterion_group!(benches, speed);
criterion_main!(benches);
