//! Publishes the node's lease to the lease guard of the daemon's instances.

use super::{Driver, GroupEvent};
use crate::group::transport::{LEASE_CLOSED, LEASE_OPEN, LEASE_SUSPENDED};
use marblefall_delivery::lease_guard::GuardState;
use marblefall_delivery::log_line;
use std::time::Instant;

/// The revision and state of the lease that were last published to the lease guard.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PublishedLease {
    revision: u64,
    state: GuardState,
}

impl PublishedLease {
    /// Returns whether the lease differs from an earlier one in its revision, or in whether it is open. The expiry time is
    /// ignored, as it changes with each renewal.
    fn differs_from(&self, earlier: &PublishedLease) -> bool {
        let is_open = |lease: &PublishedLease| matches!(lease.state, GuardState::Open(_));
        self.revision != earlier.revision || is_open(self) != is_open(earlier)
    }

    /// Returns the name of the lease's current state, as shown to operators.
    fn state_name(&self) -> &'static str {
        match self.state {
            GuardState::Open(until) if until.is_none_or(|until| Instant::now() < until) => {
                LEASE_OPEN
            }
            GuardState::Suspended => LEASE_SUSPENDED,
            GuardState::Open(_) | GuardState::Closed => LEASE_CLOSED,
        }
    }
}

impl Driver {
    /// Sets the lease guard to the node's lease. Notifies the supervisor if the revision or the permission to act changed.
    pub(super) fn update_lease_guard(&mut self) {
        let lease = self.current_lease();
        if self.published_lease == Some(lease) {
            return;
        }
        let changed = self
            .published_lease
            .is_none_or(|earlier| lease.differs_from(&earlier));
        self.lease_guard.set(lease.revision, lease.state);
        self.published_lease = Some(lease);
        if changed {
            let PublishedLease { revision, .. } = lease;
            let state = lease.state_name();
            log_line!(code = "lease-guard", "{state} under revision {revision}");
            // Fails if the supervisor has ended.
            let _ = self.group_events.try_send(GroupEvent::LeaseChanged);
        }
    }

    /// Returns the name of the published lease's current state, as shown to operators.
    pub(super) fn lease_state(&self) -> &'static str {
        self.published_lease
            .map_or(LEASE_CLOSED, |lease| lease.state_name())
    }

    fn current_lease(&self) -> PublishedLease {
        let now = self.clock.now().monotonic;
        let state = match self.node.lease(now) {
            Some(lease) => GuardState::Open(lease.until.map(|at| self.clock.instant(at))),
            None if self.node.is_quiesced(now) => GuardState::Suspended,
            None => GuardState::Closed,
        };
        PublishedLease {
            revision: self.node.applied().unwrap_or_default().0,
            state,
        }
    }
}
