//! Experiments, comparisons, searches and reports.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{shipped_scenario, TempFolder};
use marblefall_simulation::capacity_search::{capacity, Capacity, CapacitySearch};
use marblefall_simulation::compare::{Comparison, Difference};
use marblefall_simulation::experiment::{self, CellResult, Experiment};
use marblefall_simulation::invariants::{check_run, Invariant};
use marblefall_simulation::metrics::measure;
use marblefall_simulation::mutants::Mutation;
use marblefall_simulation::report::{of_folder, RunReport};
use marblefall_simulation::scenario::{Draft, Scenario};
use marblefall_simulation::seed_search::{search_seeds, shrink, FailureCriterion, ShrinkBudget};
use marblefall_simulation::simulation::{production_node, Incarnation, NodeFactory};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fs;
use std::path::Path;

/// Returns an experiment of two scenarios, three seeds and two variants. The second variant has overrides.
fn twelve_cell_experiment(folder: &TempFolder, overrides: &str) -> Experiment {
    let (base, crash) = (shipped_scenario("base"), shipped_scenario("crash"));
    let text = format!(
        "scenarios = [{base:?}, {crash:?}]\nseeds = {{ from = 1, to = 3 }}\n[[variant]]\nname = \"plain\"\n\
         [[variant]]\nname = \"set\"\nset = [{overrides}]\n"
    );
    Experiment::read(&folder.write("grid.toml", &text)).unwrap()
}

#[test]
fn experiment_plays_each_cell_once_across_interruptions() {
    let folder = TempFolder::new("grid");
    let experiment = twelve_cell_experiment(&folder, "\"couriers.slots=4\"");
    let (on_one, on_four) = (folder.0.join("one"), folder.0.join("four"));
    let run = experiment.run(&on_one, 1).unwrap();
    assert_eq!((run.results.len(), run.played), (12, 12));
    assert_eq!(experiment.run(&on_four, 4).unwrap().played, 12);
    let csv = |folder: &Path| fs::read(folder.join("cells.csv")).unwrap();
    assert!(csv(&on_one) == csv(&on_four) && csv(&on_one).len() > 1000);

    // Simulates an interruption in the middle of the sixth line.
    let cells = on_four.join("cells.jsonl");
    let complete = fs::read_to_string(&cells).unwrap();
    let cut = complete.match_indices('\n').nth(4).unwrap().0 + 30;
    fs::write(&cells, &complete[..cut]).unwrap();
    let run = experiment.run(&on_four, 2).unwrap();
    assert_eq!(run.played, 7, "five cells were complete");
    assert!(csv(&on_four) == csv(&on_one) && fs::read_to_string(&cells).unwrap() == complete);
    assert_eq!(experiment.run(&on_four, 2).unwrap().played, 0);

    // Only the cells whose overrides have changed are played again.
    let changed = twelve_cell_experiment(&folder, "\"couriers.slots=5\"");
    assert_eq!(changed.run(&on_four, 2).unwrap().played, 6);
    assert!(csv(&on_four) != csv(&on_one));
}

#[test]
fn experiment_error_names_its_line() {
    let folder = TempFolder::new("errors");
    let valid =
        "scenarios = [\"a.toml\"]\nseeds = { from = 1, to = 3 }\n[[variant]]\nname = \"a\"\n";
    let read = |text: &str| {
        let experiment = Experiment::read(&folder.write("it.toml", text));
        experiment.map_or_else(|error| error.to_string(), |_| "valid".to_owned())
    };
    assert_eq!(read(valid), "valid");
    for (text, line, reason) in [
        (valid.replace("to = 3", "to = 0"), 2, "from less to more"),
        (
            valid.replace("to = 3", "to = 9999999999"),
            2,
            "cells in all",
        ),
        (
            valid.replace("[\"a.toml\"]", "[\"a.toml\",\n\"x/a.toml\"]"),
            2,
            "twice",
        ),
        (valid.replace("[\"a.toml\"]", "[]"), 1, "one at least"),
        (
            valid.replace("name = \"a\"", "name = \"a\"\nprogram = \"none\""),
            3,
            "no such program",
        ),
        (
            format!("{valid}[[variant]]\nname = \"a\"\n"),
            5,
            "a name of its own",
        ),
        (valid.replace("seeds", "sedes"), 2, "sedes"),
    ] {
        let error = read(&text);
        assert!(
            error.contains(&format!("it.toml:{line}: ")) && error.contains(reason),
            "{text}\n{error}"
        );
    }
    (0..valid.len()).for_each(|cut| drop(read(&valid[..cut])));
    assert!(
        experiment::read(&folder.0).unwrap().is_empty(),
        "a folder without cells has no results"
    );
}

