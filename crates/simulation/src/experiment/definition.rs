//! Reads the file that defines an experiment.

use super::error::{DefinitionProblem, ExperimentError, ProblemKind};
use crate::scenario::line_number;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fs;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// Maximum number of cells in an experiment.
const MAX_CELLS: usize = 1_000_000;
/// Name of the only variant of an experiment that defines none.
const DEFAULT_VARIANT: &str = "as it is";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    #[serde(default)]
    title: String,
    scenarios: Vec<Spanned<PathBuf>>,
    seeds: Spanned<SeedsForm>,
    #[serde(default, rename = "variant")]
    variants: Vec<Spanned<VariantForm>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SeedsForm {
    from: u64,
    to: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct VariantForm {
    name: String,
    #[serde(default, rename = "set")]
    overrides: Vec<String>,
    program: Option<PathBuf>,
}

/// A variant of an experiment: overrides of scenario values, or another build of the program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Variant {
    /// Name of the variant.
    pub name: String,
    /// Values that take precedence over those of the scenario files, as `path.to.value=value`.
    pub overrides: Vec<String>,
    /// Another build of this program that plays the cells; `None` for this build.
    pub program: Option<PathBuf>,
}

/// The definition of an experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Title of the experiment; may be empty.
    pub title: String,
    /// Paths of the scenario files.
    pub scenarios: Vec<PathBuf>,
    /// Seeds with which each scenario is played.
    pub seeds: RangeInclusive<u64>,
    /// Variants; at least one.
    pub variants: Vec<Variant>,
}

impl Experiment {
    /// Reads the file of an experiment. Paths in the file are relative to its folder.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or all problems of the file, by line.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = fs::read_to_string(path).map_err(|source| ExperimentError::File {
            path: path.to_owned(),
            source,
        })?;
        let mut reader = DefinitionReader {
            path,
            text: &text,
            problems: Vec::new(),
        };
        let experiment = reader.read();
        match experiment {
            Some(experiment) if reader.problems.is_empty() => Ok(experiment),
            _ => Err(ExperimentError::Definition(reader.problems)),
        }
    }
}

/// Returns the name of a scenario, which is the name of its file without the extension.
pub(super) fn scenario_name(path: &Path) -> String {
    path.file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

/// Reads the file of an experiment and collects its problems.
struct DefinitionReader<'t> {
    path: &'t Path,
    text: &'t str,
    problems: Vec<DefinitionProblem>,
}

impl DefinitionReader<'_> {
    fn read(&mut self) -> Option<Experiment> {
        let form: Form = match toml::from_str(self.text) {
            Ok(form) => form,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                let message = error.message().trim().to_owned();
                self.report(offset, ProblemKind::Syntax(message));
                return None;
            }
        };
        let seeds_offset = form.seeds.span().start;
        let seeds = form.seeds.into_inner();
        if seeds.from > seeds.to {
            self.report(seeds_offset, ProblemKind::EmptySeeds);
        }
        let scenarios = self.scenarios(form.scenarios);
        let variants = self.variants(form.variants);
        let seed_count = (seeds.to.saturating_sub(seeds.from) as usize).saturating_add(1);
        let cells = seed_count
            .saturating_mul(scenarios.len())
            .saturating_mul(variants.len());
        if cells > MAX_CELLS {
            self.report(seeds_offset, ProblemKind::TooManyCells { max: MAX_CELLS });
        }
        Some(Experiment {
            title: form.title,
            scenarios,
            seeds: seeds.from..=seeds.to,
            variants,
        })
    }

    fn scenarios(&mut self, forms: Vec<Spanned<PathBuf>>) -> Vec<PathBuf> {
        let mut names = BTreeSet::new();
        let mut scenarios = Vec::new();
        for form in forms {
            let offset = form.span().start;
            let path = self.folder().join(form.into_inner());
            let name = scenario_name(&path);
            if !names.insert(name.clone()) {
                self.report(offset, ProblemKind::DuplicateScenario(name));
            }
            scenarios.push(path);
        }
        if scenarios.is_empty() {
            self.report(0, ProblemKind::NoScenario);
        }
        scenarios
    }

    fn variants(&mut self, forms: Vec<Spanned<VariantForm>>) -> Vec<Variant> {
        let mut names = BTreeSet::new();
        let mut variants = Vec::new();
        for form in forms {
            let offset = form.span().start;
            let form = form.into_inner();
            if form.name.is_empty() || !names.insert(form.name.clone()) {
                self.report(offset, ProblemKind::DuplicateVariant);
            }
            let program = form.program.map(|program| self.folder().join(program));
            if let Some(missing) = program.as_ref().filter(|program| !program.is_file()) {
                self.report(offset, ProblemKind::NoProgram(missing.clone()));
            }
            variants.push(Variant {
                name: form.name,
                overrides: form.overrides,
                program,
            });
        }
        if variants.is_empty() {
            variants.push(Variant {
                name: DEFAULT_VARIANT.to_owned(),
                ..Variant::default()
            });
        }
        variants
    }

    fn folder(&self) -> &Path {
        self.path.parent().unwrap_or(Path::new("."))
    }

    fn report(&mut self, offset: usize, kind: ProblemKind) {
        self.problems.push(DefinitionProblem {
            path: self.path.to_owned(),
            line: line_number(self.text, offset),
            kind,
        });
    }
}
