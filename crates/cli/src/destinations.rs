//! What staff are shown of destinations: how each stands at each instance that knows something of it.

use crate::words::{Form, State};
use marblefall_atomic_file::LocalDisk;
use marblefall_control_plane::endpoint_directory::CompactApplied;
use marblefall_delivery::core::snapshot::DestinationRecord;
use marblefall_delivery::snapshot_store;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Prints it.
pub fn show(home: &Path, state: Option<State>, format: Form) -> Result<(), String> {
    let applied = CompactApplied::read(home).map_err(|error| error.to_string())?;
    let names: BTreeMap<u64, &str> = applied
        .directory
        .destination_table
        .entries()
        .map(|entry| (entry.id.0, entry.name))
        .collect();
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as i64);
    let mut known: BTreeSet<u64> = BTreeSet::new();
    let mut rows: Vec<(&str, &str, State, DestinationRecord)> = Vec::new();
    for instance in applied.manifest.instances.keys() {
        let folder = home.join("instances").join(instance);
        let records = snapshot_store::read(&LocalDisk, &folder)
            .map_err(|cause| format!("{}: {cause}", folder.display()))?;
        for record in records {
            // What left the manifest is no longer of interest.
            let Some(name) = names.get(&record.destination) else {
                continue;
            };
            known.insert(record.destination);
            rows.push((name, instance, state_of(&record, now), record));
        }
    }
    rows.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
    rows.retain(|(.., is, _)| state.is_none_or(|wanted| wanted == *is));
    let idle = names.len() - known.len();
    if format == Form::Json {
        let row = |(name, instance, state, record): &(&str, &str, State, DestinationRecord)| {
            json!({"destination": name, "instance": instance, "state": state.word(), "since_ms": since(record),
                "wait_left_ms": record.backoff_until_ms.map(|until| (until - now).max(0)), "mean_ms": record.mean_latency_ms,
                "per_s": record.baseline_rate, "held": record.pending, "out": record.in_flight})
        };
        let rows: Vec<_> = rows.iter().map(row).collect();
        println!("{}", json!({"destinations": rows, "idle": idle}));
        return Ok(());
    }
    for (name, instance, state, record) in &rows {
        let ago = |at: i64| format!(" for {:.1} s", (now - at).max(0) as f64 / 1000.0);
        let since = since(record).map_or(String::new(), ago);
        let mean = record
            .mean_latency_ms
            .map_or(String::new(), |mean| format!(", {mean:.0} ms a call"));
        let left = record.backoff_until_ms.filter(|until| *until > now);
        let wait = left.map_or(String::new(), |until| {
            format!(", to be left alone for {} ms", until - now)
        });
        let (held, out, usual) = (record.pending, record.in_flight, record.baseline_rate);
        let word = state.word();
        println!(
            "{name} at {instance}: {word}{since}{wait}, {held} held, {out} out, {usual:.2} a second{mean}"
        );
    }
    println!(
        "{} destinations, {idle} of them idle with nothing to be said",
        names.len()
    );
    if state == Some(State::Idle) {
        names
            .iter()
            .filter(|(number, _)| !known.contains(number))
            .for_each(|(_, name)| println!("{name}"));
    }
    Ok(())
}

fn since(record: &DestinationRecord) -> Option<i64> {
    record.ejected_since_ms.or(record.recovering_since_ms)
}

fn state_of(record: &DestinationRecord, now: i64) -> State {
    match record {
        DestinationRecord {
            backoff_until_ms: Some(until),
            ..
        } if *until > now => State::Waiting,
        DestinationRecord {
            ejected_since_ms: Some(_),
            ..
        } => State::Out,
        DestinationRecord {
            recovering_since_ms: Some(_),
            ..
        } => State::Easing,
        DestinationRecord { active: true, .. } => State::InUse,
        _ => State::Idle,
    }
}
