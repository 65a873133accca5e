//! Output of the history of a group's changes.

use marblefall_coordination::replicated_state::{ChangeOutcome, ResolvedChange};
use serde_json::{json, Value};

/// Prints one line for each change.
pub fn print_text(changes: &[ResolvedChange]) {
    for change in changes {
        println!("{}", change_text(change));
    }
}

/// Returns all changes as JSON.
pub fn to_json(changes: &[ResolvedChange]) -> Value {
    changes.iter().map(change_json).collect()
}

fn change_text(change: &ResolvedChange) -> String {
    let outcome = match &change.outcome {
        ChangeOutcome::InForce(revision) => format!("in force as revision {}", revision.0),
        ChangeOutcome::Withdrawn(reason) => format!("withdrawn: {reason}"),
    };
    let took_ms = change.resolved_ms - change.proposed_ms;
    format!(
        "{}  change {} by {}: {outcome} (after {took_ms} ms)",
        timestamp(change.proposed_ms),
        change.proposal.0,
        change.author.name
    )
}

fn change_json(change: &ResolvedChange) -> Value {
    let (revision, withdrawn) = match &change.outcome {
        ChangeOutcome::InForce(revision) => (Some(revision.0), None),
        ChangeOutcome::Withdrawn(reason) => (None, Some(reason)),
    };
    json!({
        "change": change.proposal.0,
        "by": change.author.name,
        "proposed": timestamp(change.proposed_ms),
        "resolved": timestamp(change.resolved_ms),
        "revision": revision,
        "withdrawn": withdrawn,
    })
}

fn timestamp(ms: i64) -> String {
    let timestamp = jiff::Timestamp::from_millisecond(ms);
    timestamp.map_or_else(|_| ms.to_string(), |at| at.to_string())
}
