//! Scenario files, their rate expressions and traces: valid input is read, and errors name the line.

#![allow(clippy::too_many_lines, reason = "tables of cases")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{shipped_scenario, shipped_scenarios, TempFolder};
use marblefall_simulation::fuzz_targets;
use marblefall_simulation::observation::Observation;
use marblefall_simulation::rate_expression::RateExpression;
use marblefall_simulation::scenario::Scenario;
use marblefall_simulation::simulation::{play, production_node};
use quickcheck::{Arbitrary, Gen};
use std::fs;

const MINIMAL_SCENARIO: &str =
    "[class.status]\n[partner.a]\n[[load]]\nclass = \"status\"\npartner = \"a\"\nrate = 1\n";

#[test]
fn scenario_error_names_its_line() {
    let valid = MINIMAL_SCENARIO;
    Scenario::parse(valid, &[], 1).unwrap();
    for (text, line, reason) in [
        (
            valid.replace("rate = 1", "rate = \"1 +\""),
            6,
            "syntax error in the rate expression \"1 +\"",
        ),
        (valid.replace("rate = 1", "rate = -1"), 6, "within 0"),
        (valid.replace("rate = 1", "rate = 1\nraet = 2"), 7, "raet"),
        (
            valid.replace("partner = \"a\"", "partner = \"b\""),
            5,
            "no [partner.b]",
        ),
        (
            valid.replace("class = \"status\"", "class = \"s\""),
            4,
            "no [class.s]",
        ),
        (
            valid.replace("[partner.a]", "[partner.a]\nrefuses = 1.5"),
            3,
            "within 0 and 1",
        ),
        (
            valid.replace("[partner.a]", "[partner.a]\nrate = 1\nwindow_calls = 2"),
            4,
            "not both",
        ),
        (
            valid.replace(
                "[partner.a]",
                "[partner.a]\nservice_ms = { from = 9, to = 2 }",
            ),
            3,
            "from less to more",
        ),
        (
            valid.replace("[class.status]", "[class.status]\nrepeats = \"keyed\""),
            2,
            "needs window_s",
        ),
        (
            valid.replace("[class.status]", "[class.status]\nrepeats = \"maybe\""),
            2,
            "maybe",
        ),
        (
            valid.replace("[class.status]", "seconds = 1e9\n[class.status]"),
            1,
            "within",
        ),
        (
            valid.replace(
                "[[load]]",
                "[[news]]\npartner = \"a\"\nat_s = 1\nendpoint = 3\nstate = \"on\"\n[[load]]",
            ),
            6,
            "within 0 and 0",
        ),
    ] {
        let error = Scenario::parse(&text, &[], 1).unwrap_err().to_string();
        assert!(
            error.contains(&format!("scenario:{line}: ")) && error.contains(reason),
            "{text}\n{error}"
        );
    }
}

#[test]
fn included_files_merge_and_overrides_apply() {
    let read = |overrides: &[&str]| {
        let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
        Scenario::read(&shipped_scenario("month-start"), &overrides, 1)
    };
    let merged = read(&[]).unwrap();
    assert_eq!(
        (merged.seconds, merged.instances, merged.loads.len()),
        (120.0, 3, 4),
        "the file adds one load to the three of the included scenario"
    );
    let overridden = read(&[
        "couriers.count=10",
        "partner.hospital.tells_wait=false",
        "title=Other",
    ])
    .unwrap();
    assert_eq!(
        (overridden.instances, overridden.title.as_str()),
        (10, "Other")
    );
    let mut destinations = overridden.destinations.iter();
    let hospital = destinations.find(|destination| destination.name == "hospital");
    assert!(!hospital.unwrap().sends_retry_after);
    for (invalid, reason) in [
        ("couriers.count=x", "a number"),
        ("couriers", "is not"),
        ("load.0.rate=2", "is a list"),
        ("seconds.x=1", "is a value"),
    ] {
        let error = read(&[invalid]).unwrap_err().to_string();
        assert!(error.contains(reason), "{invalid}: {error}");
    }
    let drawn = |seed| {
        let scenario = Scenario::read(&shipped_scenario("blackout"), &[], seed).unwrap();
        scenario.destinations[0].outages[0].until
    };
    assert!(
        drawn(1) != drawn(2) && drawn(1) == drawn(1),
        "a value from a range depends on the seed alone"
    );
}

