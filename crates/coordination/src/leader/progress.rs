//! The progress of each member in a pending change.

use super::pending_change::{PendingChange, Phase};
use crate::identifiers::ProposalId;
use marblefall_time::Time;

/// The progress of one member, as known to this leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberProgress {
    /// Time by which the member's last lease has certainly expired; `None` if it does not expire.
    pub lease_expires: Option<Time>,
    /// Whether operators have confirmed that the member is stopped.
    pub excluded: bool,
    /// The last proposal that the member has accepted.
    pub accepted: Option<ProposalId>,
    /// The last proposal for which the member has confirmed that it is quiesced.
    pub quiesced: Option<ProposalId>,
    /// Time at which the message of the current phase was last sent; `None` if it is due.
    pub last_sent: Option<Time>,
}

impl MemberProgress {
    /// Returns whether the member has certainly stopped acting even without a confirmation, because it is excluded or its
    /// lease has expired.
    pub fn has_stopped_acting(&self, now: Time) -> bool {
        self.excluded || self.lease_expires.is_some_and(|expires| expires <= now)
    }

    /// Returns whether the member has completed the current phase of the change.
    pub fn has_completed_phase(&self, change: &PendingChange) -> bool {
        match change.phase {
            Phase::Checking => self.accepted == Some(change.proposal),
            Phase::Quiescing => self.quiesced == Some(change.proposal),
            Phase::Deciding => true,
        }
    }
}
