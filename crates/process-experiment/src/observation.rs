//! The records of members, the destination and clients in a run, with times on the machine's monotonic clock.

use marblefall_process_harness::client::Submission;
use marblefall_process_harness::destination::Call;
use marblefall_process_harness::Micros;
use std::collections::{BTreeMap, HashSet};

/// The instance name in events of a daemon's lease guard, which applies to all instances of the daemon.
const LEASE_GUARD: &str = "-";

/// One line of a member's history.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEvent {
    /// Time of the event.
    pub at: Micros,
    /// The name of the instance, or `-` for an event of the lease guard.
    pub instance: String,
    /// The action: `takes` or `leg` of an instance, or the new state of the lease guard.
    pub action: String,
    /// The revision under which the event happened.
    pub revision: u64,
}

impl HistoryEvent {
    /// Parses a line. Returns `None` if the line is incomplete or not an event.
    pub fn parse(line: &str) -> Option<HistoryEvent> {
        let mut words = line.split(' ');
        let at = words.next()?.parse().ok()?;
        let instance = words.next()?.to_owned();
        let action = words.next()?.to_owned();
        let revision = words.next()?.parse().ok()?;
        Some(HistoryEvent {
            at,
            instance,
            action,
            revision,
        })
    }

    /// Parses all events of a history and skips other lines.
    pub fn parse_all(text: &str) -> Vec<HistoryEvent> {
        text.lines().filter_map(HistoryEvent::parse).collect()
    }

    /// Returns whether the event is one of the lease guard rather than of an instance.
    pub fn is_of_lease_guard(&self) -> bool {
        self.instance == LEASE_GUARD
    }
}

/// Outcomes of changes by the operators' names under which they were applied: the revision of a change in force, or
/// `None` if the change was withdrawn.
pub type ChangeOutcomes = BTreeMap<String, Option<u64>>;

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// The events in the histories of all members.
    pub events: Vec<HistoryEvent>,
    /// The calls that the destination answered.
    pub calls: Vec<Call>,
    /// The submissions of the clients; those of the same event are in the order in which they were made.
    pub submissions: Vec<Submission>,
    /// The outcomes of changes that each member reports, by member number.
    pub reported_outcomes: Vec<ChangeOutcomes>,
    /// The outcomes that `apply` printed.
    pub applied_outcomes: ChangeOutcomes,
    /// Whether each member acts under the last revision at the end of the run, by member number.
    pub caught_up: Vec<bool>,
    /// The numbers of the endpoints that each revision drains.
    pub drained_endpoints: BTreeMap<u64, HashSet<usize>>,
}

impl Observation {
    /// Returns the events of instances, ordered by time.
    pub fn instance_events(&self) -> Vec<&HistoryEvent> {
        let events = self.events.iter();
        let mut events: Vec<&HistoryEvent> =
            events.filter(|event| !event.is_of_lease_guard()).collect();
        events.sort_by_key(|event| event.at);
        events
    }
}
