//! Shrinks a failing scenario: removes parts and reduces numbers while it still fails.

use super::{run, FailureCriterion, SyncNodeFactory};
use crate::scenario::Draft;
use std::cmp::Reverse;
use toml::{Table, Value};

/// Number of further seeds tried for each candidate, as removing a part changes all later draws.
const SEEDS_PER_CANDIDATE: u64 = 4;
/// Paths of the numbers that are reduced, with the factor of each reduction.
const REDUCED_NUMBERS: [(&[&str], f64); 3] = [
    (&["seconds"], 0.5),
    (&["seconds"], 0.8),
    (&["couriers", "count"], 0.5),
];
/// Factor by which the number of destinations in a group is reduced.
const DESTINATION_FACTOR: f64 = 0.5;
/// Keys that are never removed from a table.
const KEPT_KEYS: [&str; 4] = ["title", "seconds", "from", "to"];
/// Lists whose tables refer to a destination.
const DESTINATION_LISTS: [&str; 3] = ["load", "news", "partition"];

/// A smaller scenario that still fails.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// The scenario with all includes merged.
    pub draft: Draft,
    /// Seed with which the scenario fails.
    pub seed: u64,
    /// Number of runs played while shrinking.
    pub runs: u32,
}

impl Shrunk {
    /// Returns the scenario as the text of a file.
    ///
    /// # Errors
    /// Returns an error if the table cannot be written as TOML.
    pub fn text(&self) -> Result<String, toml::ser::Error> {
        let table = toml::to_string(self.draft.table())?;
        Ok(format!(
            "# Shrunk in {} runs; fails with seed {}.\n{table}",
            self.runs, self.seed
        ))
    }
}

/// Criterion of a failing run and maximum number of runs.
#[derive(Clone, Copy, Debug)]
pub struct ShrinkBudget {
    /// Criterion that a candidate must meet.
    pub criterion: FailureCriterion,
    /// Maximum number of runs.
    pub max_runs: u32,
}

/// Shrinks a scenario that fails with a seed until no smaller candidate fails or the runs are used up.
pub fn shrink(
    draft: &Draft,
    seed: u64,
    budget: ShrinkBudget,
    make_node: SyncNodeFactory<'_>,
) -> Shrunk {
    let mut smallest = Shrunk {
        draft: draft.clone(),
        seed,
        runs: 0,
    };
    while let Some(smaller) = smaller_failing(&mut smallest, budget, make_node) {
        smallest = smaller;
    }
    smallest
}

/// Returns the first candidate that still fails, or `None` if none does within the budget. Adds its runs to `current`.
fn smaller_failing(
    current: &mut Shrunk,
    budget: ShrinkBudget,
    make_node: SyncNodeFactory<'_>,
) -> Option<Shrunk> {
    for table in candidates(current.draft.table()) {
        let draft = current.draft.with_table(table);
        for seed in std::iter::once(current.seed).chain(1..=SEEDS_PER_CANDIDATE) {
            if current.runs >= budget.max_runs {
                return None;
            }
            // A candidate may be an invalid scenario, such as one without a class.
            let Ok(result) = run(&draft, seed, make_node) else {
                break;
            };
            current.runs += 1;
            if budget.criterion.is_met(&result) {
                return Some(Shrunk {
                    draft,
                    seed,
                    runs: current.runs,
                });
            }
        }
    }
    None
}

/// Returns smaller tables: first tables without one part, the largest part first, then tables with a smaller number.
fn candidates(table: &Table) -> Vec<Table> {
    let mut without_part: Vec<(usize, Table)> = Vec::new();
    let mut remove_part = |path: &[Step]| {
        let mut smaller = table.clone();
        if let Some(removed) = remove(&mut smaller, path) {
            without_part.push((size(&removed), smaller));
        }
    };
    visit_parts(
        &Value::Table(table.clone()),
        &mut Vec::new(),
        &mut remove_part,
    );
    without_part.sort_by_key(|(size, _)| Reverse(*size));
    let mut tables: Vec<Table> = without_part.into_iter().map(|(_, table)| table).collect();
    for name in destination_names(table) {
        tables.extend(without_destination(table, name));
    }
    for (path, factor) in REDUCED_NUMBERS {
        tables.extend(scaled(table, path, factor));
    }
    for name in destination_names(table) {
        tables.extend(scaled(
            table,
            &["partner", name, "count"],
            DESTINATION_FACTOR,
        ));
    }
    tables
}