#[test]
fn rate_expressions_evaluate_and_reject_syntax_errors() {
    for (text, at, expected) in [
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
        let rate = RateExpression::parse(text).unwrap();
        assert!(
            (rate.at(at) - expected).abs() < 1e-9,
            "{text}: {}",
            rate.at(at)
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
        assert!(RateExpression::parse(text).is_err(), "{text}");
    }
}

/// Guards against panics of the parsers on random bytes, and on shipped scenarios with random cuts and insertions.
#[test]
fn parsers_do_not_panic_on_random_bytes() {
    let texts: Vec<String> = shipped_scenarios()
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    // A fixed seed makes the test reproducible.
    let mut gen = Gen::from_size_and_seed(60, 4);
    let mut rejected = 0;
    let base = fs::read_to_string(shipped_scenario("base")).unwrap();
    for iteration in 0..3000 {
        // `Scenario::parse` rejects every text that includes files. Half of the texts derive from a scenario that includes
        // none.
        let text = if iteration % 2 == 0 {
            &base
        } else {
            &texts[usize::arbitrary(&mut gen) % texts.len()]
        };
        let from = usize::arbitrary(&mut gen) % (text.len() + 1);
        let to = (from + usize::arbitrary(&mut gen) % 40).min(text.len());
        let inserted = Vec::<u8>::arbitrary(&mut gen);
        let bytes = [&text.as_bytes()[..from], &inserted, &text.as_bytes()[to..]].concat();
        rejected += usize::from(Scenario::parse(&String::from_utf8_lossy(&bytes), &[], 1).is_err());
        fuzz_targets::scenario(&bytes);
        fuzz_targets::rate_expression(&inserted);
        fuzz_targets::trace(&[b"at_s\n1.5\n", inserted.as_slice(), b"\n0.5,a\n"].concat());
    }
    assert!((1500..2990).contains(&rejected), "{rejected} rejected");
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
fn trace_times_are_played_and_errors_name_line() {
    let folder = TempFolder::new("trace");
    let write_trace = |text: &str| folder.write("calls.csv", text);
    write_trace("at_s,who\n3.5,b\n0.25,a\n\n\"7\",c\n90,late\n");
    let text = MINIMAL_SCENARIO.replace("rate = 1", "trace = \"calls.csv\"");
    let path = folder.write("it.toml", &text);
    let scenario = Scenario::read(&path, &[], 1).unwrap();
    let mut intended_at_ms = Vec::new();
    play(&scenario, 1, &production_node, &mut |_, observation| {
        if let Observation::Accepted { intended_at, .. } = observation {
            intended_at_ms.push(intended_at.ms());
        }
    });
    assert_eq!(
        intended_at_ms,
        [250.0, 3500.0, 7000.0],
        "times are sorted, and times after the end of the scenario are ignored"
    );
    for (trace, line, reason) in [
        ("at_s\n1\nsoon\n", 3, "\"soon\""),
        ("at_s\n-1\n", 2, "\"-1\" is not a time"),
        ("at_s\n", 1, "no times"),
    ] {
        write_trace(trace);
        let error = Scenario::read(&path, &[], 1).unwrap_err().to_string();
        assert!(
            error.contains("it.toml:6: load.0.trace")
                && error.contains(&format!("calls.csv:{line}: ")),
            "{error}"
        );
        assert!(error.contains(reason), "{error}");
    }
    let both = text.replace("trace =", "rate = 1\ntrace =");
    let error = Scenario::parse(&both, &[], 1).unwrap_err().to_string();
    assert!(error.contains("a rate or a trace"));
}
