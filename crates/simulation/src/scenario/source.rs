//! Reading a scenario's files: what they include, how tables are merged, and where each value stands.

use super::form::Form;
use super::reader::Reader;
use super::{Scenario, Unfit};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

/// Includes within includes, at most.
const DEEPEST: usize = 8;

/// Files as they are read, and where each value stands.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    pub(super) lines: BTreeMap<String, String>,
}

impl Source {
    pub(super) fn load(&mut self, path: &Path, depth: usize) -> Result<Table, Unfit> {
        let one = |why: String| Unfit(vec![why]);
        if depth > DEEPEST {
            return Err(one(format!(
                "{}: included {DEEPEST} deep, or by itself",
                path.display()
            )));
        }
        let text = std::fs::read_to_string(path)
            .map_err(|error| one(format!("{}: {error}", path.display())))?;
        let (mut own, places) = read_alone(&path.display().to_string(), &text)?;
        let mut table = Table::new();
        for include in includes(&own).map_err(|why| one(format!("{}: {why}", path.display())))? {
            let beside = path.parent().unwrap_or(Path::new(".")).join(include);
            merge(&mut table, self.load(&beside, depth + 1)?);
        }
        // A trace is beside the file that names it.
        for load in own
            .get_mut("load")
            .and_then(Value::as_array_mut)
            .into_iter()
            .flatten()
        {
            if let Some(Value::String(trace)) = load.get_mut("trace") {
                *trace = path
                    .parent()
                    .unwrap_or(Path::new("."))
                    .join(&*trace)
                    .display()
                    .to_string();
            }
        }
        // After those of what it includes: the last word on a value is where its place is.
        self.lines.extend(places);
        merge(&mut table, own);
        Ok(table)
    }

    pub(super) fn finish(&self, table: Table, seed: u64) -> Result<Scenario, Unfit> {
        let form: Form = table
            .try_into()
            .map_err(|error: toml::de::Error| Unfit(vec![error.message().to_owned()]))?;
        Reader::new(&self.lines, seed).read(form)
    }
}

/// Reads one file by itself, so that its faults of form have their line; with where each of its values stands.
pub(super) fn read_alone(
    name: &str,
    text: &str,
) -> Result<(Table, BTreeMap<String, String>), Unfit> {
    let at = |span: Option<std::ops::Range<usize>>| match span {
        Some(span) => format!("{name}:{}", line(text, span.start)),
        None => name.to_owned(),
    };
    let fault = |error: toml::de::Error| {
        Unfit(vec![format!(
            "{}: {}",
            at(error.span()),
            error.message().trim()
        )])
    };
    toml::from_str::<Form>(text).map_err(fault)?;
    let places = DeTable::parse(text).map_err(fault)?;
    let mut lines = BTreeMap::new();
    note(places.get_ref(), "", &mut |path, start| {
        lines.insert(path, format!("{name}:{}", line(text, start)));
    });
    Ok((text.parse::<Table>().map_err(fault)?, lines))
}

/// The line, from 1 on, in which a byte of a text stands.
pub(crate) fn line(text: &str, start: usize) -> usize {
    text.as_bytes()[..start.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

fn includes(table: &Table) -> Result<Vec<PathBuf>, String> {
    let path = |value: &Value| {
        value
            .as_str()
            .map(PathBuf::from)
            .ok_or("include is a path or a list of them".to_owned())
    };
    match table.get("include") {
        None => Ok(Vec::new()),
        Some(Value::Array(all)) => all.iter().map(path).collect(),
        Some(one) => Ok(vec![path(one)?]),
    }
}

fn note(table: &DeTable<'_>, prefix: &str, say: &mut dyn FnMut(String, usize)) {
    for (key, value) in table {
        let path = if prefix.is_empty() {
            key.get_ref().to_string()
        } else {
            format!("{prefix}.{}", key.get_ref())
        };
        match value.get_ref() {
            DeValue::Table(inner) => note(inner, &path, say),
            DeValue::Array(all) => {
                for (place, one) in all.iter().enumerate() {
                    say(format!("{path}.{place}"), one.span().start);
                    if let DeValue::Table(inner) = one.get_ref() {
                        note(inner, &format!("{path}.{place}"), say);
                    }
                }
            }
            _ => {}
        }
        say(path, key.span().start);
    }
}

/// Puts one file's table over another's: tables are merged, lists of tables grow, all else is replaced.
fn merge(under: &mut Table, over: Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(Value::Table(under)), Value::Table(over)) => merge(under, over),
            (Some(Value::Array(under)), Value::Array(over)) if over.iter().all(Value::is_table) => {
                under.extend(over)
            }
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

pub(super) fn set_value(table: &mut Table, set: &str) -> Result<(), String> {
    let (path, value) = set.split_once('=').ok_or("is not NAME=VALUE")?;
    // A word without quotes is a text.
    let value = format!("value = {value}")
        .parse::<Table>()
        .ok()
        .and_then(|mut one| one.remove("value"));
    let value = value.unwrap_or_else(|| Value::String(set[path.len() + 1..].to_owned()));
    let mut keys: Vec<&str> = path.trim().split('.').collect();
    let last = keys
        .pop()
        .filter(|last| !last.is_empty())
        .ok_or("names nothing")?;
    let mut at = table;
    for key in keys {
        let next = at.entry(key).or_insert_with(|| Value::Table(Table::new()));
        at = match next {
            Value::Table(next) => next,
            Value::Array(_) => return Err(format!("{key} is a list: say what is meant in a file")),
            _ => return Err(format!("{key} is a value, and holds nothing")),
        };
    }
    at.insert(last.to_owned(), value);
    Ok(())
}
