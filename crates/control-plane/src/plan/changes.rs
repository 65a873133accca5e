//! Formats the changes of a plan for operators, entry by entry, with the keys of the manifest.

use super::Plan;
use crate::manifest::Manifest;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The manifest's tables, each as its key and the name of a single entry.
const TABLES: [(&str, &str); 3] = [
    ("classes", "class"),
    ("destinations", "destination"),
    ("instances", "instance"),
];

/// The change of an entry of the manifest.
enum Change<'a> {
    Added,
    Changed(&'a Value, &'a Value),
    Removed,
}

/// Returns the entries of a manifest by the names that operators see.
fn entries(manifest: &Manifest) -> BTreeMap<String, Value> {
    let mut entries = BTreeMap::new();
    let tables = serde_json::to_value(manifest).unwrap_or_default();
    for (table, entry) in TABLES {
        for (name, value) in tables[table].as_object().into_iter().flatten() {
            entries.insert(format!("{entry} {name}"), value.clone());
        }
    }
    let has_entries = !entries.is_empty();
    let mut add_if_set = |entry: &str, key: &str, is_set: bool| {
        if is_set {
            entries.insert(entry.to_owned(), tables[key].clone());
        }
    };
    add_if_set("limits", "limits", has_entries);
    add_if_set("fleet", "elsewhere", manifest.external_instances > 0);
    add_if_set("group", "group", manifest.group.is_some());
    add_if_set("roster", "roster", manifest.list_source.is_some());
    entries
}

fn classify_change<'a>(old: Option<&'a Value>, new: Option<&'a Value>) -> Option<Change<'a>> {
    match (old, new) {
        (None, Some(_)) => Some(Change::Added),
        (Some(old), Some(new)) if old != new => Some(Change::Changed(old, new)),
        (Some(_), None) => Some(Change::Removed),
        (Some(_), Some(_)) | (None, None) => None,
    }
}

fn write_changed_keys(f: &mut fmt::Formatter<'_>, old: &Value, new: &Value) -> fmt::Result {
    let no_keys = Map::new();
    let old = old.as_object().unwrap_or(&no_keys);
    let new = new.as_object().unwrap_or(&no_keys);
    let format_value = |value: Option<&Value>| value.map_or("-".to_owned(), Value::to_string);
    for key in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        let (old, new) = (old.get(key), new.get(key));
        if old != new {
            writeln!(
                f,
                "    {key}: {} -> {}",
                format_value(old),
                format_value(new)
            )?;
        }
    }
    Ok(())
}

/// Writes what becomes of the messages of instances that are removed or move to another member.
fn write_drained_instances(
    f: &mut fmt::Formatter<'_>,
    old: &Manifest,
    new: &Manifest,
) -> fmt::Result {
    for name in old.instances.keys() {
        if !new.instances.contains_key(name) {
            writeln!(
                f,
                "instance {name} accepts nothing more, and ends once it has delivered what it holds"
            )?;
            continue;
        }
        let before = old.group.as_ref().and_then(|group| group.member_of(name));
        let after = new.group.as_ref().and_then(|group| group.member_of(name));
        if let (Some(before), Some(after)) = (before, after.filter(|_| before != after)) {
            writeln!(
                f,
                "instance {name} moves to {after}; at {before} it ends once it has delivered what it holds"
            )?;
        }
    }
    Ok(())
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = entries(&self.base.manifest);
        let new = entries(&self.target);
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let (mut added, mut changed, mut removed) = (0, 0, 0);
        for name in names {
            match classify_change(old.get(name), new.get(name)) {
                Some(Change::Added) => {
                    added += 1;
                    writeln!(f, "+ {name}")?;
                }
                Some(Change::Changed(old, new)) => {
                    changed += 1;
                    writeln!(f, "~ {name}")?;
                    write_changed_keys(f, old, new)?;
                }
                Some(Change::Removed) => {
                    removed += 1;
                    writeln!(f, "- {name}")?;
                }
                None => {}
            }
        }
        write_drained_instances(f, &self.base.manifest, &self.target)?;
        write!(
            f,
            "{added} to add, {changed} to change, {removed} to remove"
        )
    }
}

#[cfg(test)]
mod tests;
