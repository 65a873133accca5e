//! Looks for the seeds on which couriers do worst, and shrinks a scenario to the least that still fails.

use crate::invariants::Rule;
use crate::metrics::{measure, Figures};
use crate::scenario::{Draft, Unfit};
use crate::simulation::{Life, Make, Node};
use rayon::prelude::*;
use std::ops::RangeInclusive;
use toml::{Table, Value};

/// What a seed came to.
#[derive(Clone, Debug)]
pub struct Prey {
    /// The seed.
    pub seed: u64,
    /// The rule that was broken first, if one was.
    pub broke: Option<Rule>,
    /// The figures.
    pub figures: Figures,
}

/// Makes nodes on any thread.
pub type Maker<'a> = &'a (dyn Fn(Life) -> Box<dyn Node> + Sync);

fn run(draft: &Draft, seed: u64, make: Make<'_>) -> Result<Prey, Unfit> {
    let scenario = draft.scenario(seed)?;
    let (tally, verdict) = measure(&scenario, seed, make);
    let broke = verdict.breaches.first().map(|breach| breach.rule);
    Ok(Prey {
        seed,
        broke,
        figures: Figures::of(&tally, &verdict),
    })
}

/// Plays seeds in parallel; the worst first: those that broke a rule, then those that kept least.
///
/// # Errors
/// Of the scenario.
pub fn hunt(
    draft: &Draft,
    seeds: RangeInclusive<u64>,
    make: Maker<'_>,
) -> Result<Vec<Prey>, Unfit> {
    let found: Result<Vec<Prey>, Unfit> = seeds
        .into_par_iter()
        .map(|seed| run(draft, seed, &|life| make(life)))
        .collect();
    let mut found = found?;
    found.sort_by(|a, b| {
        let worse = b.broke.is_some().cmp(&a.broke.is_some());
        worse
            .then(a.figures.kept.total_cmp(&b.figures.kept))
            .then(a.seed.cmp(&b.seed))
    });
    Ok(found)
}

/// What still counts as failing while a scenario shrinks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failing {
    /// This rule is broken.
    Breaks(Rule),
    /// Less is kept than this.
    KeepsUnder(f64),
}

impl Failing {
    fn is(self, prey: &Prey) -> bool {
        match self {
            Failing::Breaks(rule) => prey.broke == Some(rule),
            Failing::KeepsUnder(least) => prey.figures.kept < least && prey.figures.messages > 0,
        }
    }
}

/// A smaller scenario that still fails.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// It, in one table.
    pub draft: Draft,
    /// A seed that fails.
    pub seed: u64,
    /// Runs that it took.
    pub runs: u32,
}

/// Seeds that are tried of each smaller scenario: taking something away changes all that is drawn after it.
const SEEDS: u64 = 4;

/// Takes away from a scenario what is not needed for it to fail, until nothing more can go or the runs are used up.
pub fn shrink(
    draft: &Draft,
    seed: u64,
    failing: Failing,
    most_runs: u32,
    make: Maker<'_>,
) -> Shrunk {
    let mut least = Shrunk {
        draft: draft.clone(),
        seed,
        runs: 0,
    };
    'again: loop {
        for table in smaller(least.draft.table()) {
            let draft = least.draft.with(table);
            // One that makes no sense any more, as its partner went with its load, is no scenario.
            for seed in std::iter::once(least.seed).chain(1..=SEEDS) {
                if least.runs >= most_runs {
                    return least;
                }
                let Ok(prey) = run(&draft, seed, &|life| make(life)) else {
                    break;
                };
                least.runs += 1;
                if failing.is(&prey) {
                    least = Shrunk {
                        draft,
                        seed,
                        runs: least.runs,
                    };
                    continue 'again;
                }
            }
        }
        return least;
    }
}

