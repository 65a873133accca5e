//! Reads the files of a scenario, merges their tables, and records the line of each value.

use super::error::{OverrideError, ScenarioError, ScenarioProblem};
use super::form::Form;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

/// Maximum depth of includes.
const MAX_INCLUDE_DEPTH: usize = 8;

/// File and line of each value, by the path of the value.
#[derive(Clone, Debug, Default)]
pub(super) struct SourceLines(BTreeMap<String, String>);

impl SourceLines {
    /// Returns the file and line of a value, or of the innermost enclosing table that is in a file.
    pub(super) fn location(&self, path: &str) -> Option<&str> {
        let mut ancestor = path;
        loop {
            if let Some(location) = self.0.get(ancestor) {
                return Some(location);
            }
            ancestor = ancestor.rsplit_once('.')?.0;
        }
    }

    /// Reads a file and the files it includes into one table.
    pub(super) fn load(&mut self, path: &Path) -> Result<Table, ScenarioError> {
        self.load_at_depth(path, 0)
    }

    fn load_at_depth(&mut self, path: &Path, depth: usize) -> Result<Table, ScenarioError> {
        if depth > MAX_INCLUDE_DEPTH {
            let problem = ScenarioProblem::IncludeTooDeep {
                path: path.to_owned(),
                max: MAX_INCLUDE_DEPTH,
            };
            return Err(problem.into());
        }
        let text = std::fs::read_to_string(path).map_err(|source| ScenarioProblem::Read {
            path: path.to_owned(),
            source,
        })?;
        let (mut own, lines) = parse_file(&path.display().to_string(), &text)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut table = Table::new();
        let includes = includes(&own).ok_or_else(|| ScenarioProblem::InvalidInclude {
            path: path.to_owned(),
        })?;
        for include in includes {
            let included = self.load_at_depth(&folder.join(include), depth + 1)?;
            merge(&mut table, included);
        }
        resolve_traces(&mut own, folder);
        // Inserted after the lines of the included files, as the values of this file take precedence.
        self.0.extend(lines.0);
        merge(&mut table, own);
        Ok(table)
    }
}

/// Parses one file before it is merged, so that syntax errors are reported with their line.
pub(super) fn parse_file(name: &str, text: &str) -> Result<(Table, SourceLines), ScenarioError> {
    let location = |span: Option<Range<usize>>| match span {
        Some(span) => format!("{name}:{}", line_number(text, span.start)),
        None => name.to_owned(),
    };
    let syntax = |error: toml::de::Error| ScenarioProblem::Syntax {
        location: location(error.span()),
        message: error.message().trim().to_owned(),
    };
    toml::from_str::<Form>(text).map_err(syntax)?;
    let spans = DeTable::parse(text).map_err(syntax)?;
    let mut lines = BTreeMap::new();
    visit_values(spans.get_ref(), "", &mut |path, start| {
        lines.insert(path, format!("{name}:{}", line_number(text, start)));
    });
    let table = text.parse::<Table>().map_err(syntax)?;
    Ok((table, SourceLines(lines)))
}

/// Returns the line number, from 1, of a byte offset in a text.
pub(crate) fn line_number(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Returns the files that a table includes; `None` if the value of `include` has the wrong type.
fn includes(table: &Table) -> Option<Vec<PathBuf>> {
    let path = |value: &Value| value.as_str().map(PathBuf::from);
    match table.get("include") {
        None => Some(Vec::new()),
        Some(Value::Array(all)) => all.iter().map(path).collect(),
        Some(value) => Some(vec![path(value)?]),
    }
}

/// Resolves the paths of traces relative to the folder of the file that names them.
fn resolve_traces(table: &mut Table, folder: &Path) {
    let loads = table.get_mut("load").and_then(Value::as_array_mut);
    for load in loads.into_iter().flatten() {
        if let Some(Value::String(trace)) = load.get_mut("trace") {
            *trace = folder.join(&*trace).display().to_string();
        }
    }
}

/// Calls `visit` with the path and byte offset of each value in a table.
fn visit_values(table: &DeTable<'_>, prefix: &str, visit: &mut dyn FnMut(String, usize)) {
    for (key, value) in table {
        let path = if prefix.is_empty() {
            key.get_ref().to_string()
        } else {
            format!("{prefix}.{}", key.get_ref())
        };
        match value.get_ref() {
            DeValue::Table(inner) => visit_values(inner, &path, visit),
            DeValue::Array(all) => {
                for (index, item) in all.iter().enumerate() {
                    let item_path = format!("{path}.{index}");
                    if let DeValue::Table(inner) = item.get_ref() {
                        visit_values(inner, &item_path, visit);
                    }
                    visit(item_path, item.span().start);
                }
            }
            _ => {}
        }
        visit(path, key.span().start);
    }
}

/// Merges `overlay` into `target`: tables are merged, lists of tables are concatenated, and other values are replaced.
fn merge(target: &mut Table, overlay: Table) {
    for (key, value) in overlay {
        match (target.get_mut(&key), value) {
            (Some(Value::Table(target)), Value::Table(overlay)) => merge(target, overlay),
            (Some(Value::Array(target)), Value::Array(overlay))
                if overlay.iter().all(Value::is_table) =>
            {
                target.extend(overlay);
            }
            (_, value) => {
                target.insert(key, value);
            }
        }
    }
}

/// Sets a value given as `path.to.value=value`.
pub(super) fn set_value(table: &mut Table, argument: &str) -> Result<(), OverrideError> {
    let (path, text) = argument.split_once('=').ok_or(OverrideError::NoValue)?;
    let mut keys: Vec<&str> = path.trim().split('.').collect();
    let last = keys.pop().filter(|last| !last.is_empty());
    let last = last.ok_or(OverrideError::NoName)?;
    let mut target = table;
    for key in keys {
        let next = target
            .entry(key)
            .or_insert_with(|| Value::Table(Table::new()));
        target = match next {
            Value::Table(next) => next,
            Value::Array(_) => return Err(OverrideError::List(key.to_owned())),
            _ => return Err(OverrideError::NotATable(key.to_owned())),
        };
    }
    target.insert(last.to_owned(), parse_value(text));
    Ok(())
}

/// Parses a TOML value. A text that is not valid TOML is taken as an unquoted string.
fn parse_value(text: &str) -> Value {
    let table = format!("value = {text}").parse::<Table>().ok();
    let value = table.and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.to_owned()))
}
