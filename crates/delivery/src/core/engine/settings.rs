//! The settings of an engine, and the policy it derives from them.

use crate::core::destination_table::DestinationTable;
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time that a repeat needs to arrive before its receiver's deduplication window closes.
pub(super) const DEDUPLICATION_MARGIN: scheduler::Span = scheduler::Span(200_000);

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The scheduler's settings.
    pub scheduler: scheduler::Settings,
    /// The seed of the scheduler's random numbers.
    pub seed: u64,
    /// For each class, how long a finished message of the CloudEvents frontend is retained, in milliseconds, so that
    /// repeats of it are recognised.
    pub retention_ms: Vec<i64>,
    /// How many finished messages are retained at most.
    pub max_retained: usize,
}

/// Another policy for an engine that runs.
#[derive(Clone, Debug)]
pub struct PolicyChange {
    /// Its revision.
    pub revision: u64,
    /// The engine's settings. A class keeps its place for as long as the engine runs; new classes follow.
    pub settings: EngineSettings,
    /// The names of the classes, in their order.
    pub classes: Vec<String>,
    /// All destinations, where the policy replaces them.
    pub destination_table: Option<Arc<DestinationTable>>,
}

/// What a proposed policy covers.
#[derive(Clone, Debug)]
pub struct ProposedPolicy {
    /// The names of its classes.
    pub classes: BTreeSet<String>,
    /// Its destinations.
    pub destinations: BTreeSet<scheduler::DestinationId>,
    /// How many messages may be open at a time.
    pub max_open: usize,
}

/// Why a proposed policy does not cover the open messages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyMismatch {
    /// The class of an open message is not in it.
    #[error("a message of class {0} is held, and the class would be gone")]
    ClassRemoved(String),
    /// The destination of an open message is not in it.
    #[error("a message for a destination is held that would be gone")]
    DestinationRemoved,
    /// More messages are open than it permits.
    #[error("{pending} messages are held, and no more than {max_open} could be")]
    TooManyPending {
        /// Messages without a final outcome.
        pending: usize,
        /// How many the policy permits.
        max_open: usize,
    },
}

/// The parts of the settings that the engine itself uses.
pub(super) struct Policy {
    /// The classes as they were configured; the scheduler is given shorter deduplication windows.
    pub classes: Vec<scheduler::MessageClass>,
    /// For each kind of destination, whether its endpoints are separate routes.
    separate_routes: Vec<bool>,
    pub max_open: usize,
    retention_ms: Vec<i64>,
    pub max_retained: usize,
}

impl Policy {
    /// Splits settings into the engine's policy and a scheduler. The scheduler is given deduplication windows that are
    /// shorter by [`DEDUPLICATION_MARGIN`].
    pub fn split(settings: EngineSettings) -> (Policy, scheduler::Scheduler) {
        let EngineSettings {
            mut scheduler,
            seed,
            retention_ms,
            max_retained,
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
            max_retained,
        };
        for class in &mut scheduler.classes {
            if let scheduler::Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                *window = scheduler::Span((window.0 - DEDUPLICATION_MARGIN.0).max(0));
            }
        }
        (policy, scheduler::Scheduler::new(scheduler, seed))
    }

    /// How long a finished message of a class is retained, in milliseconds.
    pub fn retention_ms(&self, class: scheduler::ClassId) -> i64 {
        self.retention_ms.get(class.0).copied().unwrap_or(0)
    }

    /// The window in which receivers discard repeats of a class by their idempotency key, where they do.
    pub fn deduplication_window(&self, class: scheduler::ClassId) -> Option<scheduler::Span> {
        match self.classes.get(class.0)?.idempotency {
            scheduler::Idempotency::IdempotencyKey { window, .. } => Some(window),
            scheduler::Idempotency::Idempotent | scheduler::Idempotency::NonIdempotent => None,
        }
    }

    /// Whether endpoints of a kind are separate routes.
    pub fn has_separate_routes(&self, kind: scheduler::KindId) -> bool {
        self.separate_routes
            .get(kind.0)
            .is_some_and(|separate| *separate)
    }
}
