//! The policy that an engine goes by.

use crate::core::destination_table::DestinationTable;
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A repeat within a receiver's deduplication window must have arrived before it closes: left for the way there.
pub(super) const DEDUPLICATION_MARGIN: m::Span = m::Span(200_000);

/// What an engine is started with.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The scheduler's settings.
    pub scheduler: m::Settings,
    /// For the scheduler's random numbers.
    pub seed: u64,
    /// For each class, how long a finished message of the CloudEvents frontend is remembered, in milliseconds.
    pub retention_ms: Vec<i64>,
    /// How many of them at most.
    pub max_remembered: usize,
}

/// Another policy, for an engine that runs.
#[derive(Clone, Debug)]
pub struct PolicyChange {
    /// Its revision.
    pub revision: u64,
    /// What the engine goes by. A class keeps its place for as long as the engine runs; new ones follow.
    pub settings: EngineSettings,
    /// The names of the classes, in their order.
    pub classes: Vec<String>,
    /// All destinations, where they change with it.
    pub destination_table: Option<Arc<DestinationTable>>,
}

/// What a proposed policy has room for.
#[derive(Clone, Debug)]
pub struct ProposedPolicy {
    /// The names of its classes.
    pub classes: BTreeSet<String>,
    /// Its destinations.
    pub destinations: BTreeSet<m::DestinationId>,
    /// How many messages may be open.
    pub max_open: usize,
}

/// Why a proposed policy has no room for what is pending.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyMismatch {
    /// A pending message's class is not in it.
    #[error("a message of class {0} is held, and the class would be gone")]
    ClassRemoved(String),
    /// A pending message's destination is not in it.
    #[error("a message for a destination is held that would be gone")]
    DestinationRemoved,
    /// More messages are pending than it allows.
    #[error("{pending} messages are held, and no more than {max_open} could be")]
    TooManyPending {
        /// Messages without a final outcome.
        pending: usize,
        /// How many the policy allows.
        max_open: usize,
    },
}

/// The parts of the settings that the engine itself goes by.
pub(super) struct Policy {
    /// The classes as they were given; the scheduler's windows are shorter.
    pub classes: Vec<m::MessageClass>,
    /// For each kind of destination, whether its endpoints are separate routes.
    separate_routes: Vec<bool>,
    pub max_open: usize,
    retention_ms: Vec<i64>,
    pub max_remembered: usize,
}

impl Policy {
    /// Splits settings into what the engine goes by and a scheduler. The scheduler is given shorter windows, since a
    /// repeat must have arrived before its receiver's window closes.
    pub fn split(settings: EngineSettings) -> (Policy, m::Scheduler) {
        let EngineSettings {
            mut scheduler,
            seed,
            retention_ms,
            max_remembered,
        } = settings;
        let policy = Policy {
            classes: scheduler.classes.clone(),
            separate_routes: scheduler
                .kinds
                .iter()
                .map(|kind| kind.separate_routes)
                .collect(),
            max_open: scheduler.limits.max_open_messages,
            retention_ms,
            max_remembered,
        };
        for class in &mut scheduler.classes {
            if let m::Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                *window = m::Span((window.0 - DEDUPLICATION_MARGIN.0).max(0));
            }
        }
        (policy, m::Scheduler::new(scheduler, seed))
    }

    /// How long a finished message of a class is remembered, in milliseconds.
    pub fn retention_ms(&self, class: m::ClassId) -> i64 {
        self.retention_ms.get(class.0).copied().unwrap_or(0)
    }

    /// The window in which receivers drop repeats of a class, where they do.
    pub fn deduplication_window(&self, class: m::ClassId) -> Option<m::Span> {
        match self.classes.get(class.0)?.idempotency {
            m::Idempotency::IdempotencyKey { window, .. } => Some(window),
            m::Idempotency::Idempotent | m::Idempotency::NonIdempotent => None,
        }
    }

    /// Whether endpoints of a kind are separate routes.
    pub fn has_separate_routes(&self, kind: m::KindId) -> bool {
        self.separate_routes
            .get(kind.0)
            .is_some_and(|separate| *separate)
    }
}
