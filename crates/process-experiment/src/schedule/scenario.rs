//! Scenario files of experiments on processes.

use super::ProcessSettings;
use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};

/// Maximum number of members of a group.
const MAX_MEMBERS: usize = 40;
/// Maximum number of voters of a group.
const MAX_VOTERS: usize = 9;

/// A scenario for processes, as written in its file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessScenario {
    /// A short description of the scenario.
    pub title: String,
    /// The processes, the load and the kinds of faults.
    pub processes: ProcessSettings,
}

/// An error of reading a scenario or a schedule.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not a scenario or schedule.
    #[error("{}: {}", path.display(), source.to_string().trim_end())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The position and the cause.
        source: Box<toml::de::Error>,
    },
    /// A setting is out of range.
    #[error("{}: processes: {problem}", path.display())]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The allowed range.
        problem: &'static str,
    },
}

impl ProcessScenario {
    /// Reads a scenario from a file and checks the ranges of its settings.
    ///
    /// # Errors
    /// The file cannot be read, is not a scenario, or has a setting out of range.
    pub fn read(path: &Path) -> Result<ProcessScenario, ScenarioError> {
        let scenario: ProcessScenario = read_toml(path)?;
        match scenario.processes.problem() {
            None => Ok(scenario),
            Some(problem) => Err(ScenarioError::OutOfRange {
                path: path.to_owned(),
                problem,
            }),
        }
    }
}

impl super::Schedule {
    /// Reads a schedule from a file. The ranges of its settings are not checked.
    ///
    /// # Errors
    /// The file cannot be read, or is not a schedule.
    pub fn read(path: &Path) -> Result<super::Schedule, ScenarioError> {
        read_toml(path)
    }
}

fn read_toml<T: for<'de> Deserialize<'de>>(path: &Path) -> Result<T, ScenarioError> {
    let text = std::fs::read_to_string(path).map_err(|source| ScenarioError::Read {
        path: path.to_owned(),
        source,
    })?;
    toml::from_str(&text).map_err(|source| ScenarioError::Parse {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

impl ProcessSettings {
    /// Returns the allowed range of a setting that is out of range, if any.
    fn problem(&self) -> Option<&'static str> {
        if !(2..=MAX_MEMBERS).contains(&self.members)
            || self.voters == 0
            || self.voters > self.members.min(MAX_VOTERS)
        {
            return Some("members are 2 to 40, and 1 to 9 of them vote");
        }
        if !["stop", "serve"].contains(&self.partition_policy.as_str()) {
            return Some("on_cut is \"stop\" or \"serve\"");
        }
        if !(1.0..=7200.0).contains(&self.seconds) || self.clients > 64 {
            return Some("seconds are 1 to 7200, and clients 64 at most");
        }
        if self.change_interval_ms < 50 || self.fault_interval_ms < 50 || self.max_fault_ms < 10 {
            return Some("change_every_ms and fault_every_ms are 50 at least, longest_ms 10");
        }
        (self.lease_ms < 200 || self.lease_ms > 3000).then_some("term_ms is 200 to 3000")
    }
}