/// Returns twenty values with a given mean and a standard deviation of 1. The sum of twelve uniform draws is approximately
/// normal.
fn noise(rng: &mut Pcg64, mean: f64) -> Vec<f64> {
    (0..20)
        .map(|_| mean + (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0)
        .collect()
}

#[test]
fn only_real_differences_are_significant() {
    let mut rng = Pcg64::seed_from_u64(5);
    let significant = |mean: f64, comparisons: usize, rng: &mut Pcg64| {
        (0..200)
            .filter(|_| Difference::of(&noise(rng, mean), comparisons).is_significant())
            .count()
    };
    // Bootstrap intervals of 20 pairs are slightly too narrow: about 7 % of the results are significant instead of 5 %.
    let by_chance = significant(0.0, 1, &mut rng);
    assert!(
        (2..=24).contains(&by_chance),
        "{by_chance} of 200 are significant without a difference"
    );
    assert!(
        significant(0.0, 20, &mut rng) <= 4,
        "fewer are significant with more comparisons"
    );
    assert!(
        significant(1.5, 20, &mut rng) >= 195,
        "a real difference is significant"
    );
    assert!(
        !Difference::of(&[1.0; 5], 1).is_significant(),
        "too few pairs"
    );
    let difference = Difference::of(&noise(&mut rng, 0.3), 1);
    assert!(difference.low < difference.mean && difference.mean < difference.high);
    assert_eq!(Difference::of(&[], 1).pairs, 0);
}

#[test]
fn comparison_pairs_cells_that_both_variants_have() {
    let folder = TempFolder::new("pairs");
    let experiment = twelve_cell_experiment(&folder, "\"couriers.slots=1\"");
    let run = experiment.run(&folder.0.join("out"), 0).unwrap();
    let results_of_variant = |name: &str| -> Vec<CellResult> {
        let results = run.results.iter().filter(|result| result.variant == name);
        results.cloned().collect()
    };
    let (plain, set) = (results_of_variant("plain"), results_of_variant("set"));
    let comparison = Comparison::of(&plain, &set[1..]);
    let pairs: Vec<usize> = comparison
        .by_scenario
        .values()
        .map(|difference| difference.pairs)
        .collect();
    assert_eq!(pairs, [2, 3]);
    let share = |results: &[CellResult], index: usize| results[index].summary.delivered_value_share;
    let change = share(&set, 1) - share(&plain, 1) + share(&set, 2) - share(&plain, 2);
    assert!((comparison.by_scenario["base"].mean - change / 2.0).abs() < 1e-12);
    assert!(comparison.to_string().contains("too few pairs"));
}

#[test]
fn capacity_search_finds_rate_limit() {
    let folder = TempFolder::new("capacity");
    // The limit is 20 calls per second and the load is 10. Nine tenths are delivered up to 2.2 times the load.
    let text = "seconds = 120\n[couriers]\ncount = 1\n[class.status]\ngive_up_s = 4\n[partner.a]\nrate = 20\nlisted = 20\n\
                service_ms = 5\n[[load]]\nclass = \"status\"\npartner = \"a\"\nrate = 10\n";
    let draft = Draft::read(&folder.write("one.toml", text), &[]).unwrap();
    let search = CapacitySearch {
        min_factor: 0.5,
        max_factor: 8.0,
        required_share: 0.9,
        seeds: 2,
        steps: 6,
    };
    let found = capacity(&draft, search).unwrap()["status"];
    let Capacity::Between(low, high) = found.capacity else {
        panic!("{found:?}")
    };
    assert!(
        1.7 < low && high < 2.4 && high / low < 1.1,
        "{low} to {high}"
    );
    assert!(
        (found.offered_rate / low - 10.0).abs() < 0.5,
        "{}",
        found.offered_rate
    );
    let between = |min_factor, max_factor| {
        let search = CapacitySearch {
            min_factor,
            max_factor,
            ..search
        };
        capacity(&draft, search).unwrap()["status"].capacity
    };
    assert_eq!(
        (between(4.0, 8.0), between(0.5, 1.0)),
        (Capacity::Below, Capacity::Above)
    );
}

#[test]
fn worst_seed_is_found_and_shrunk_scenario_fails() {
    let folder = TempFolder::new("search");
    let draft = Draft::read(&shipped_scenario("blackout"), &[]).unwrap();
    let mutant = |incarnation: Incarnation| {
        Mutation::IgnoresRecoveryRamp.node(incarnation.settings, incarnation.seed)
    };
    let failing = search_seeds(&draft, 1..=8, &mutant).unwrap();
    assert_eq!(
        (failing.len(), failing[0].violated),
        (8, Some(Invariant::NoRecoveryOverload))
    );
    let passing = search_seeds(&draft, 1..=8, &production_node).unwrap();
    assert!(passing.iter().all(|result| result.violated.is_none()));
    assert!(
        passing.windows(2).all(|two| {
            two[0].summary.delivered_value_share <= two[1].summary.delivered_value_share
        }),
        "the worst seeds come first"
    );

    let budget = ShrinkBudget {
        criterion: FailureCriterion::Violates(Invariant::NoRecoveryOverload),
        max_runs: 400,
    };
    let shrunk = shrink(&draft, failing[0].seed, budget, &mutant);
    assert!(shrunk.runs <= 400);
    let path = folder.write("smallest.toml", &shrunk.text().unwrap());
    let smallest = Scenario::read(&path, &[], shrunk.seed).unwrap();
    let original = draft.scenario(1).unwrap();
    assert!(
        smallest.loads.len() < original.loads.len()
            && smallest.destinations.len() < original.destinations.len(),
        "{smallest:?}"
    );
    assert!(
        smallest.seconds <= original.seconds && smallest.classes.len() < original.classes.len()
    );
    let verdict = check_run(&smallest, shrunk.seed, &mutant);
    assert_eq!(
        verdict.violations[0].invariant,
        Invariant::NoRecoveryOverload,
        "the written scenario file fails without the draft"
    );
    assert!(
        check_run(&smallest, shrunk.seed, &production_node).is_clean(),
        "it passes without the mutant"
    );
}

#[test]
fn load_factor_multiplies_loads() {
    let offered = |overrides: &[String]| {
        let draft = Draft::read(&shipped_scenario("base"), overrides).unwrap();
        let scenario = draft.scenario(1).unwrap();
        let summary = measure(&scenario, 1, &production_node).summary();
        let classes = summary.classes.iter();
        classes.map(|class| class.counts.offered).sum::<u64>() as f64
    };
    let ratio = offered(&["load_times=2".to_owned()]) / offered(&[]);
    assert!((1.9..2.1).contains(&ratio), "{ratio}");
}

#[test]
fn page_of_a_run_is_self_contained_and_complete() {
    let folder = TempFolder::new("page");
    let title = "Sums < 3 & \"more\"";
    let overrides = [format!("title={}", title.replace('"', "'"))];
    let scenario = Scenario::read(&shipped_scenario("mixed"), &overrides, 2).unwrap();
    let mutant = |incarnation: Incarnation| {
        Mutation::ReportsRejectionsTwice.node(incarnation.settings, incarnation.seed)
    };
    for (name, make_node) in [
        ("mutant", &mutant as NodeFactory<'_>),
        ("production", &production_node),
    ] {
        let run = measure(&scenario, 2, make_node);
        assert_eq!(run.verdict.is_clean(), name == "production");
        let verdict_text = match run.verdict.count {
            0 => "✓ All invariants hold".to_owned(),
            count => format!("✗ {count} violations"),
        };
        let out = folder.0.join(name);
        run.metrics.write(&out).unwrap();
        let report = RunReport::of(&scenario, 2, &run);
        report.write(&out).unwrap();
        let page = of_folder(&out).unwrap();
        assert_eq!(
            page,
            fs::read_to_string(out.join("report.html")).unwrap(),
            "the page rendered from the stored run is the same"
        );
        assert!(
            page.contains(&verdict_text)
                && page.contains("Sums &lt; 3 &amp;")
                && !page.contains("<script"),
            "{verdict_text}"
        );
        assert_has_only_inline_graphics(&page);
        assert!(
            page.contains("instance 1 crashes") && page.contains("hospital resets connections")
        );
        let log = fs::read_to_string(out.join("latency.hlog")).unwrap();
        assert_eq!(log.matches("Tag=").count(), scenario.classes.len());
    }
}

fn assert_has_only_inline_graphics(page: &str) {
    let graphics = page.matches("<svg").count();
    assert!(graphics > 5 && graphics == page.matches("</svg>").count());
    let links: Vec<_> = page
        .match_indices("http")
        .map(|(at, _)| &page[at..at + 26])
        .collect();
    assert!(
        links
            .iter()
            .all(|link| *link == "http://www.w3.org/2000/svg"),
        "{links:?}"
    );
}

#[test]
fn page_of_an_experiment_counts_its_runs() {
    let folder = TempFolder::new("experiment-page");
    let out = folder.0.join("grid");
    let experiment = twelve_cell_experiment(&folder, "\"couriers.slots=1\"");
    let run = experiment.run(&out, 0).unwrap();
    let page = of_folder(&out).unwrap();
    assert!(page.contains(&format!(
        "{} runs: 2 scenarios, 3 seeds, 2 variants",
        run.results.len()
    )));
    let error = of_folder(&folder.0).unwrap_err().to_string();
    assert!(error.contains("neither a play nor an experiment"));
}
