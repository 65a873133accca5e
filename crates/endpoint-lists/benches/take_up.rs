//! What a large roster costs: read and checked, compared, and put in force. `cargo bench -p marblefall-roster`.

// The macros write items without docs.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use marblefall_endpoint_lists::{diff, Book, Destination, Endpoint, Roster, Standing, Terms};
use std::hint::black_box;
use std::net::SocketAddr;

/// Destinations with two endpoints each.
fn roster(destinations: usize, revision: u64, weight: f64) -> Roster {
    let endpoint = |number: usize, at: u16| Endpoint {
        name: format!("clinic-{number}-{at}"),
        address: SocketAddr::from(([10, (number >> 8) as u8, number as u8, 1], at)),
        weight,
        zone: "north".to_owned(),
        draining: false,
    };
    let destination = |number: usize| {
        let endpoints = vec![endpoint(number, 8080), endpoint(number, 8081)];
        (format!("clinic-{number}"), Destination { endpoints })
    };
    Roster {
        revision,
        destinations: (0..destinations).map(destination).collect(),
        allow_loss: None,
    }
}

fn take_up(criterion: &mut Criterion) {
    let (old, new) = (roster(10_000, 1, 1.0), roster(10_000, 2, 2.0));
    let (first, second) = (old.print(), new.print());
    let partners = old
        .destinations
        .keys()
        .map(|name| (name.clone(), Standing::Rostered))
        .collect();
    let mut book = Book::new(Terms {
        partners: Some(partners),
        ..Terms::default()
    });
    book.take(book.weigh("a", first.as_bytes()).expect("sound"));
    let mut group = criterion.benchmark_group("roster of 10,000 destinations and 20,000 endpoints");
    group
        .sample_size(20)
        .throughput(Throughput::Bytes(second.len() as u64));
    group.bench_function("read", |bench| {
        bench.iter(|| Roster::read(black_box(second.as_bytes()), 8 << 20))
    });
    group.bench_function("diff", |bench| bench.iter(|| diff(black_box(&old), &new)));
    group.bench_function("weigh: read, check and diff", |bench| {
        bench.iter(|| book.weigh("a", black_box(second.as_bytes())))
    });
    let offer = book.weigh("a", second.as_bytes()).expect("sound");
    group.bench_function("take", |bench| {
        bench.iter_batched(
            || (book.clone(), offer.clone()),
            |(mut book, offer)| book.take(offer),
            criterion::BatchSize::LargeInput,
        )
    });
    group.finish();
}

criterion_group!(benches, take_up);
criterion_main!(benches);
