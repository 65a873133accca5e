//! Scenario files for experiments on processes.

use super::ProcessSettings;
use serde::Deserialize;
use std::io;
use std::path::{Path, PathBuf};

/// The most members of a group.
const MAX_MEMBERS: usize = 40;
/// The most voters of a group.
const MAX_VOTERS: usize = 9;

/// A scenario for processes, as its file has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessScenario {
    /// What it is about.
    pub title: String,
    /// The processes, the load and the faults.
    pub processes: ProcessSettings,
}

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is not a scenario or schedule.
    #[error("{}: {}", path.display(), source.to_string().trim_end())]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line, and why.
        source: Box<toml::de::Error>,
    },
    /// A value is out of its range.
    #[error("{}: processes: {problem}", path.display())]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// The range.
        problem: &'static str,
    },
}

impl ProcessScenario {
    /// Reads a scenario's file.
    ///
    /// # Errors
    /// The file cannot be read, is not a scenario, or has a value out of its range.
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
    /// Reads a stored schedule.
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
