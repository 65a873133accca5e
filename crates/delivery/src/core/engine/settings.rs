//! The settings of an engine, and the policy that it derives from them.

use crate::core::destination_table::DestinationTable;
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time reserved for a repeat to arrive before its receiver's deduplication window closes.
pub(super) const DEDUPLICATION_MARGIN: scheduler::Span = scheduler::Span(200_000);

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The scheduler's settings.
    pub scheduler: scheduler::Settings,
    /// The seed of the scheduler's random numbers.
    pub seed: u64,
    /// Retention time of a finished message of the CloudEvents frontend, by class, in milliseconds. Repeats of the message
    /// are recognised during that time.
    pub retention_ms: Vec<i64>,
    /// Maximum number of finished messages that are retained.
    pub max_retained: usize,
}

/// Another policy for a running engine.
#[derive(Clone, Debug)]
pub struct PolicyChange {
    /// The revision of the policy.
    pub revision: u64,
    /// The engine's settings under the policy. A class keeps its index for as long as the engine runs; new classes are
    /// appended.
    pub settings: EngineSettings,
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The table of all destinations, if the policy replaces it.
    pub destination_table: Option<Arc<DestinationTable>>,
}

/// The properties of a proposed policy that must cover the open messages.
#[derive(Clone, Debug)]
pub struct ProposedPolicy {
    /// The names of the policy's classes.
    pub classes: BTreeSet<String>,
    /// The policy's destinations.
    pub destinations: BTreeSet<scheduler::DestinationId>,
    /// Maximum number of open messages.
    pub max_open: usize,
}

/// The reason why a proposed policy does not cover the open messages.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PolicyMismatch {
    /// The policy does not contain the class of an open message.
    #[error("a message of class {0} is held, and the class would be gone")]
    ClassRemoved(String),
    /// The policy does not contain the destination of an open message.
    #[error("a message for a destination is held that would be gone")]
    DestinationRemoved,
    /// More messages are open than the policy permits.
    #[error("{pending} messages are held, and no more than {max_open} could be")]
    TooManyPending {
        /// Number of messages without a final outcome.
        pending: usize,
        /// Maximum number of open messages under the policy.
        max_open: usize,
    },
}

/// The parts of the settings that the engine itself uses.
pub(super) struct Policy {
    /// The classes as configured. The scheduler receives shorter deduplication windows.
    pub classes: Vec<scheduler::MessageClass>,
    /// Whether the endpoints of a kind are separate routes, by kind.
    separate_routes: Vec<bool>,
    pub max_open: usize,
    retention_ms: Vec<i64>,
    pub max_retained: usize,
}

impl Policy {
    /// Splits settings into the engine's policy and a scheduler. The scheduler's deduplication windows are shorter by
    /// [`DEDUPLICATION_MARGIN`].
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

    /// Returns the retention time of a finished message of a class, in milliseconds.
    pub fn retention_ms(&self, class: scheduler::ClassId) -> i64 {
        self.retention_ms.get(class.0).copied().unwrap_or(0)
    }

    /// Returns the window in which receivers discard repeats of a class by idempotency key, if they do so.
    pub fn deduplication_window(&self, class: scheduler::ClassId) -> Option<scheduler::Span> {
        match self.classes.get(class.0)?.idempotency {
            scheduler::Idempotency::IdempotencyKey { window, .. } => Some(window),
            scheduler::Idempotency::Idempotent | scheduler::Idempotency::NonIdempotent => None,
        }
    }

    /// Returns whether the endpoints of a kind are separate routes.
    pub fn has_separate_routes(&self, kind: scheduler::KindId) -> bool {
        self.separate_routes
            .get(kind.0)
            .is_some_and(|separate| *separate)
    }
}
