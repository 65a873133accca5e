//! The progress of each member in a pending change.

use super::pending_change::{PendingChange, Phase};
use crate::identifiers::ProposalId;
use marblefall_time::Time;

/// A member's progress, as received by this leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberProgress {
    /// When the member's last lease has surely expired; `None` is never.
    pub lease_expires: Option<Time>,
    /// Whether operators have confirmed that the member is stopped.
    pub excluded: bool,
    /// The last proposal that the member has accepted.
    pub checked: Option<ProposalId>,
    /// The last proposal that the member is quiesced for.
    pub quiesced: Option<ProposalId>,
    /// When the message of the current phase was last sent.
    pub last_sent: Option<Time>,
}

impl MemberProgress {
    /// Whether the member has surely stopped acting without a message from this leader.
    pub fn has_expired(&self, now: Time) -> bool {
        self.excluded || self.lease_expires.is_some_and(|expires| expires <= now)
    }

    /// Whether the member has completed the phase of a change.
    pub fn is_done(&self, change: &PendingChange) -> bool {
        match change.phase {
            Phase::Checking => self.checked == Some(change.proposal),
            Phase::Quiescing => self.quiesced == Some(change.proposal),
            Phase::Deciding => true,
        }
    }
}
