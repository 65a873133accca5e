//! The lease guard of the daemon's instances follows the node's lease.

use super::{Driver, GroupEvent};
use marblefall_delivery::lease_guard::GuardState;
use marblefall_delivery::log_line;
use std::time::Instant;

/// What the lease guard was last set to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ShownLease {
    revision: u64,
    state: GuardState,
}

impl ShownLease {
    /// Whether it differs in more than the end of the lease.
    fn differs_from(&self, earlier: &ShownLease) -> bool {
        let is_open = |lease: &ShownLease| matches!(lease.state, GuardState::Open(_));
        self.revision != earlier.revision || is_open(self) != is_open(earlier)
    }
}

impl Driver {
    /// Sets the lease guard to the node's lease, and tells the supervisor where instances may act or may not any more.
    pub(super) fn update_lease_guard(&mut self) {
        let lease = self.current_lease();
        if self.shown_lease == Some(lease) {
            return;
        }
        let changed = self
            .shown_lease
            .is_none_or(|earlier| lease.differs_from(&earlier));
        self.lease_guard.set(lease.revision, lease.state);
        self.shown_lease = Some(lease);
        if changed {
            let revision = lease.revision;
            log_line!(
                code = "lease-guard",
                "{} under revision {revision}",
                self.lease_state()
            );
            // Fails where the supervisor has ended.
            let _ = self.group_events.try_send(GroupEvent::LeaseChanged);
        }
    }

    /// Whether instances may act, in the words that operators read.
    pub(super) fn lease_state(&self) -> &'static str {
        match self.shown_lease.map(|lease| lease.state) {
            Some(GuardState::Open(until)) if until.is_none_or(|until| Instant::now() < until) => {
                "acts"
            }
            Some(GuardState::Suspended) => "still",
            Some(GuardState::Open(_) | GuardState::Closed) | None => "shut",
        }
    }

    fn current_lease(&self) -> ShownLease {
        let now = self.clock.now().monotonic;
        let state = match self.node.lease(now) {
            Some(lease) => GuardState::Open(lease.until.map(|at| self.clock.instant(at))),
            None if self.node.is_quiesced(now) => GuardState::Suspended,
            None => GuardState::Closed,
        };
        ShownLease {
            revision: self.node.applied().unwrap_or_default().0,
            state,
        }
    }
}
