//! Lists by their form, by what surrounds them, and over crashes; random ones from fixed seeds.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_endpoint_lists::last_good_store::LastGoodStore;
use marblefall_endpoint_lists::{
    diff, ActiveLists, Candidate, ChangeKind, Destination, Endpoint, EndpointList, EndpointSource,
    ListRules, Report,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Runs a property over what a fixed seed brings.
fn holds<T: Arbitrary + Debug>(seed: u64, times: u64, property: fn(T) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(times)
        .quickcheck(property);
}

/// A list that is sound in itself.
#[derive(Clone, Debug)]
struct ValidList(EndpointList);

impl Arbitrary for ValidList {
    fn arbitrary(gen: &mut Gen) -> ValidList {
        let mut list = EndpointList {
            revision: u64::arbitrary(gen) % 100_000,
            ..EndpointList::default()
        };
        for _ in 0..1 + usize::arbitrary(gen) % 4 {
            // Names with quotes, dots, line breaks and signs of other scripts.
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
            let most = 1 + usize::arbitrary(gen) % 4;
            let mut endpoints: Vec<Endpoint> =
                (0..most).map(|number| endpoint(number, gen)).collect();
            endpoints[0].weight += 0.5;
            endpoints[0].weight = endpoints[0].weight.min(1000.0);
            list.destinations.insert(name, Destination { endpoints });
        }
        ValidList(list)
    }
}

const MOST: usize = 1 << 20;

fn read(text: &str) -> EndpointList {
    EndpointList::parse(text.as_bytes(), MOST)
        .unwrap_or_else(|diagnostics| panic!("{diagnostics:?}\n{text}"))
        .list
}

#[test]
fn printed_list_reads_back_the_same() {
    holds(1, 300, |ValidList(list): ValidList| {
        read(&list.to_toml()) == list
    });
}

#[test]
fn any_cut_of_a_list_is_rejected() {
    holds(2, 20, |ValidList(list): ValidList| {
        let text = list.to_toml();
        (0..text.len()).all(|cut| EndpointList::parse(&text.as_bytes()[..cut], MOST).is_err())
    });
    let windows = GOOD.replace('\n', "\r\n");
    read(&windows);
    assert!((0..windows.len())
        .all(|cut| EndpointList::parse(&windows.as_bytes()[..cut], MOST).is_err()));
}

/// Written in place: the new file's head stands before the old file's tail, or before nothing where the new one is
/// longer by now. Neither may change what is in force.
#[test]
fn half_written_file_changes_nothing() {
    holds(
        3,
        20,
        |(ValidList(old), ValidList(mut new)): (ValidList, ValidList)| {
            new.revision += old.revision + 1;
            let (before, after) = (old.to_toml(), new.to_toml());
            let mut active = ActiveLists::new(ListRules::default());
            active.activate(active.evaluate("a", before.as_bytes()).unwrap());
            let unmoved = active.clone();
            (0..after.len()).all(|at| {
                let tail = before.as_bytes().get(at..).unwrap_or_default();
                let mixed = [&after.as_bytes()[..at], tail].concat();
                let harmless = |candidate: Candidate| candidate.changes.is_empty();
                active.evaluate("a", &mixed).map_or(true, harmless) && active == unmoved
            })
        },
    );
}

#[test]
fn garbage_is_rejected_without_a_panic() {
    holds(4, 3000, |(bytes, at): (Vec<u8>, usize)| {
        let mut text = GOOD.as_bytes().to_vec();
        let at = at % text.len();
        let end = (at + bytes.len()).min(text.len());
        text.splice(at..end, bytes.iter().copied());
        // What was spoilt may still be a list, say in a comment; it is then one through and through.
        let report = ActiveLists::new(ListRules::default())
            .evaluate("a", &text)
            .err();
        EndpointList::parse(&bytes, MOST).is_err()
            && report.is_none_or(|report| !report.to_string().is_empty())
    });
}

const GOOD: &str = r#"revision = 8

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

fn rules() -> ListRules {
    let destinations = [
        ("bole", EndpointSource::Lists),
        ("kazanchis", EndpointSource::Lists),
        ("own", EndpointSource::Manifest),
    ];
    let destinations = destinations
        .into_iter()
        .map(|(name, standing)| (name.to_owned(), standing))
        .collect();
    ListRules {
        destinations: Some(destinations),
        max_bytes: 64 * 1024,
        ..ListRules::default()
    }
}

fn active() -> ActiveLists {
    let mut active = ActiveLists::new(rules());
    active.activate(active.evaluate("roster.toml", GOOD.as_bytes()).unwrap());
    active
}

/// Refused by a active that stays as it was; gives the report.
fn rejected(active: &ActiveLists, bytes: &[u8]) -> Report {
    let before = format!("{active:?}");
    let report = active.evaluate("roster.toml", bytes).expect_err("refused");
    assert_eq!(format!("{active:?}"), before);
    report
}

#[test]
#[allow(clippy::too_many_lines)] // A table of cases.
fn each_diagnostic_names_line_and_remedy() {
    let line_of =
        |text: &str, part: &str| text[..text.find(part).unwrap()].matches('\n').count() + 1;
    for (code, from, to, place) in [
        ("unknown-field", "weight = 3", "wieght = 3", "wieght"),
        (
            "unknown-partner",
            "[destination.kazanchis]",
            "[destination.kazanchi]",
            "[destination.kazanchi]",
        ),
        (
            "fixed-partner",
            "[destination.kazanchis]",
            "[destination.own]",
            "[destination.own]",
        ),
        ("same-name", "\"bole-2\"", "\"bole-1\"", "127.0.0.1:9102"),
        ("same-address", "127.0.0.1:9102", "127.0.0.1:9101", "bole-2"),
        ("bad-name", "\"bole-2\"", "\"bole/2\"", "bole/2"),
        ("bad-weight", "weight = 3", "weight = -1", "weight"),
        ("bad-weight", "weight = 3", "weight = nan", "weight"),
        ("bad-weight", "weight = 3", "weight = 1000.5", "weight"),
        ("bad-address", "127.0.0.1:9102", "127.0.0.1:0", "bole-2"),
        ("bad-address", "127.0.0.1:9102", "0.0.0.0:80", "bole-2"),
        ("bad-address", "127.0.0.1:9102", "bole:80", "bole-2"),
        ("bad-address", "127.0.0.1:9102", "224.0.0.1:80", "bole-2"),
        (
            "torn",
            "[end]\nrevision = 8",
            "[end]\nrevision = 7",
            "revision = 7",
        ),
        ("cut-off", "[end]\nrevision = 8\n", "", ""),
        (
            "not-last",
            "[end]\nrevision = 8\n",
            "[end]\nrevision = 8\n\n",
            "",
        ),
        ("no-revision", "revision = 8\n\n", "\n\n", ""),
        ("not-readable", "weight = 3", "weight = ", "weight"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let report = rejected(&active(), text.as_bytes());
        let found = report.diagnostics.iter().find(|fault| fault.code == code);
        let first = found.unwrap_or_else(|| panic!("{code}: {report}"));
        assert!(
            !first.help.is_empty() && report.to_string().contains(&first.help),
            "{report}"
        );
        if !place.is_empty() {
            assert_eq!(first.line, line_of(&text, place), "{report}");
            assert!(report.to_string().contains("roster.toml"), "{report}");
        }
    }
    let none = GOOD.replace("endpoints = [{", "was = [{");
    assert_eq!(
        rejected(&active(), none.as_bytes()).diagnostics[0].code,
        "unknown-field"
    );
    let none = "revision = 9\n[destination.bole]\nendpoints = []\n[end]\nrevision = 9\n";
    assert_eq!(
        rejected(&active(), none.as_bytes()).diagnostics[0].code,
        "no-endpoint"
    );
    let zero = GOOD
        .replace("weight = 3", "weight = 0")
        .replace("9102\"", "9102\", weight = 0");
    assert_eq!(
        rejected(&active(), zero.as_bytes()).diagnostics[0].code,
        "all-zero"
    );
    assert_eq!(
        rejected(&active(), b"revision = 9 # \xff\xfe").diagnostics[0].code,
        "not-utf8"
    );
    let huge = [GOOD.as_bytes(), &vec![b'#'; 70_000]].concat();
    assert_eq!(rejected(&active(), &huge).diagnostics[0].code, "too-large");
}

#[test]
fn revision_must_rise_unless_nothing_changes() {
    let active = active();
    assert!(active
        .evaluate("roster.toml", GOOD.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    let same = GOOD.replace("weight = 3", "weight = 4");
    assert_eq!(
        rejected(&active, same.as_bytes()).diagnostics[0].code,
        "old-revision"
    );
    let lower = same.replace("revision = 8", "revision = 7");
    assert_eq!(
        rejected(&active, lower.as_bytes()).diagnostics[0].code,
        "old-revision"
    );
    let higher = same.replace("revision = 8", "revision = 9");
    assert_eq!(
        active
            .evaluate("roster.toml", higher.as_bytes())
            .unwrap()
            .changes
            .len(),
        1
    );
}

#[test]
fn large_loss_needs_an_allowance() {
    let active = active();
    let without = |first: &str| {
        let rest = &GOOD[GOOD.find("[destination.kaz").unwrap()..];
        let head = "[destination.bole]\nendpoints = [{ name = \"bole-2\", address = \"127.0.0.1:9102\" }]\n";
        format!("{first}\n{head}{rest}").replace("revision = 8", "revision = 9")
    };
    // Three quarters of a weight stood on what goes.
    let report = rejected(&active, without("revision = 8").as_bytes());
    assert_eq!(report.diagnostics[0].code, "large-loss");
    assert!(report.to_string().contains("75%"), "{report}");
    let meant = "revision = 8\nallow_loss = { revision = 9, destinations = [\"bole\"] }";
    assert!(active
        .evaluate("roster.toml", without(meant).as_bytes())
        .is_ok());
    // What was meant for an earlier change does not cover this one.
    let stale = meant.replace("{ revision = 9", "{ revision = 7");
    let report = rejected(&active, without(&stale).as_bytes());
    let codes: Vec<_> = report.diagnostics.iter().map(|fault| fault.code).collect();
    assert_eq!(codes, ["large-loss", "old-allowance"], "{report}");
    // Draining or weight 0 takes away as much as removal does; scaling and adding take nothing.
    for (from, to, passes) in [
        ("weight = 3", "weight = 3, draining = true", false),
        ("weight = 3", "weight = 0", false),
        ("weight = 3", "weight = 0.01", false),
        ("\"127.0.0.1:9102\"", "\"127.0.0.1:9102\", weight = 0", true),
        ("weight = 3", "weight = 900", true),
        (
            "weight = 3, zone = \"north\" },",
            "weight = 30 }, { name = \"x\", address = \"127.0.0.1:1\", weight = 900 },",
            true,
        ),
    ] {
        let text = GOOD
            .replace(from, to)
            .replace("revision = 8", "revision = 9");
        assert_eq!(
            active.evaluate("roster.toml", text.as_bytes()).is_ok(),
            passes,
            "{to}"
        );
    }
    // All of a partner, and with it most endpoints.
    let few = "revision = 9\n[destination.kazanchis]\nendpoints = [{ name = \"k-2\", address = \"[::1]:9104\" }]\n[end]\nrevision = 9\n";
    let codes: Vec<_> = rejected(&active, few.as_bytes())
        .diagnostics
        .iter()
        .map(|fault| fault.code)
        .collect();
    assert_eq!(codes, ["large-loss", "large-loss"]);
}

#[test]
fn destination_in_two_files_stays_with_the_first() {
    let mut active = active();
    let text = "revision = 1\n[destination.bole]\nendpoints = [{ name = \"x\", address = \"127.0.0.1:1\" }]\n[end]\nrevision = 1\n";
    let report = active.evaluate("second.toml", text.as_bytes()).unwrap_err();
    assert_eq!(report.diagnostics[0].code, "two-files");
    // Moved in two steps: out of the old file, then into the new one.
    let bole = GOOD.find("[destination.bole]").unwrap()..GOOD.find("[destination.kaz").unwrap();
    let allowed =
        "revision = 9\nallow_loss = { revision = 9, destinations = [\"bole\"], endpoints = true }\n";
    let mut rest = GOOD
        .replacen("revision = 8\n", allowed, 1)
        .replace("revision = 8", "revision = 9");
    rest = rest.replace(&GOOD[bole], "");
    active.activate(active.evaluate("roster.toml", rest.as_bytes()).unwrap());
    assert_eq!(active.destinations_without_list(), ["bole"]);
    active.activate(active.evaluate("second.toml", text.as_bytes()).unwrap());
    assert!(active.destinations_without_list().is_empty());
    // A partner that leaves the operators' file counts for nothing, but its list is not lost.
    let mut fewer = rules();
    fewer.destinations.as_mut().unwrap().remove("bole");
    active.set_rules(fewer);
    assert!(active.endpoints().all(|(name, _)| name == "kazanchis"));
    active.set_rules(rules());
    assert!(active.endpoints().any(|(name, _)| name == "bole"));
}

#[test]
fn diff_leads_from_one_list_to_the_other() {
    holds(
        5,
        300,
        |(ValidList(old), ValidList(new)): (ValidList, ValidList)| {
            // Names drawn twice seldom meet, so half of the new list's are the old one's.
            let mut new = new;
            for (name, destination) in old.destinations.iter().take(2) {
                let mut kept = destination.clone();
                kept.endpoints.truncate(2);
                kept.endpoints[0].weight = 7.0;
                new.destinations.insert(name.clone(), kept);
            }
            let by_name = |list: &EndpointList| -> BTreeMap<(String, String), Endpoint> {
                let all = list.destinations.iter();
                all.flat_map(|(name, to)| {
                    to.endpoints
                        .iter()
                        .map(|e| ((name.clone(), e.name.clone()), e.clone()))
                })
                .collect()
            };
            let changes = diff(&old, &new);
            let mut reached = by_name(&old);
            for change in &changes {
                let key = (change.destination.clone(), change.endpoint.name.clone());
                match change.kind {
                    ChangeKind::Removed => drop(reached.remove(&key)),
                    _ => drop(reached.insert(key, change.endpoint.clone())),
                }
            }
            reached == by_name(&new) && changes.is_sorted_by_key(|change| change.kind)
        },
    );
}

#[test]
fn last_good_list_survives_a_crash_at_any_point() {
    let folder = std::env::temp_dir().join(format!("marblefall-keep-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let keep = LastGoodStore::at(&folder);
    assert!(keep.read().unwrap().is_empty());
    keep.write("roster.toml", GOOD.as_bytes()).unwrap();
    // A death while the next one was being written leaves a part of it beside.
    std::fs::write(folder.join("roster.toml.new"), &GOOD.as_bytes()[..40]).unwrap();
    let kept = keep.read().unwrap();
    assert_eq!(kept, [("roster.toml".to_owned(), GOOD.as_bytes().to_vec())]);
    // A death between the write and the take-up: the next life begins with what was written.
    let next = GOOD
        .replace("weight = 3", "weight = 4")
        .replace("revision = 8", "revision = 9");
    keep.write("roster.toml", next.as_bytes()).unwrap();
    let mut active = ActiveLists::new(rules());
    for (file, bytes) in keep.read().unwrap() {
        active.restore(&file, &bytes).unwrap();
    }
    assert_eq!(active.lists()["roster.toml"].revision, 9);
    assert!(active
        .evaluate("roster.toml", next.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    std::fs::remove_dir_all(&folder).unwrap();
}