/// Tables that say less: the largest parts are left out first, then numbers become smaller.
fn smaller(table: &Table) -> Vec<Table> {
    let mut all: Vec<(usize, Table)> = Vec::new();
    let mut leave_out = |path: &[Step]| {
        let mut less = table.clone();
        if let Some(gone) = remove(&mut less, path) {
            all.push((size(&gone), less));
        }
    };
    let mut path = Vec::new();
    walk(&Value::Table(table.clone()), &mut path, &mut leave_out);
    all.sort_by_key(|(size, _)| std::cmp::Reverse(*size));
    let mut tables: Vec<Table> = all.into_iter().map(|(_, less)| less).collect();
    for name in table
        .get("partner")
        .and_then(Value::as_table)
        .into_iter()
        .flat_map(Table::keys)
    {
        tables.extend(without_partner(table, name));
    }
    for (path, factor) in [
        (vec!["seconds"], 0.5),
        (vec!["seconds"], 0.8),
        (vec!["couriers", "count"], 0.5),
    ] {
        tables.extend(scaled(table, &path, factor));
    }
    for name in table
        .get("partner")
        .and_then(Value::as_table)
        .into_iter()
        .flat_map(Table::keys)
    {
        tables.extend(scaled(table, &["partner", name, "count"], 0.5));
    }
    tables
}

enum Step {
    Key(String),
    Place(usize),
}

fn walk(value: &Value, path: &mut Vec<Step>, leave_out: &mut dyn FnMut(&[Step])) {
    let mut visit = |step: Step, inner: &Value, path: &mut Vec<Step>| {
        path.push(step);
        leave_out(path);
        walk(inner, path, leave_out);
        path.pop();
    };
    match value {
        Value::Table(table) => {
            for (key, inner) in table
                .iter()
                .filter(|(key, _)| !["title", "seconds", "from", "to"].contains(&key.as_str()))
            {
                visit(Step::Key(key.clone()), inner, path);
            }
        }
        Value::Array(all) => {
            for (place, inner) in all.iter().enumerate() {
                visit(Step::Place(place), inner, path);
            }
        }
        _ => {}
    }
}

fn remove(table: &mut Table, path: &[Step]) -> Option<Value> {
    let (last, above) = path.split_last()?;
    let Some((Step::Key(first), above)) = above.split_first() else {
        return match last {
            Step::Key(key) => table.remove(key),
            Step::Place(_) => None,
        };
    };
    let mut at = table.get_mut(first)?;
    for step in above {
        at = match (at, step) {
            (Value::Table(inner), Step::Key(key)) => inner.get_mut(key)?,
            (Value::Array(all), Step::Place(place)) => all.get_mut(*place)?,
            _ => return None,
        };
    }
    match (at, last) {
        (Value::Table(inner), Step::Key(key)) => inner.remove(key),
        (Value::Array(all), Step::Place(place)) if *place < all.len() => Some(all.remove(*place)),
        _ => None,
    }
}

fn size(value: &Value) -> usize {
    match value {
        Value::Table(table) => 1 + table.values().map(size).sum::<usize>(),
        Value::Array(all) => 1 + all.iter().map(size).sum::<usize>(),
        _ => 1,
    }
}

/// A partner goes together with all that speaks of it.
fn without_partner(table: &Table, name: &str) -> Option<Table> {
    let mut less = table.clone();
    less.get_mut("partner")?.as_table_mut()?.remove(name)?;
    for list in ["load", "news", "partition"] {
        if let Some(all) = less.get_mut(list).and_then(Value::as_array_mut) {
            all.retain(|one| one.get("partner").and_then(Value::as_str) != Some(name));
        }
    }
    Some(less)
}

fn scaled(table: &Table, path: &[&str], factor: f64) -> Option<Table> {
    let mut less = table.clone();
    let (last, above) = path.split_last()?;
    let mut at = &mut less;
    for key in above {
        at = at.get_mut(*key)?.as_table_mut()?;
    }
    let value = at.get_mut(*last)?;
    let smaller = match &*value {
        Value::Integer(whole) if *whole > 1 => Value::Integer((*whole as f64 * factor) as i64),
        Value::Float(number) if *number > 1.0 => Value::Float(number * factor),
        _ => return None,
    };
    *value = smaller;
    Some(less)
}

/// The text of a shrunk scenario, as a file that `lab play` reads.
///
/// # Errors
/// Where the table cannot be written as TOML, in words.
pub fn text(shrunk: &Shrunk) -> Result<String, String> {
    let table = toml::to_string(shrunk.draft.table()).map_err(|error| error.to_string())?;
    Ok(format!(
        "# Shrunk in {} runs; fails with seed {}.\n{table}",
        shrunk.runs, shrunk.seed
    ))
}
