//! The lease under which an instance acts.

use super::LeaseConfig;
use crate::core::engine::LeaseState;
use crate::lease_guard::{GuardState, LeaseGuard, LeasePermit};
use std::cell::Cell;
use std::sync::Arc;

/// The lease under which an instance acts.
pub(super) struct Lease {
    /// The guard; `None` if no lease is needed.
    guard: Option<Arc<LeaseGuard>>,
    /// Revision of the policy by which the engine decides.
    revision: Cell<u64>,
    /// Name of the instance in the history.
    instance: String,
}

impl Lease {
    /// Creates the lease of an instance. Without a configuration, no lease is needed.
    pub(super) fn new(instance: String, config: Option<LeaseConfig>) -> Lease {
        let (guard, revision) = match config {
            Some(LeaseConfig { guard, revision }) => (Some(guard), revision),
            None => (None, 0),
        };
        Lease {
            guard,
            revision: Cell::new(revision),
            instance,
        }
    }

    /// Sets the revision of the policy by which the engine decides from now on.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Returns a permit to act by the policy, if one is available at this moment.
    pub(super) fn acquire(&self) -> Option<LeasePermit<'_>> {
        match &self.guard {
            None => Some(LeasePermit::unconditional()),
            Some(guard) => guard.acquire(self.revision.get()),
        }
    }

    /// Returns the state of the lease when no permit is available.
    pub(super) fn state_without_permit(&self) -> LeaseState {
        let Some(guard) = &self.guard else {
            return LeaseState::Held;
        };
        match guard.state(self.revision.get()) {
            GuardState::Suspended | GuardState::Open(_) => LeaseState::Suspended,
            GuardState::Closed => LeaseState::Lost,
        }
    }

    /// Records an act in the history, if one is kept.
    pub(super) fn record(&self, act: &str) {
        if let Some(guard) = &self.guard {
            guard.record(&self.instance, act, self.revision.get());
        }
    }
}
