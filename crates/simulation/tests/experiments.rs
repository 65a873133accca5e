//! Experiments: cells that are played once, differences that are named only when there is one, loads that are borne,
//! scenarios that shrink, and pages.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use marblefall_simulation::capacity_search::{capacity, Bears, Search};
use marblefall_simulation::compare::{Comparison, Difference};
use marblefall_simulation::experiment::{self, Experiment, Record};
use marblefall_simulation::invariants::{judge, Rule};
use marblefall_simulation::metrics::{measure, Figures};
use marblefall_simulation::mutants::Fault;
use marblefall_simulation::report::{of_folder, Run};
use marblefall_simulation::scenario::{Draft, Scenario};
use marblefall_simulation::seed_search::{hunt, shrink, text, Failing};
use marblefall_simulation::simulation::{in_service, Life};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::fs;
use std::path::{Path, PathBuf};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("marblefall-lab-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        fs::write(self.0.join(name), text).unwrap();
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(name)
}

fn grid(folder: &Folder, sets: &str) -> Experiment {
    let (calm, crash) = (shipped("base.toml"), shipped("crash.toml"));
    let text = format!(
        "scenarios = [{calm:?}, {crash:?}]\nseeds = {{ from = 1, to = 3 }}\n[[variant]]\nname = \"plain\"\n\
         [[variant]]\nname = \"set\"\nset = [{sets}]\n"
    );
    Experiment::read(&folder.file("grid.toml", &text)).unwrap()
}

#[test]
fn an_experiment_plays_each_cell_once_also_over_an_interrupt_and_on_any_number_of_threads() {
    let folder = Folder::new("grid");
    let experiment = grid(&folder, "\"couriers.slots=4\"");
    let (one, four) = (folder.0.join("one"), folder.0.join("four"));
    let (records, played) = experiment.run(&one, 1).unwrap();
    assert_eq!((records.len(), played), (12, 12));
    assert_eq!(experiment.run(&four, 4).unwrap().1, 12);
    let csv = |folder: &Path| fs::read(folder.join("cells.csv")).unwrap();
    assert!(csv(&one) == csv(&four) && csv(&one).len() > 1000);

    // Interrupted in the middle of its sixth line.
    let cells = four.join("cells.jsonl");
    let whole = fs::read_to_string(&cells).unwrap();
    let cut = whole.match_indices('\n').nth(4).unwrap().0 + 30;
    fs::write(&cells, &whole[..cut]).unwrap();
    assert_eq!(experiment.run(&four, 2).unwrap().1, 7, "five were kept");
    assert!(csv(&four) == csv(&one) && fs::read_to_string(&cells).unwrap() == whole);
    assert_eq!(experiment.run(&four, 2).unwrap().1, 0);

    // What has changed is played again, and only that.
    assert_eq!(
        grid(&folder, "\"couriers.slots=5\"")
            .run(&four, 2)
            .unwrap()
            .1,
        6
    );
    assert!(csv(&four) != csv(&one));
}

#[test]
fn what_is_wrong_in_an_experiment_is_said_with_its_line() {
    let folder = Folder::new("faults");
    let good =
        "scenarios = [\"a.toml\"]\nseeds = { from = 1, to = 3 }\n[[variant]]\nname = \"a\"\n";
    let said = |text: &str| {
        let path = folder.file("it.toml", text);
        let experiment = Experiment::read(&path);
        experiment.map_or_else(|fault| fault.to_string(), |_| "sound".to_owned())
    };
    assert_eq!(said(good), "sound");
    for (text, line, why) in [
        (good.replace("to = 3", "to = 0"), 2, "from less to more"),
        (good.replace("to = 3", "to = 9999999999"), 2, "cells in all"),
        (
            good.replace("[\"a.toml\"]", "[\"a.toml\",\n\"x/a.toml\"]"),
            2,
            "twice",
        ),
        (good.replace("[\"a.toml\"]", "[]"), 1, "one at least"),
        (
            good.replace("name = \"a\"", "name = \"a\"\nprogram = \"none\""),
            3,
            "no such program",
        ),
        (
            format!("{good}[[variant]]\nname = \"a\"\n"),
            5,
            "a name of its own",
        ),
        (good.replace("seeds", "sedes"), 2, "sedes"),
    ] {
        let said = said(&text);
        assert!(
            said.contains(&format!("it.toml:{line}: ")) && said.contains(why),
            "{text}\n{said}"
        );
    }
    (0..good.len()).for_each(|cut| drop(said(&good[..cut])));
    assert!(
        experiment::read(&folder.0).unwrap().is_empty(),
        "a folder without cells"
    );
}