fn destination_names(table: &Table) -> impl Iterator<Item = &String> {
    let destinations = table.get("partner").and_then(Value::as_table);
    destinations.into_iter().flat_map(Table::keys)
}

/// One step of the path to a part of a table.
enum Step {
    Key(String),
    Index(usize),
}

/// Calls `visit` with the path of each part that can be removed.
fn visit_parts(value: &Value, path: &mut Vec<Step>, visit: &mut dyn FnMut(&[Step])) {
    let mut descend = |step: Step, inner: &Value, path: &mut Vec<Step>| {
        path.push(step);
        visit(path);
        visit_parts(inner, path, visit);
        path.pop();
    };
    match value {
        Value::Table(table) => {
            let removable = |key: &str| !KEPT_KEYS.contains(&key);
            for (key, inner) in table.iter().filter(|(key, _)| removable(key)) {
                descend(Step::Key(key.clone()), inner, path);
            }
        }
        Value::Array(all) => {
            for (index, inner) in all.iter().enumerate() {
                descend(Step::Index(index), inner, path);
            }
        }
        _ => {}
    }
}

/// Removes the part at a path and returns it.
fn remove(table: &mut Table, path: &[Step]) -> Option<Value> {
    let (last, above) = path.split_last()?;
    let Some((Step::Key(first), above)) = above.split_first() else {
        return match last {
            Step::Key(key) => table.remove(key),
            Step::Index(_) => None,
        };
    };
    let mut parent = table.get_mut(first)?;
    for step in above {
        parent = match (parent, step) {
            (Value::Table(inner), Step::Key(key)) => inner.get_mut(key)?,
            (Value::Array(all), Step::Index(index)) => all.get_mut(*index)?,
            _ => return None,
        };
    }
    match (parent, last) {
        (Value::Table(inner), Step::Key(key)) => inner.remove(key),
        (Value::Array(all), Step::Index(index)) if *index < all.len() => Some(all.remove(*index)),
        _ => None,
    }
}

/// Returns the number of values in a value, including the value itself.
fn size(value: &Value) -> usize {
    match value {
        Value::Table(table) => 1 + table.values().map(size).sum::<usize>(),
        Value::Array(all) => 1 + all.iter().map(size).sum::<usize>(),
        _ => 1,
    }
}

/// Returns the table without a destination and all list entries that refer to it.
fn without_destination(table: &Table, name: &str) -> Option<Table> {
    let mut smaller = table.clone();
    smaller.get_mut("partner")?.as_table_mut()?.remove(name)?;
    for list in DESTINATION_LISTS {
        if let Some(all) = smaller.get_mut(list).and_then(Value::as_array_mut) {
            all.retain(|entry| entry.get("partner").and_then(Value::as_str) != Some(name));
        }
    }
    Some(smaller)
}

/// Returns the table with one number multiplied by a factor; `None` if the number is not above 1.
fn scaled(table: &Table, path: &[&str], factor: f64) -> Option<Table> {
    let mut smaller = table.clone();
    let (last, above) = path.split_last()?;
    let mut parent = &mut smaller;
    for key in above {
        parent = parent.get_mut(*key)?.as_table_mut()?;
    }
    let value = parent.get_mut(*last)?;
    let reduced = match &*value {
        Value::Integer(whole) if *whole > 1 => Value::Integer((*whole as f64 * factor) as i64),
        Value::Float(number) if *number > 1.0 => Value::Float(number * factor),
        _ => return None,
    };
    *value = reduced;
    Some(smaller)
}
