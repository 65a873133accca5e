//! What members, the destination and clients recorded in a run, on the machine's monotonic clock.

use marblefall_process_harness::client::Submission;
use marblefall_process_harness::destination::Call;
use marblefall_process_harness::Micros;
use std::collections::{BTreeMap, HashSet};

/// The instance in events of a daemon's lease guard, which holds for all its instances.
const LEASE_GUARD: &str = "-";

/// One line of a member's history.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEvent {
    /// When it happened.
    pub at: Micros,
    /// The instance.
    pub instance: String,
    /// What happened: `takes`, `leg`, or the state of the lease guard.
    pub action: String,
    /// The revision that it happened under.
    pub revision: u64,
}

impl HistoryEvent {
    /// Parses a line; `None` where it is half written or something else.
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

    /// Parses a whole history.
    pub fn parse_all(text: &str) -> Vec<HistoryEvent> {
        text.lines().filter_map(HistoryEvent::parse).collect()
    }

    /// Whether it is an event of the lease guard, and not of an instance.
    pub fn is_of_lease_guard(&self) -> bool {
        self.instance == LEASE_GUARD
    }
}

/// Outcomes of changes by the operators' names for them: the revision of a change in force, none where it was
/// withdrawn.
pub type ChangeOutcomes = BTreeMap<String, Option<u64>>;

/// All that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// The histories of all members.
    pub events: Vec<HistoryEvent>,
    /// The destination's calls.
    pub calls: Vec<Call>,
    /// The clients' submissions, those of one event in their order.
    pub submissions: Vec<Submission>,
    /// The outcomes that each member reports.
    pub reported_outcomes: Vec<ChangeOutcomes>,
    /// The outcomes that `apply` printed.
    pub applied_outcomes: ChangeOutcomes,
    /// Which members act under the last revision in the end.
    pub caught_up: Vec<bool>,
    /// The endpoints that a revision drains.
    pub drained_endpoints: BTreeMap<u64, HashSet<usize>>,
}

impl Observation {
    /// The events of instances, in the order of their times.
    pub fn instance_events(&self) -> Vec<&HistoryEvent> {
        let events = self.events.iter();
        let mut events: Vec<&HistoryEvent> =
            events.filter(|event| !event.is_of_lease_guard()).collect();
        events.sort_by_key(|event| event.at);
        events
    }
}