fn noise(rng: &mut Pcg64, mean: f64) -> Vec<f64> {
    // Twelve even draws are near enough to normal, with a deviation of 1.
    (0..20)
        .map(|_| mean + (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0)
        .collect()
}

#[test]
fn a_difference_is_named_only_when_there_is_one() {
    let mut rng = Pcg64::seed_from_u64(5);
    let named = |mean: f64, looks: usize, rng: &mut Pcg64| {
        (0..200)
            .filter(|_| Difference::of(&noise(rng, mean), looks).is_one())
            .count()
    };
    // The bootstrap's intervals are a little narrow with 20 pairs: some 7 % instead of 5 %.
    let chance = named(0.0, 1, &mut rng);
    assert!(
        (2..=24).contains(&chance),
        "{chance} of 200 where there is none"
    );
    assert!(
        named(0.0, 20, &mut rng) <= 4,
        "fewer where many are looked at"
    );
    assert!(named(1.5, 20, &mut rng) >= 195, "found where there is one");
    assert!(!Difference::of(&[1.0; 5], 1).is_one(), "too few pairs");
    let all = Difference::of(&noise(&mut rng, 0.3), 1);
    assert!(all.low < all.mean && all.mean < all.high);
    assert_eq!(Difference::of(&[], 1).pairs, 0);
}

#[test]
fn pairs_are_those_that_both_have() {
    let folder = Folder::new("pairs");
    let (records, _) = grid(&folder, "\"couriers.slots=1\"")
        .run(&folder.0.join("out"), 0)
        .unwrap();
    let of = |name: &str| {
        records
            .iter()
            .filter(|one| one.variant == name)
            .cloned()
            .collect::<Vec<Record>>()
    };
    let (plain, set) = (of("plain"), of("set"));
    let comparison = Comparison::of(&plain, &set[1..]);
    assert_eq!(
        comparison
            .kept
            .values()
            .map(|one| one.pairs)
            .collect::<Vec<_>>(),
        [2, 3]
    );
    let change =
        set[1].figures.kept - plain[1].figures.kept + set[2].figures.kept - plain[2].figures.kept;
    assert!((comparison.kept["base"].mean - change / 2.0).abs() < 1e-12);
    assert!(comparison.to_string().contains("too few pairs"));
}

#[test]
fn what_a_limit_bears_is_found() {
    let folder = Folder::new("capacity");
    // 20 a second are let through, 10 are brought: nine tenths are delivered up to 2.2 times the load.
    let text = "seconds = 120\n[couriers]\ncount = 1\n[class.status]\ngive_up_s = 4\n[partner.a]\nrate = 20\nlisted = 20\n\
                service_ms = 5\n[[load]]\nclass = \"status\"\npartner = \"a\"\nrate = 10\n";
    let draft = Draft::read(&folder.file("one.toml", text), &[]).unwrap();
    let search = Search {
        least: 0.5,
        most: 8.0,
        part: 0.9,
        seeds: 2,
        steps: 6,
    };
    let found = capacity(&draft, search).unwrap();
    let (Bears::Between(low, high), rate) = found["status"] else {
        panic!("{found:?}")
    };
    assert!(
        1.7 < low && high < 2.4 && high / low < 1.1,
        "{low} to {high}"
    );
    assert!((rate / low - 10.0).abs() < 0.5, "{rate}");
    let beyond = |least, most| {
        capacity(
            &draft,
            Search {
                least,
                most,
                ..search
            },
        )
        .unwrap()["status"]
            .0
    };
    assert_eq!(
        (beyond(4.0, 8.0), beyond(0.5, 1.0)),
        (Bears::Less, Bears::More)
    );
}

#[test]
fn the_worst_seed_is_found_and_its_scenario_shrinks_to_what_fails_still() {
    let folder = Folder::new("hunt");
    let draft = Draft::read(&shipped("blackout.toml"), &[]).unwrap();
    let faulty = |life: Life| Fault::KnowsNoRamp.courier(life.settings, life.seed);
    let found = hunt(&draft, 1..=8, &faulty).unwrap();
    assert_eq!((found.len(), found[0].broke), (8, Some(Rule::Toppling)));
    let sound = hunt(&draft, 1..=8, &in_service).unwrap();
    assert!(sound.iter().all(|prey| prey.broke.is_none()));
    assert!(
        sound
            .windows(2)
            .all(|two| two[0].figures.kept <= two[1].figures.kept),
        "the worst first"
    );

    let shrunk = shrink(
        &draft,
        found[0].seed,
        Failing::Breaks(Rule::Toppling),
        400,
        &faulty,
    );
    assert!(shrunk.runs <= 400);
    let path = folder.file("least.toml", &text(&shrunk).unwrap());
    let (least, whole) = (
        Scenario::read(&path, &[], shrunk.seed).unwrap(),
        draft.scenario(1).unwrap(),
    );
    assert!(
        least.loads.len() < whole.loads.len() && least.partners.len() < whole.partners.len(),
        "{least:?}"
    );
    assert!(least.seconds <= whole.seconds && least.classes.len() < whole.classes.len());
    let verdict = judge(&least, shrunk.seed, &faulty);
    assert_eq!(
        verdict.breaches[0].rule,
        Rule::Toppling,
        "the file fails by itself"
    );
    assert!(
        judge(&least, shrunk.seed, &in_service).is_clean(),
        "and is the fault's doing"
    );
}

#[test]
fn loads_are_multiplied() {
    let taken = |sets: &[String]| {
        let scenario = Draft::read(&shipped("base.toml"), sets)
            .unwrap()
            .scenario(1)
            .unwrap();
        let (tally, verdict) = measure(&scenario, 1, &in_service);
        Figures::of(&tally, &verdict)
            .classes
            .iter()
            .map(|class| class.offered)
            .sum::<u64>() as f64
    };
    let ratio = taken(&["load_times=2".to_owned()]) / taken(&[]);
    assert!((1.9..2.1).contains(&ratio), "{ratio}");
}

#[test]
fn a_page_needs_nothing_else_and_says_what_was_found() {
    let folder = Folder::new("page");
    let title = "Sums < 3 & \"more\"";
    let sets = [format!("title={}", title.replace('"', "'"))];
    let scenario = Scenario::read(&shipped("mixed.toml"), &sets, 2).unwrap();
    let faulty = |life: Life| Fault::EndsTwice.courier(life.settings, life.seed);
    for (make, word) in [
        (&faulty as &dyn Fn(_) -> _, "breaches of rules"),
        (&in_service, "All rules kept"),
    ] {
        let (tally, verdict) = measure(&scenario, 2, make);
        let out = folder.0.join(word.len().to_string());
        tally.write(&out).unwrap();
        Run::of(&scenario, 2, &tally, &verdict).write(&out).unwrap();
        let page = of_folder(&out).unwrap();
        assert_eq!(
            page,
            fs::read_to_string(out.join("report.html")).unwrap(),
            "the same again from what is kept"
        );
        assert!(
            page.contains(word) && page.contains("Sums &lt; 3 &amp;") && !page.contains("<script"),
            "{word}"
        );
        assert!(
            page.matches("<svg").count() > 5
                && page.matches("<svg").count() == page.matches("</svg>").count()
        );
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
        assert!(page.contains("courier 1 dies") && page.contains("hospital breaks connections"));
        let log = fs::read_to_string(out.join("latency.hlog")).unwrap();
        assert_eq!(log.matches("Tag=").count(), scenario.classes.len());
    }
    let (records, _) = grid(&folder, "\"couriers.slots=1\"")
        .run(&folder.0.join("grid"), 0)
        .unwrap();
    let page = of_folder(&folder.0.join("grid")).unwrap();
    assert!(page.contains(&format!(
        "{} runs: 2 scenarios, 3 seeds, 2 variants",
        records.len()
    )));
    assert!(of_folder(&folder.0)
        .unwrap_err()
        .contains("neither a play nor an experiment"));
}
