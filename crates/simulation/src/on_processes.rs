//! The words of `lab` that play scenarios on processes.

use super::Processes;
use marblefall_simulation::rig::history::Promise;
use marblefall_simulation::rig::play::{play, shrink, Report};
use marblefall_simulation::rig::schedule::{Form, Schedule};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Whether a file is a scenario for processes.
pub fn is_for(path: &Path) -> bool {
    let text = fs::read_to_string(path).unwrap_or_default();
    text.lines().any(|line| line.trim() == "[processes]")
}

impl Processes {
    fn program(&self) -> Result<PathBuf, String> {
        let beside = || Some(std::env::current_exe().ok()?.with_file_name("marblefall"));
        let program = self
            .program
            .clone()
            .or_else(beside)
            .filter(|program| program.is_file());
        program.ok_or_else(|| {
            "the program marblefall is not beside this one: say --program FILE".to_owned()
        })
    }

    /// Plays a schedule in a folder that is removed, or kept where that was asked for.
    fn play(&self, schedule: &Schedule) -> Result<Report, String> {
        let own = std::env::temp_dir().join(format!("marblefall-rig-{}", std::process::id()));
        let folder = self.keep.clone().unwrap_or_else(|| own.clone());
        let report = play(schedule, &self.program()?, &folder).map_err(|fault| fault.to_string());
        if self.keep.is_none() {
            let _ = fs::remove_dir_all(own);
        }
        report
    }
}

fn drawn(scenario: &Path, seed: u64, written: Option<&Path>) -> Result<(String, Schedule), String> {
    let form = Form::read(scenario)?;
    let Some(path) = written else {
        return Ok((form.title, Schedule::draw(&form.processes, seed)));
    };
    let at = |why: String| format!("{}: {why}", path.display());
    let text = fs::read_to_string(path).map_err(|error| at(error.to_string()))?;
    let schedule =
        toml::from_str(&text).map_err(|error| at(error.to_string().trim_end().to_owned()))?;
    Ok((form.title, schedule))
}

fn told(report: &Report) -> String {
    let ((answers, again), (applied, in_force, withdrawn)) = (report.answers, report.changes);
    format!(
        "{} acts, {answers} answers of which {again} said to come again; {applied} changes applied, {in_force} told in \
         force, {withdrawn} withdrawn",
        report.acts
    )
}

/// Plays a scenario, or a schedule that was written out, and judges it.
pub fn played(
    scenario: &Path,
    seed: u64,
    written: Option<&Path>,
    with: &Processes,
) -> Result<bool, String> {
    let (title, schedule) = drawn(scenario, seed, written)?;
    let report = with.play(&schedule)?;
    println!(
        "{title}\n\nseed {}, {} steps: {}",
        schedule.seed,
        schedule.steps.len(),
        told(&report)
    );
    if report.breaches.is_empty() {
        println!("all promises kept");
        return Ok(true);
    }
    println!("\n{}\n", report.trace.join("\n"));
    report
        .breaches
        .iter()
        .for_each(|breach| println!("{breach}"));
    println!(
        "\nto play it again: lab play {} --on processes --seed {}",
        scenario.display(),
        schedule.seed
    );
    Ok(false)
}

/// Plays seeds one after the other until one breaks a promise, and shrinks its schedule.
pub fn hunted(
    scenario: &Path,
    seeds: u64,
    out: Option<&Path>,
    runs: u32,
    with: &Processes,
    within: u64,
) -> Result<bool, String> {
    let (title, _) = drawn(scenario, 1, None)?;
    let (until, mut played) = (Instant::now() + Duration::from_secs(within), 0);
    let (mut steps, mut acts, mut changes) = (0, 0, 0);
    println!("{title}");
    for seed in (1..=seeds).take_while(|_| Instant::now() < until) {
        let (_, schedule) = drawn(scenario, seed, None)?;
        let report = with
            .play(&schedule)
            .map_err(|why| format!("seed {seed}: {why}"))?;
        (played, steps) = (played + 1, steps + schedule.steps.len());
        (acts, changes) = (acts + report.acts, changes + report.changes.1);
        let Some(breach) = report.breaches.first() else {
            continue;
        };
        println!("seed {seed}: {breach}");
        let promise: Promise = breach.promise;
        let least = shrink(&schedule, promise, runs, |less| {
            let broken = with
                .play(less)
                .map(|report| report.breaches)
                .unwrap_or_default();
            broken.into_iter().map(|breach| breach.promise).collect()
        });
        println!(
            "{} steps of {} are left that still break it",
            least.steps.len(),
            schedule.steps.len()
        );
        if let Some(path) = out {
            let text = toml::to_string(&least).map_err(|error| error.to_string())?;
            fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
            println!(
                "play them: lab play {} --on processes --schedule {}",
                scenario.display(),
                path.display()
            );
        }
        return Ok(false);
    }
    println!(
        "{played} seeds, {steps} steps, {acts} acts, {changes} changes told in force: all promises kept"
    );
    Ok(true)
}
