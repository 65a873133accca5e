//! How fast the model plays: `cargo bench -p marblefall-lab`.

// The macros write items without docs.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use marblefall_simulation::invariants::Watch;
use marblefall_simulation::metrics::Tally;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{in_service, play};

const CALM: &str = r#"
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

fn speed(bench: &mut Criterion) {
    let scenario = Scenario::parse(CALM, &[], 1).expect("it is sound");
    let messages = play(&scenario, 1, &in_service, &mut |_, _| {}).messages;
    let mut group = bench.benchmark_group("a hundred partners, 5,000 messages a second");
    group
        .throughput(Throughput::Elements(messages))
        .sample_size(10);
    group.bench_function("played", |bench| {
        bench.iter(|| play(&scenario, 1, &in_service, &mut |_, _| {}))
    });
    group.bench_function("played, counted and judged", |bench| {
        bench.iter(|| {
            let (mut watch, mut tally) = (Watch::new(&scenario), Tally::new(&scenario));
            let played = play(&scenario, 1, &in_service, &mut |at, seen| {
                watch.see(at, seen);
                tally.see(at, seen);
            });
            assert!(watch.close(played.over).is_clean());
        });
    });
    group.finish();
}

criterion_group!(benches, speed);
criterion_main!(benches);
