//! The lease under which an instance acts.

use super::LeaseConfig;
use crate::core::engine::LeaseState;
use crate::lease_guard::{GuardState, LeaseGuard, LeasePermit};
use std::cell::Cell;
use std::sync::Arc;

/// The lease under which an instance acts.
pub(super) struct Lease {
    /// The guard, if a lease is needed.
    guard: Option<Arc<LeaseGuard>>,
    /// The revision of the policy that the engine decides by.
    revision: Cell<u64>,
    /// The instance's name in the history.
    instance: String,
}

impl Lease {
    /// The lease of an instance. Without a configuration no lease is needed.
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

    /// Sets the revision of the policy that the engine decides by from now on.
    pub(super) fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// A permit to act by the policy, if there is one at this moment.
    pub(super) fn acquire(&self) -> Option<LeasePermit<'_>> {
        match &self.guard {
            None => Some(LeasePermit::unconditional()),
            Some(guard) => guard.acquire(self.revision.get()),
        }
    }

    /// The state of the lease when there is no permit.
    pub(super) fn state_without_permit(&self) -> LeaseState {
        let Some(guard) = &self.guard else {
            return LeaseState::Held;
        };
        match guard.state(self.revision.get()) {
            GuardState::Suspended | GuardState::Open(_) => LeaseState::Suspended,
            GuardState::Closed => LeaseState::Lost,
        }
    }

    /// Writes an act to the history, if there is one.
    pub(super) fn record(&self, act: &str) {
        if let Some(guard) = &self.guard {
            guard.record(&self.instance, act, self.revision.get());
        }
    }
}
