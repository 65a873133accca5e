//! Whole runs: the same each time, judged as they should be, and scenario files that are wrong.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_scheduler::{Outcome, Span, Time};
use marblefall_simulation::connections::{Found, Wires};
use marblefall_simulation::destination::Wire;
use marblefall_simulation::fuzz_targets;
use marblefall_simulation::invariants::{judge, Watch};
use marblefall_simulation::metrics::Tally;
use marblefall_simulation::mutants::Fault;
use marblefall_simulation::observation::Seen;
use marblefall_simulation::rate_expression::Curve;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{in_service, play};
use quickcheck::{Arbitrary, Gen};
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;

fn shipped() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut all: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    all.retain(|path| path.extension().is_some_and(|ending| ending == "toml"));
    all.sort();
    all
}

fn named(name: &str) -> PathBuf {
    shipped()
        .into_iter()
        .find(|path| path.ends_with(format!("{name}.toml")))
        .unwrap()
}

#[test]
fn no_shipped_scenario_breaks_a_rule() {
    assert!(shipped().len() >= 20);
    let threads: Vec<_> = shipped()
        .into_iter()
        .map(|path| {
            thread::spawn(move || {
                let scenario =
                    Scenario::read(&path, &[], 1).unwrap_or_else(|unfit| panic!("{unfit}"));
                let (mut watch, mut tally) = (Watch::new(&scenario), Tally::new(&scenario));
                let played = play(&scenario, 1, &in_service, &mut |at, seen| {
                    watch.see(at, seen);
                    tally.see(at, seen);
                });
                let verdict = watch.close(played.over);
                let first = verdict.breaches.first();
                assert!(
                    verdict.is_clean(),
                    "{}: {} breaches: {}",
                    path.display(),
                    verdict.count,
                    first.unwrap()
                );
                let (taken, ends) = tally.classes.iter().fold((0, 0), |(taken, ends), class| {
                    (
                        taken + class.taken,
                        ends + class.delivered + class.refused + class.failed,
                    )
                });
                assert_eq!(taken, played.messages);
                assert_eq!(taken, ends, "{}: each has an end", path.display());
                assert!(taken > 500, "{}: {taken} messages", path.display());
            })
        })
        .collect();
    threads.into_iter().for_each(|one| one.join().unwrap());
}

#[test]
fn each_fault_of_a_courier_is_found_by_the_checker_meant_for_it() {
    // A leg that a restart forgets must be out at that moment: not on every seed is one that may not run twice.
    for fault in Fault::ALL {
        let found = (1..=8).any(|seed| {
            let scenario = Scenario::read(&named("faults"), &[], seed).unwrap();
            let verdict = judge(&scenario, seed, &|life| {
                fault.courier(life.settings, life.seed)
            });
            verdict
                .breaches
                .iter()
                .any(|breach| breach.rule == fault.breaks())
        });
        assert!(found, "{fault:?} is not found on any seed");
    }
}

fn record(path: &Path, seed: u64) -> Vec<String> {
    let scenario = Scenario::read(path, &[], seed).unwrap();
    let mut all = Vec::new();
    play(&scenario, seed, &in_service, &mut |at, seen: &Seen| {
        all.push(format!("{at:?} {seen:?}"))
    });
    all
}

#[test]
fn the_same_seed_gives_the_same_run_also_on_other_threads_and_another_seed_another() {
    let path = named("mixed");
    let first = record(&path, 5);
    let again: Vec<_> = (0..4)
        .map(|_| {
            let path = path.clone();
            thread::spawn(move || record(&path, 5))
        })
        .collect();
    for one in again {
        assert!(one.join().unwrap() == first);
    }
    assert!(record(&path, 6) != first);
}

