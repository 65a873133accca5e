//! Rosters by their form, by what surrounds them, and over crashes; random ones from fixed seeds.

use marblefall_endpoint_lists::keep::Keep;
use marblefall_endpoint_lists::{
    diff, Book, Destination, Endpoint, Offer, Report, Roster, Standing, Step, Terms,
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

/// A roster that is sound in itself.
#[derive(Clone, Debug)]
struct Sound(Roster);

impl Arbitrary for Sound {
    fn arbitrary(gen: &mut Gen) -> Sound {
        let mut roster = Roster {
            revision: u64::arbitrary(gen) % 100_000,
            ..Roster::default()
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
            roster.destinations.insert(name, Destination { endpoints });
        }
        Sound(roster)
    }
}

const MOST: usize = 1 << 20;

fn read(text: &str) -> Roster {
    Roster::read(text.as_bytes(), MOST)
        .unwrap_or_else(|faults| panic!("{faults:?}\n{text}"))
        .roster
}

#[test]
fn what_is_printed_reads_as_the_same() {
    holds(1, 300, |Sound(roster): Sound| {
        read(&roster.print()) == roster
    });
}

#[test]
fn any_cut_of_a_roster_is_refused() {
    holds(2, 20, |Sound(roster): Sound| {
        let text = roster.print();
        (0..text.len()).all(|cut| Roster::read(&text.as_bytes()[..cut], MOST).is_err())
    });
    let windows = GOOD.replace('\n', "\r\n");
    read(&windows);
    assert!((0..windows.len()).all(|cut| Roster::read(&windows.as_bytes()[..cut], MOST).is_err()));
}

/// Written in place: the new file's head stands before the old file's tail, or before nothing where the new one is
/// longer by now. Neither may change what is in force.
#[test]
fn a_file_seen_half_written_changes_nothing() {
    holds(3, 20, |(Sound(old), Sound(mut new)): (Sound, Sound)| {
        new.revision += old.revision + 1;
        let (before, after) = (old.print(), new.print());
        let mut book = Book::new(Terms::default());
        book.take(book.weigh("a", before.as_bytes()).unwrap());
        let unmoved = book.clone();
        (0..after.len()).all(|at| {
            let tail = before.as_bytes().get(at..).unwrap_or_default();
            let mixed = [&after.as_bytes()[..at], tail].concat();
            let harmless = |offer: Offer| offer.changes.is_empty();
            book.weigh("a", &mixed).map_or(true, harmless) && book == unmoved
        })
    });
}

#[test]
fn garbage_is_refused_without_a_panic() {
    holds(4, 3000, |(bytes, at): (Vec<u8>, usize)| {
        let mut text = GOOD.as_bytes().to_vec();
        let at = at % text.len();
        let end = (at + bytes.len()).min(text.len());
        text.splice(at..end, bytes.iter().copied());
        // What was spoilt may still be a roster, say in a comment; it is then one through and through.
        let report = Book::new(Terms::default()).weigh("a", &text).err();
        Roster::read(&bytes, MOST).is_err()
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

fn terms() -> Terms {
    let partners = [
        ("bole", Standing::Rostered),
        ("kazanchis", Standing::Rostered),
        ("own", Standing::Fixed),
    ];
    let partners = partners
        .into_iter()
        .map(|(name, standing)| (name.to_owned(), standing))
        .collect();
    Terms {
        partners: Some(partners),
        most_bytes: 64 * 1024,
        ..Terms::default()
    }
}

fn book() -> Book {
    let mut book = Book::new(terms());
    book.take(book.weigh("roster.toml", GOOD.as_bytes()).unwrap());
    book
}

/// Refused by a book that stays as it was; gives the report.
fn refused(book: &Book, bytes: &[u8]) -> Report {
    let before = format!("{book:?}");
    let report = book.weigh("roster.toml", bytes).expect_err("refused");
    assert_eq!(format!("{book:?}"), before);
    report
}

#[test]
fn each_fault_is_told_with_its_line_and_what_to_do() {
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
        let report = refused(&book(), text.as_bytes());
        let found = report.faults.iter().find(|fault| fault.code == code);
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
        refused(&book(), none.as_bytes()).faults[0].code,
        "unknown-field"
    );
    let none = "revision = 9\n[destination.bole]\nendpoints = []\n[end]\nrevision = 9\n";
    assert_eq!(
        refused(&book(), none.as_bytes()).faults[0].code,
        "no-endpoint"
    );
    let zero = GOOD
        .replace("weight = 3", "weight = 0")
        .replace("9102\"", "9102\", weight = 0");
    assert_eq!(refused(&book(), zero.as_bytes()).faults[0].code, "all-zero");
    assert_eq!(
        refused(&book(), b"revision = 9 # \xff\xfe").faults[0].code,
        "not-utf8"
    );
    let huge = [GOOD.as_bytes(), &vec![b'#'; 70_000]].concat();
    assert_eq!(refused(&book(), &huge).faults[0].code, "too-large");
}

#[test]
fn a_revision_must_rise_unless_nothing_changes() {
    let book = book();
    assert!(book
        .weigh("roster.toml", GOOD.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    let same = GOOD.replace("weight = 3", "weight = 4");
    assert_eq!(
        refused(&book, same.as_bytes()).faults[0].code,
        "old-revision"
    );
    let lower = same.replace("revision = 8", "revision = 7");
    assert_eq!(
        refused(&book, lower.as_bytes()).faults[0].code,
        "old-revision"
    );
    let higher = same.replace("revision = 8", "revision = 9");
    assert_eq!(
        book.weigh("roster.toml", higher.as_bytes())
            .unwrap()
            .changes
            .len(),
        1
    );
}

#[test]
fn a_large_loss_must_be_meant() {
    let book = book();
    let without = |first: &str| {
        let rest = &GOOD[GOOD.find("[destination.kaz").unwrap()..];
        let head = "[destination.bole]\nendpoints = [{ name = \"bole-2\", address = \"127.0.0.1:9102\" }]\n";
        format!("{first}\n{head}{rest}").replace("revision = 8", "revision = 9")
    };
    // Three quarters of a weight stood on what goes.
    let report = refused(&book, without("revision = 8").as_bytes());
    assert_eq!(report.faults[0].code, "large-loss");
    assert!(report.to_string().contains("75%"), "{report}");
    let meant = "revision = 8\nallow_loss = { revision = 9, destinations = [\"bole\"] }";
    assert!(book.weigh("roster.toml", without(meant).as_bytes()).is_ok());
    // What was meant for an earlier change does not cover this one.
    let stale = meant.replace("{ revision = 9", "{ revision = 7");
    let report = refused(&book, without(&stale).as_bytes());
    let codes: Vec<_> = report.faults.iter().map(|fault| fault.code).collect();
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
            book.weigh("roster.toml", text.as_bytes()).is_ok(),
            passes,
            "{to}"
        );
    }
    // All of a partner, and with it most endpoints.
    let few = "revision = 9\n[destination.kazanchis]\nendpoints = [{ name = \"k-2\", address = \"[::1]:9104\" }]\n[end]\nrevision = 9\n";
    let codes: Vec<_> = refused(&book, few.as_bytes())
        .faults
        .iter()
        .map(|fault| fault.code)
        .collect();
    assert_eq!(codes, ["large-loss", "large-loss"]);
}

#[test]
fn a_partner_in_two_files_stays_with_the_first() {
    let mut book = book();
    let text = "revision = 1\n[destination.bole]\nendpoints = [{ name = \"x\", address = \"127.0.0.1:1\" }]\n[end]\nrevision = 1\n";
    let report = book.weigh("second.toml", text.as_bytes()).unwrap_err();
    assert_eq!(report.faults[0].code, "two-files");
    // Moved in two steps: out of the old file, then into the new one.
    let bole = GOOD.find("[destination.bole]").unwrap()..GOOD.find("[destination.kaz").unwrap();
    let allowed =
        "revision = 9\nallow_loss = { revision = 9, destinations = [\"bole\"], endpoints = true }\n";
    let mut rest = GOOD
        .replacen("revision = 8\n", allowed, 1)
        .replace("revision = 8", "revision = 9");
    rest = rest.replace(&GOOD[bole], "");
    book.take(book.weigh("roster.toml", rest.as_bytes()).unwrap());
    assert_eq!(book.unlisted(), ["bole"]);
    book.take(book.weigh("second.toml", text.as_bytes()).unwrap());
    assert!(book.unlisted().is_empty());
    // A partner that leaves the operators' file counts for nothing, but its list is not lost.
    let mut fewer = terms();
    fewer.partners.as_mut().unwrap().remove("bole");
    book.hold_to(fewer);
    assert!(book.endpoints().all(|(name, _)| name == "kazanchis"));
    book.hold_to(terms());
    assert!(book.endpoints().any(|(name, _)| name == "bole"));
}

#[test]
fn a_difference_leads_from_one_list_to_the_other() {
    holds(5, 300, |(Sound(old), Sound(new)): (Sound, Sound)| {
        // Names drawn twice seldom meet, so half of the new list's are the old one's.
        let mut new = new;
        for (name, destination) in old.destinations.iter().take(2) {
            let mut kept = destination.clone();
            kept.endpoints.truncate(2);
            kept.endpoints[0].weight = 7.0;
            new.destinations.insert(name.clone(), kept);
        }
        let by_name = |roster: &Roster| -> BTreeMap<(String, String), Endpoint> {
            let all = roster.destinations.iter();
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
            match change.step {
                Step::Removed => drop(reached.remove(&key)),
                _ => drop(reached.insert(key, change.endpoint.clone())),
            }
        }
        reached == by_name(&new) && changes.is_sorted_by_key(|change| change.step)
    });
}

#[test]
fn the_last_good_list_outlasts_a_death_at_any_point() {
    let folder = std::env::temp_dir().join(format!("marblefall-keep-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let keep = Keep::at(&folder);
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
    let mut book = Book::new(terms());
    for (file, bytes) in keep.read().unwrap() {
        book.restore(&file, &bytes).unwrap();
    }
    assert_eq!(book.rosters()["roster.toml"].revision, 9);
    assert!(book
        .weigh("roster.toml", next.as_bytes())
        .unwrap()
        .changes
        .is_empty());
    std::fs::remove_dir_all(&folder).unwrap();
}
