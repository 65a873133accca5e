//! Plan and apply: what an operator's file would change against what is applied, kept as a plan that is then
//! carried out as it stands, at once and whole, or refused if the ground has moved since.

use crate::file::Fleet;
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fs::{self, File};
use std::path::Path;

/// What is applied: the fleet and how many applies led to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Grows by one with each apply.
    pub revision: u64,
    /// The fleet.
    pub fleet: Fleet,
}

/// The file that holds it.
pub const APPLIED: &str = "applied.json";

impl Applied {
    /// Reads what is applied in a folder; nothing at all where no apply has been.
    pub fn read(home: &Path) -> Result<Applied, String> {
        let path = home.join(APPLIED);
        match fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|error| format!("{}: {error}", path.display())),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Applied::default()),
            Err(error) => Err(format!("{}: {error}", path.display())),
        }
    }
}

/// A change that was worked out, with the ground it stands on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What was applied when it was made.
    pub base: Applied,
    /// What will be.
    pub target: Fleet,
}

impl Plan {
    /// What leads from what is applied to a fleet.
    pub fn new(base: Applied, target: Fleet) -> Plan {
        Plan { base, target }
    }

    /// Whether nothing would change.
    pub fn is_empty(&self) -> bool {
        self.base.fleet == self.target
    }

    /// Puts the plan in force. Readers see what was applied before or all of the plan, never a part.
    pub fn apply(&self, home: &Path) -> Result<Applied, String> {
        let fault = |error: std::io::Error| format!("{}: {error}", home.display());
        fs::create_dir_all(home).map_err(fault)?;
        // Two operators who apply at once must not both find the ground unmoved.
        let lock = File::create(home.join("lock")).map_err(fault)?;
        lock.lock().map_err(fault)?;
        let now = Applied::read(home)?;
        if now != self.base {
            return Err(format!(
                "the plan is stale: it was made against revision {}, applied is revision {}; plan again",
                self.base.revision, now.revision
            ));
        }
        let applied = Applied {
            revision: now.revision + 1,
            fleet: self.target.clone(),
        };
        let text = serde_json::to_vec_pretty(&applied).map_err(|error| error.to_string())?;
        replace(
            &LocalDisk,
            &home.join(APPLIED),
            &text,
            Durability::PowerLoss,
        )
        .map_err(fault)?;
        Ok(applied)
    }
}

/// The entries of a fleet by kind and name.
fn entries(fleet: &Fleet) -> BTreeMap<String, Value> {
    let mut all = BTreeMap::new();
    let whole = serde_json::to_value(fleet).unwrap_or_default();
    for (table, kind) in [
        ("classes", "class"),
        ("destinations", "destination"),
        ("instances", "instance"),
    ] {
        for (name, value) in whole[table].as_object().into_iter().flatten() {
            all.insert(format!("{kind} {name}"), value.clone());
        }
    }
    if !all.is_empty() {
        all.insert("limits".to_owned(), whole["limits"].clone());
    }
    if fleet.elsewhere > 0 {
        all.insert("fleet".to_owned(), whole["elsewhere"].clone());
    }
    if fleet.group.is_some() {
        all.insert("group".to_owned(), whole["group"].clone());
    }
    if fleet.roster.is_some() {
        all.insert("roster".to_owned(), whole["roster"].clone());
    }
    all
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, after) = (entries(&self.base.fleet), entries(&self.target));
        let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
        let mut counts = [0; 3];
        for name in names {
            match (before.get(name), after.get(name)) {
                (None, Some(_)) => {
                    counts[0] += 1;
                    writeln!(f, "+ {name}")?;
                }
                (Some(old), Some(new)) if old != new => {
                    counts[1] += 1;
                    writeln!(f, "~ {name}")?;
                    let keys = |value: &Value| value.as_object().cloned().unwrap_or_default();
                    let (old, new) = (keys(old), keys(new));
                    for key in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
                        let show =
                            |value: Option<&Value>| value.map_or("-".to_owned(), Value::to_string);
                        let (was, is) = (old.get(key), new.get(key));
                        if was != is {
                            writeln!(f, "    {key}: {} -> {}", show(was), show(is))?;
                        }
                    }
                }
                (Some(_), None) => {
                    counts[2] += 1;
                    writeln!(f, "- {name}")?;
                }
                _ => {}
            }
        }
        let [added, changed, removed] = counts;
        write!(
            f,
            "{added} to add, {changed} to change, {removed} to remove"
        )
    }
}