#[test]
fn figures_are_written_alike_each_time() {
    let folder = std::env::temp_dir().join(format!("marblefall-lab-{}", std::process::id()));
    let written = |name: &str| {
        let scenario = Scenario::read(&named("crash"), &[], 3).unwrap();
        let mut tally = Tally::new(&scenario);
        play(&scenario, 3, &in_service, &mut |at, seen| {
            tally.see(at, seen)
        });
        let at = folder.join(name);
        tally.write(&at).unwrap();
        ["classes.csv", "latency.csv", "partners.csv"].map(|file| fs::read(at.join(file)).unwrap())
    };
    let (one, two) = (written("one"), written("two"));
    assert!(one == two);
    assert!(one.iter().all(|file| file.len() > 100));
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn what_is_wrong_in_a_scenario_is_said_with_its_line() {
    let good =
        "[class.status]\n[partner.a]\n[[load]]\nclass = \"status\"\npartner = \"a\"\nrate = 1\n";
    Scenario::parse(good, &[], 1).unwrap();
    for (text, line, why) in [
        (
            good.replace("rate = 1", "rate = \"1 +\""),
            6,
            "makes no sense",
        ),
        (good.replace("rate = 1", "rate = -1"), 6, "within 0"),
        (good.replace("rate = 1", "rate = 1\nraet = 2"), 7, "raet"),
        (
            good.replace("partner = \"a\"", "partner = \"b\""),
            5,
            "no [partner.b]",
        ),
        (
            good.replace("class = \"status\"", "class = \"s\""),
            4,
            "no [class.s]",
        ),
        (
            good.replace("[partner.a]", "[partner.a]\nrefuses = 1.5"),
            3,
            "within 0 and 1",
        ),
        (
            good.replace("[partner.a]", "[partner.a]\nrate = 1\nwindow_calls = 2"),
            4,
            "not both",
        ),
        (
            good.replace(
                "[partner.a]",
                "[partner.a]\nservice_ms = { from = 9, to = 2 }",
            ),
            3,
            "from less to more",
        ),
        (
            good.replace("[class.status]", "[class.status]\nrepeats = \"keyed\""),
            2,
            "needs window_s",
        ),
        (
            good.replace("[class.status]", "[class.status]\nrepeats = \"maybe\""),
            2,
            "maybe",
        ),
        (
            good.replace("[class.status]", "seconds = 1e9\n[class.status]"),
            1,
            "within",
        ),
        (
            good.replace(
                "[[load]]",
                "[[news]]\npartner = \"a\"\nat_s = 1\nendpoint = 3\nstate = \"on\"\n[[load]]",
            ),
            6,
            "within 0 and 0",
        ),
    ] {
        let unfit = Scenario::parse(&text, &[], 1).unwrap_err().to_string();
        assert!(
            unfit.contains(&format!("scenario:{line}: ")) && unfit.contains(why),
            "{text}\n{unfit}"
        );
    }
}

#[test]
fn files_are_merged_and_values_set() {
    let day = |sets: &[&str]| {
        let sets: Vec<String> = sets.iter().map(|set| (*set).to_owned()).collect();
        Scenario::read(&named("month-start"), &sets, 1)
    };
    let plain = day(&[]).unwrap();
    assert_eq!(
        (plain.seconds, plain.couriers, plain.loads.len()),
        (120.0, 3, 4),
        "one load beside the three of the base"
    );
    let set = day(&[
        "couriers.count=10",
        "partner.hospital.tells_wait=false",
        "title=Other",
    ])
    .unwrap();
    assert_eq!((set.couriers, set.title.as_str()), (10, "Other"));
    assert!(
        !set.partners
            .iter()
            .find(|partner| partner.name == "hospital")
            .unwrap()
            .tells_wait
    );
    for (bad, why) in [
        ("couriers.count=x", "a number"),
        ("couriers", "is not"),
        ("load.0.rate=2", "is a list"),
        ("seconds.x=1", "is a value"),
    ] {
        let unfit = day(&[bad]).unwrap_err().to_string();
        assert!(unfit.contains(why), "{bad}: {unfit}");
    }
    let drawn = |seed| {
        Scenario::read(&named("blackout"), &[], seed)
            .unwrap()
            .partners[0]
            .outages[0]
            .until
    };
    assert!(
        drawn(1) != drawn(2) && drawn(1) == drawn(1),
        "a range is drawn by the seed"
    );
}

#[test]
fn curves_have_the_values_of_their_formulae() {
    for (text, at, value) in [
        ("8 + 4 * sin(t / 60)", 0.0, 8.0),
        ("2 - 1 - 1", 0.0, 0.0),
        ("2 ^ 3 ^ 2", 0.0, 512.0),
        ("-2 ^ 2", 0.0, -4.0),
        ("12 / 3 * 2", 0.0, 8.0),
        ("max(0, 20 - t)", 5.0, 15.0),
        ("if(t, 30, 60) * 5", 45.0, 5.0),
        ("if(t, 30, 60) * 5", 60.0, 0.0),
        ("(1 + 2) * 3e1", 0.0, 90.0),
        ("cos(pi) + abs(-3) + sqrt(4) + exp(0) + min(1, 2)", 0.0, 6.0),
        ("1 / 0", 0.0, 0.0),
    ] {
        let curve = Curve::parse(text).unwrap();
        assert!(
            (curve.at(at) - value).abs() < 1e-9,
            "{text}: {}",
            curve.at(at)
        );
    }
    for text in [
        "",
        "1 +",
        "sin()",
        "sin(1, 2)",
        "(1",
        "x",
        "1 2",
        "--",
        &"(".repeat(300),
    ] {
        assert!(Curve::parse(text).is_err(), "{text}");
    }
}

/// Neither random bytes nor a shipped scenario with random cuts and changes make a reader panic.
#[test]
fn garbage_is_refused_and_does_no_harm() {
    let texts: Vec<String> = shipped()
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    // A fixed seed, so that the verdict is the same each time.
    let mut gen = Gen::from_size_and_seed(60, 4);
    let mut refused = 0;
    let base = fs::read_to_string(named("base")).unwrap();
    for turn in 0..3000 {
        // What includes others is refused where it stands in no file, so half of them are what stands alone.
        let text = if turn % 2 == 0 {
            &base
        } else {
            &texts[usize::arbitrary(&mut gen) % texts.len()]
        };
        let from = usize::arbitrary(&mut gen) % (text.len() + 1);
        let to = (from + usize::arbitrary(&mut gen) % 40).min(text.len());
        let with = Vec::<u8>::arbitrary(&mut gen);
        let bytes = [&text.as_bytes()[..from], &with, &text.as_bytes()[to..]].concat();
        refused += usize::from(Scenario::parse(&String::from_utf8_lossy(&bytes), &[], 1).is_err());
        fuzz_targets::scenario(&bytes);
        fuzz_targets::rate_expression(&with);
        fuzz_targets::trace(&[b"at_s\n1.5\n", with.as_slice(), b"\n0.5,a\n"].concat());
    }
    assert!((1500..2990).contains(&refused), "{refused} refused");
    let expressions = [
        "8 + 4 * sin(t / 60)",
        "if(t, 30, 60) * 5",
        "max(0, 20 - t) ^ 2",
        "exp(t) / sqrt(t - 1)",
    ];
    for _ in 0..3000 {
        let text = expressions[usize::arbitrary(&mut gen) % expressions.len()].as_bytes();
        let (from, other) = (
            usize::arbitrary(&mut gen) % text.len(),
            usize::arbitrary(&mut gen) % text.len(),
        );
        fuzz_targets::rate_expression(&[&text[..from], &text[other..]].concat());
    }
}

#[test]
fn a_trace_is_played_as_it_stands_and_told_what_is_wrong_by_its_line() {
    let folder = std::env::temp_dir().join(format!("marblefall-lab-{}-trace", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::write(
        folder.join("calls.csv"),
        "at_s,who\n3.5,b\n0.25,a\n\n\"7\",c\n90,late\n",
    )
    .unwrap();
    let text =
        "[class.status]\n[partner.a]\n[[load]]\nclass = \"status\"\npartner = \"a\"\ntrace = \"calls.csv\"\n";
    fs::write(folder.join("it.toml"), text).unwrap();
    let scenario = Scenario::read(&folder.join("it.toml"), &[], 1).unwrap();
    let mut meant = Vec::new();
    play(&scenario, 1, &in_service, &mut |_, seen| {
        if let Seen::TakenOn { meant: at, .. } = seen {
            meant.push(at.ms());
        }
    });
    assert_eq!(
        meant,
        [250.0, 3500.0, 7000.0],
        "what lies behind the scenario's end does not come"
    );
    for (trace, line, why) in [
        ("at_s\n1\nsoon\n", 3, "\"soon\""),
        ("at_s\n-1\n", 2, "no time"),
        ("at_s\n", 1, "no times"),
    ] {
        fs::write(folder.join("calls.csv"), trace).unwrap();
        let unfit = Scenario::read(&folder.join("it.toml"), &[], 1)
            .unwrap_err()
            .to_string();
        assert!(
            unfit.contains("it.toml:6: load.0.trace")
                && unfit.contains(&format!("calls.csv:{line}: ")),
            "{unfit}"
        );
        assert!(unfit.contains(why), "{unfit}");
    }
    let both = text.replace("trace =", "rate = 1\ntrace =");
    assert!(Scenario::parse(&both, &[], 1)
        .unwrap_err()
        .to_string()
        .contains("a rate or a trace"));
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn connections_are_kept_refused_and_closed_as_the_scenario_says() {
    let (wire, at) = (
        Wire {
            most: Some(2),
            idle_close: Some(Span::from_ms(3000.0)),
            connect: Span::ZERO,
        },
        Time::from_ms,
    );
    let mut wires = Wires::new(Span::from_ms(10_000.0));
    assert_eq!(
        [0, 0, 1].map(|courier| wires.take(at(0.0), courier, 7, &wire)),
        [Found::New, Found::New, Found::NoRoom]
    );
    assert_eq!(
        wires.take(at(0.0), 1, 8, &wire),
        Found::New,
        "each endpoint by itself"
    );
    wires.give_back(at(100.0), 0, 7, true);
    assert_eq!(
        wires.take(at(200.0), 1, 7, &wire),
        Found::NoRoom,
        "an idle one holds its place"
    );
    assert_eq!(wires.take(at(3000.0), 0, 7, &wire), Found::Kept);
    wires.give_back(at(3050.0), 0, 7, true);
    // Closed unannounced: whoever kept it finds out by its use, and others have its place.
    assert_eq!(wires.take(at(6050.0), 1, 7, &wire), Found::New);
    assert_eq!(wires.take(at(6100.0), 0, 7, &wire), Found::Closed);
    wires.give_back(at(6200.0), 1, 7, false);
    assert_eq!(
        wires.take(at(6300.0), 1, 7, &wire),
        Found::New,
        "what broke is not kept"
    );
    wires.give_back(at(6400.0), 1, 7, true);
    wires.close_idle(1, 7);
    wires.give_back(at(6400.0), 0, 7, true);
    wires.died(0);
    assert_eq!(
        [0, 1].map(|courier| wires.take(at(6500.0), courier, 7, &wire)),
        [Found::New, Found::New]
    );
    // Retired by the courier in time where the partner keeps to what it says.
    let lasting = Wire {
        most: None,
        idle_close: None,
        ..wire
    };
    wires.give_back(at(7000.0), 0, 7, true);
    assert_eq!(wires.take(at(15_400.0), 0, 7, &lasting), Found::Kept);
    wires.give_back(at(15_500.0), 0, 7, true);
    assert_eq!(wires.take(at(24_100.0), 0, 7, &lasting), Found::New);

    let ended = |name: &str, how: Outcome| {
        let scenario = Scenario::read(&named(name), &[], 2).unwrap();
        let mut count = 0;
        play(&scenario, 2, &in_service, &mut |_, seen| {
            count += usize::from(matches!(seen, Seen::Closed { outcome, .. } if *outcome == how));
        });
        count
    };
    assert!(ended("silent-close", Outcome::StaleConnection) > 20);
    assert!(ended("few-connections", Outcome::ConnectFailed) > 20);
    assert_eq!(ended("base", Outcome::StaleConnection), 0);
}

#[test]
fn seeds_that_once_broke_a_rule_break_none() {
    // A partner that hung, or was shut through a courier's death, was pushed over by what had waited for it.
    for (name, seed) in [
        ("blackout", 9),
        ("blackout", 10),
        ("blackout", 20),
        ("blackout", 1),
        ("mixed", 7),
    ] {
        let scenario = Scenario::read(&named(name), &[], seed).unwrap();
        let verdict = judge(&scenario, seed, &in_service);
        assert!(
            verdict.is_clean(),
            "{name} {seed}: {:?}",
            verdict.breaches.first()
        );
    }
}
