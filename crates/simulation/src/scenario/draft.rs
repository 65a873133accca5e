//! Scenarios that have been read and merged, before values are drawn from their ranges.

use super::error::{ScenarioError, ScenarioProblem};
use super::form::Form;
use super::model::Scenario;
use super::reader::ScenarioReader;
use super::source::{parse_file, set_value, SourceLines};
use std::path::Path;
use toml::Table;

/// Name by which errors refer to a text that is not in a file.
const TEXT_NAME: &str = "scenario";

/// A scenario that has been read and merged, before values are drawn from its ranges.
#[derive(Clone, Debug)]
pub struct Draft {
    lines: SourceLines,
    table: Table,
}

impl Draft {
    /// Reads a file and the files it includes. Each override is `path.to.value=value`.
    ///
    /// # Errors
    /// Returns every error of syntax, with file and line.
    pub fn read(path: &Path, overrides: &[String]) -> Result<Draft, ScenarioError> {
        let mut lines = SourceLines::default();
        let mut table = lines.load(path)?;
        table.remove("include");
        Draft { lines, table }.set(overrides)
    }

    /// Parses a text that does not include files.
    fn parse(text: &str) -> Result<Draft, ScenarioError> {
        let (table, lines) = parse_file(TEXT_NAME, text)?;
        if table.contains_key("include") {
            return Err(ScenarioProblem::IncludeInText.into());
        }
        Ok(Draft { lines, table })
    }

    /// Returns the same draft with further overrides.
    ///
    /// # Errors
    /// Returns an error if an override cannot be used.
    pub fn set(mut self, overrides: &[String]) -> Result<Draft, ScenarioError> {
        for argument in overrides {
            set_value(&mut self.table, argument).map_err(|source| ScenarioProblem::Override {
                argument: argument.clone(),
                source,
            })?;
        }
        Ok(self)
    }

    /// Returns the scenario for a seed.
    ///
    /// # Errors
    /// Returns every invalid value, with file and line.
    pub fn scenario(&self, seed: u64) -> Result<Scenario, ScenarioError> {
        let table = self.table.clone();
        let form: Form = table.try_into().map_err(|error: toml::de::Error| {
            ScenarioProblem::Merged(error.message().to_owned())
        })?;
        ScenarioReader::new(&self.lines, seed).read(form)
    }

    /// Returns the merged table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the same draft with another table.
    #[must_use]
    pub fn with_table(&self, table: Table) -> Draft {
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
    /// Returns every problem, with file and line.
    pub fn read(path: &Path, overrides: &[String], seed: u64) -> Result<Scenario, ScenarioError> {
        Draft::read(path, overrides)?.scenario(seed)
    }

    /// Parses a text that does not include files, for a seed.
    ///
    /// # Errors
    /// Returns every problem with its line; `scenario` stands in place of the file name.
    pub fn parse(text: &str, overrides: &[String], seed: u64) -> Result<Scenario, ScenarioError> {
        Draft::parse(text)?.set(overrides)?.scenario(seed)
    }
}
