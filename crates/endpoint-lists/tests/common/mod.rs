//! Fixed and random lists, and the rules against which they are checked.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use marblefall_endpoint_lists::list::MAX_WEIGHT;
use marblefall_endpoint_lists::{
    ActiveLists, Destination, Endpoint, EndpointList, EndpointSource, ListRules, Report,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::fmt::Debug;

/// Maximum size of a file that these tests parse, in bytes.
pub const MAX_BYTES: usize = 1 << 20;

/// File name of [`VALID_LIST`].
pub const FILE: &str = "roster.toml";

pub const VALID_LIST: &str = r#"revision = 8

[destination.bole]
endpoints = [
    { name = "bole-1", address = "127.0.0.1:9101", weight = 3, zone = "north" },
    { name = "bole-2", address = "127.0.0.1:9102" },
]

[destination.kazanchis]
endpoints = [{ name = "k-1", address = "127.0.0.1:9103", draining = true }, { name = "k-2", address = "[::1]:9104" }]

[end]
revision = 8
"#;

/// Checks a property for random values generated from a fixed seed.
pub fn check_property<T: Arbitrary + Debug>(seed: u64, times: u64, property: fn(T) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(times)
        .quickcheck(property);
}

/// A random list whose format is valid.
#[derive(Clone, Debug)]
pub struct ValidList(pub EndpointList);

impl Arbitrary for ValidList {
    fn arbitrary(gen: &mut Gen) -> ValidList {
        let mut list = EndpointList {
            revision: u64::arbitrary(gen) % 100_000,
            ..EndpointList::default()
        };
        for _ in 0..1 + usize::arbitrary(gen) % 4 {
            // The name may contain quotes, dots, line breaks and non-ASCII characters.
            let name = String::arbitrary(gen);
            let endpoint = |number: usize, gen: &mut Gen| Endpoint {
                name: format!("e-{number}"),
                address: format!(
                    "127.0.{}.{}:{}",
                    number,
                    u8::arbitrary(gen),
                    1 + u16::arbitrary(gen) % 60_000
                )
                .parse()
                .unwrap(),
                weight: f64::from(u16::arbitrary(gen) % 10_001) / 10.0,
                zone: String::arbitrary(gen),
                draining: bool::arbitrary(gen),
            };
            let count = 1 + usize::arbitrary(gen) % 4;
            let mut endpoints: Vec<Endpoint> =
                (0..count).map(|number| endpoint(number, gen)).collect();
            endpoints[0].weight = (endpoints[0].weight + 0.5).min(MAX_WEIGHT);
            list.destinations.insert(name, Destination { endpoints });
        }
        ValidList(list)
    }
}

pub fn parse(text: &str) -> EndpointList {
    EndpointList::parse(text.as_bytes(), MAX_BYTES)
        .unwrap_or_else(|diagnostics| panic!("{diagnostics:?}\n{text}"))
        .list
}

/// Returns rules with the destinations of [`VALID_LIST`] and a destination whose endpoints are in the manifest.
pub fn rules() -> ListRules {
    let destinations = [
        ("bole", EndpointSource::Lists),
        ("kazanchis", EndpointSource::Lists),
        ("own", EndpointSource::Manifest),
    ];
    let destinations = destinations
        .into_iter()
        .map(|(name, source)| (name.to_owned(), source))
        .collect();
    ListRules {
        destinations: Some(destinations),
        max_bytes: 64 * 1024,
        ..ListRules::default()
    }
}

/// Returns active lists that consist of [`VALID_LIST`].
pub fn active_lists() -> ActiveLists {
    let mut active = ActiveLists::new(rules());
    active.activate(active.evaluate(FILE, VALID_LIST.as_bytes()).unwrap());
    active
}

/// Evaluates a list that must be rejected and must not change the active lists; returns the report.
pub fn reject(active: &ActiveLists, bytes: &[u8]) -> Report {
    let before = format!("{active:?}");
    let report = active.evaluate(FILE, bytes).expect_err("rejected");
    assert_eq!(format!("{active:?}"), before);
    report
}

/// Returns the codes of the diagnostics of a report, in their order.
pub fn codes(report: &Report) -> Vec<&str> {
    let diagnostics = report.diagnostics.iter();
    diagnostics.map(|diagnostic| diagnostic.code).collect()
}
