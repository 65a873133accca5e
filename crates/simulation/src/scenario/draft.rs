//! Scenarios that are read and merged, before a seed has drawn from their ranges.

use super::error::{ScenarioError, ScenarioProblem};
use super::form::Form;
use super::model::Scenario;
use super::reader::ScenarioReader;
use super::source::{parse_file, set_value, SourceLines};
use std::path::Path;
use toml::Table;

/// The name of a text that is not in a file.
const TEXT_NAME: &str = "scenario";

/// A scenario that is read and merged, before a seed has drawn from its ranges.
#[derive(Clone, Debug)]
pub struct Draft {
    lines: SourceLines,
    table: Table,
}

impl Draft {
    /// Reads a file and the files it includes. Each override is `path.to.value=value`.
    ///
    /// # Errors
    /// What is wrong in form, with file and line.
    pub fn read(path: &Path, overrides: &[String]) -> Result<Draft, ScenarioError> {
        let mut lines = SourceLines::default();
        let mut table = lines.load(path)?;
        table.remove("include");
        Draft { lines, table }.set(overrides)
    }

    /// Reads a text that includes no file.
    fn parse(text: &str) -> Result<Draft, ScenarioError> {
        let (table, lines) = parse_file(TEXT_NAME, text)?;
        if table.contains_key("include") {
            return Err(ScenarioProblem::IncludeInText.into());
        }
        Ok(Draft { lines, table })
    }

    /// The same draft with further overrides.
    ///
    /// # Errors
    /// If an override cannot be used.
    pub fn set(mut self, overrides: &[String]) -> Result<Draft, ScenarioError> {
        for argument in overrides {
            set_value(&mut self.table, argument).map_err(|source| ScenarioProblem::Override {
                argument: argument.clone(),
                source,
            })?;
        }
        Ok(self)
    }

    /// The scenario for a seed.
    ///
    /// # Errors
    /// All values that are wrong, with file and line.
    pub fn scenario(&self, seed: u64) -> Result<Scenario, ScenarioError> {
        let table = self.table.clone();
        let form: Form = table.try_into().map_err(|error: toml::de::Error| {
            ScenarioProblem::Merged(error.message().to_owned())
        })?;
        ScenarioReader::new(&self.lines, seed).read(form)
    }

    /// The merged table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The same draft with another table.
    #[must_use]
    pub fn with(&self, table: Table) -> Draft {
        Draft {
            lines: self.lines.clone(),
            table,
        }
    }
}

impl Scenario {
    /// Reads a file and the files it includes, for a seed. Each override is `path.to.value=value`.
    ///
    /// # Errors
    /// Everything that is wrong, with file and line.
    pub fn read(path: &Path, overrides: &[String], seed: u64) -> Result<Scenario, ScenarioError> {
        Draft::read(path, overrides)?.scenario(seed)
    }

    /// Reads a text that includes no file, for a seed.
    ///
    /// # Errors
    /// Everything that is wrong, with the line under the name `scenario`.
    pub fn parse(text: &str, overrides: &[String], seed: u64) -> Result<Scenario, ScenarioError> {
        Draft::parse(text)?.set(overrides)?.scenario(seed)
    }
}
