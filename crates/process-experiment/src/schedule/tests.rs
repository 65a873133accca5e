//! Tests of schedules and of scenario files.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

fn settings() -> ProcessSettings {
    toml::from_str(
        "members = 5\nvoters = 3\non_cut = \"stop\"\nterm_ms = 600\nseconds = 20\nclients = 4\nrest_ms = 5\n\
         call_ms = 5\nchange_every_ms = 500\nfault_every_ms = 400\nlongest_ms = 1500\n\
         faults = [\"kill\", \"term\", \"stop\", \"cut\", \"one-way\", \"split\", \"flap\", \"slow\", \"cut-frames\",\
         \"lose-folder\", \"old-folder\", \"torn-folder\", \"full-disk\", \"kill-all\"]",
    )
    .unwrap()
}

#[test]
fn schedule_is_deterministic_and_round_trips_through_toml() {
    let drawn = Schedule::draw(&settings(), 7);
    assert_eq!(drawn, Schedule::draw(&settings(), 7));
    assert_ne!(drawn.steps, Schedule::draw(&settings(), 8).steps);
    assert!(drawn.steps.len() > 60 && drawn.steps.is_sorted_by_key(|step| step.at_ms));
    let text = toml::to_string(&drawn).unwrap();
    assert_eq!(toml::from_str::<Schedule>(&text).unwrap(), drawn);
    assert_eq!(drawn.without_steps(3, 5).steps.len(), drawn.steps.len() - 5);
}

#[test]
fn scenario_error_names_its_file_and_line() {
    let folder = std::env::temp_dir().join(format!("marblefall-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("bad.toml");
    let without_voters = ProcessSettings {
        voters: 0,
        ..settings()
    };
    let without_voters = toml::to_string(&without_voters).unwrap();
    let cases = [
        (
            "title = \"x\"\n[processes]\nmembers = 3\nvotres = 3\n".to_owned(),
            "line 4",
        ),
        (
            format!("title = \"x\"\n[processes]\n{without_voters}"),
            "1 to 9 of them vote",
        ),
    ];
    for (text, expected) in cases {
        std::fs::write(&path, text).unwrap();
        let error = ProcessScenario::read(&path).unwrap_err().to_string();
        assert!(
            error.contains("bad.toml") && error.contains(expected),
            "{error}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
