//! Shows the state of destinations at each instance that has a record of them.

use crate::arguments::{DestinationState, OutputFormat};
use crate::error::CommandError;
use marblefall_atomic_file::LocalDisk;
use marblefall_control_plane::endpoint_directory::CompactApplied;
use marblefall_delivery::clock::SteadyClock;
use marblefall_delivery::core::snapshot::DestinationRecord;
use marblefall_delivery::snapshot_store;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A destination as one instance last recorded it.
struct Row<'a> {
    destination: &'a str,
    instance: &'a str,
    state: DestinationState,
    record: DestinationRecord,
    /// The current time in milliseconds, by the clock that the instance's records use.
    now_ms: i64,
}

/// Prints all destinations of a home, or only those in one state.
pub fn show(
    home: &Path,
    state: Option<DestinationState>,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let applied = CompactApplied::read(home)?;
    let entries = applied.directory.destination_table.entries();
    let names: BTreeMap<u64, &str> = entries.map(|entry| (entry.id.0, entry.name)).collect();
    let mut rows = read_rows(home, &applied, &names)?;
    let recorded: BTreeSet<&str> = rows.iter().map(|row| row.destination).collect();
    let idle = names.len() - recorded.len();
    rows.retain(|row| state.is_none_or(|wanted| wanted == row.state));
    match format {
        OutputFormat::Json => print_json(&rows, idle),
        OutputFormat::Text => {
            rows.iter().for_each(|row| println!("{}", row_text(row)));
            println!(
                "{} destinations, {idle} of them idle and without a record",
                names.len()
            );
            if state == Some(DestinationState::Idle) {
                let unrecorded = names.values().filter(|name| !recorded.contains(*name));
                unrecorded.for_each(|name| println!("{name}"));
            }
        }
    }
    Ok(())
}

/// Reads the records of all instances, sorted by destination and instance.
fn read_rows<'a>(
    home: &Path,
    applied: &'a CompactApplied,
    names: &BTreeMap<u64, &'a str>,
) -> Result<Vec<Row<'a>>, CommandError> {
    let mut rows = Vec::new();
    for instance in applied.manifest.instances.keys() {
        let folder = home.join("instances").join(instance);
        let now_ms = SteadyClock::read_or_wall_clock(&folder).unix_ms();
        let records = snapshot_store::read(&LocalDisk, &folder)
            .map_err(|source| CommandError::Snapshot { folder, source })?;
        // A destination that is not in the manifest is not shown.
        let known = records.into_iter().filter_map(|record| {
            let destination = names.get(&record.destination).copied()?;
            Some(Row {
                destination,
                instance,
                state: state_of(&record, now_ms),
                record,
                now_ms,
            })
        });
        rows.extend(known);
    }
    rows.sort_by(|a, b| (a.destination, a.instance).cmp(&(b.destination, b.instance)));
    Ok(rows)
}

fn print_json(rows: &[Row], idle: usize) {
    let rows: Vec<Value> = rows.iter().map(row_json).collect();
    println!("{}", json!({"destinations": rows, "idle": idle}));
}

fn row_json(row: &Row) -> Value {
    let record = &row.record;
    let backoff_left = record
        .backoff_until_ms
        .map(|until| (until - row.now_ms).max(0));
    json!({
        "destination": row.destination,
        "instance": row.instance,
        "state": row.state.name(),
        "since_ms": since_ms(record),
        "wait_left_ms": backoff_left,
        "mean_ms": record.mean_latency_ms,
        "per_s": record.baseline_rate,
        "held": record.pending,
        "out": record.in_flight,
    })
}

fn row_text(row: &Row) -> String {
    let (record, now) = (&row.record, row.now_ms);
    let seconds_ago = |at: i64| format!(" for {:.1} s", (now - at).max(0) as f64 / 1000.0);
    let since = since_ms(record).map_or(String::new(), seconds_ago);
    let backoff_until = record.backoff_until_ms.filter(|until| *until > now);
    let backoff = backoff_until.map_or(String::new(), |until| {
        format!(", in backoff for {} ms more", until - now)
    });
    let mean_latency = record.mean_latency_ms;
    let latency = mean_latency.map_or(String::new(), |mean| format!(", {mean:.0} ms a call"));
    format!(
        "{} at {}: {}{since}{backoff}, {} held, {} out, {:.2} a second{latency}",
        row.destination,
        row.instance,
        row.state.name(),
        record.pending,
        record.in_flight,
        record.baseline_rate,
    )
}

/// Returns when the destination's outage or recovery began.
fn since_ms(record: &DestinationRecord) -> Option<i64> {
    record.ejected_since_ms.or(record.recovering_since_ms)
}

fn state_of(record: &DestinationRecord, now: i64) -> DestinationState {
    let in_backoff = record.backoff_until_ms.is_some_and(|until| until > now);
    if in_backoff {
        DestinationState::InBackoff
    } else if record.ejected_since_ms.is_some() {
        DestinationState::Ejected
    } else if record.recovering_since_ms.is_some() {
        DestinationState::Recovering
    } else if record.active {
        DestinationState::InUse
    } else {
        DestinationState::Idle
    }
}
