//! Granting of leases to members.

use super::pending_change::Phase;
use super::{Leader, LeaderAction};
use crate::identifiers::MemberId;
use crate::message::{LeaseGrant, LeaseRequest, ToMember};
use crate::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};

/// Number of resend intervals without a verdict after which a member's lease is no longer renewed.
const MAX_RESENDS_WITHOUT_VERDICT: i64 = 3;

impl Leader {
    /// Grants the requested lease, unless the pending change forbids it.
    pub(super) fn handle_lease_request(
        &mut self,
        now: Time,
        from: MemberId,
        request: LeaseRequest,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.change_forbids_lease(now, from) {
            // Resend the message of the phase: the member may not have received it, or may have restarted.
            if let Some(progress) = self.members.get_mut(&from) {
                progress.last_sent = None;
            }
            let resolved = ToMember::Resolved(self.resolved);
            return actions.push(LeaderAction::Send(from, resolved));
        }
        // Another leader may exist after this leader's own lease has ended.
        if !self.holds_lease(now) {
            return;
        }
        let duration = self.grant_lease(now, from);
        let policy = (request.applied != Some(self.committed)).then(|| self.policy.clone());
        let grant = LeaseGrant {
            incarnation: request.incarnation,
            sent_at: request.sent_at,
            duration: duration.map(|duration| duration.0),
            committed: self.committed,
            policy,
            resolved: self.resolved,
        };
        let granted = ToMember::LeaseGranted(grant);
        actions.push(LeaderAction::Send(from, granted));
    }

    /// Returns whether the pending change forbids granting the member a lease. Depending on the phase, the member must first
    /// send its verdict or wait for the outcome.
    fn change_forbids_lease(&self, now: Time, member: MemberId) -> bool {
        let (Some(change), Some(progress)) = (&self.pending, self.members.get(&member)) else {
            return false;
        };
        match change.phase {
            // A member that requests a lease now may have restarted since it was quiesced. Only the outcome releases it.
            Phase::Quiescing | Phase::Deciding => true,
            Phase::Checking => {
                // A member that sends requests but no verdict may be unable to receive messages. Its lease must not be
                // renewed forever.
                let resend_interval = self.settings.resend_interval.0;
                let overdue = self.settings.partition_policy == PartitionPolicy::Stop
                    && now - change.phase_started_at
                        >= Span(resend_interval * MAX_RESENDS_WITHOUT_VERDICT);
                !progress.has_completed_phase(change)
                    && (progress.has_stopped_acting(now) || overdue)
            }
        }
    }

    /// Grants a lease that ends no later than the leader's own. Returns its duration, or `None` for a lease without end.
    fn grant_lease(&mut self, now: Time, to: MemberId) -> Option<Span> {
        let duration = match self.settings.partition_policy {
            PartitionPolicy::Serve => None,
            PartitionPolicy::Stop => {
                let remaining = self.lease_end - now;
                Some(self.settings.lease_duration.min(remaining))
            }
        };
        // The member counts the duration from its request, which was sent before `now`.
        let expires = duration.map(|duration| now + self.settings.max_elapsed(duration));
        if let Some(progress) = self.members.get_mut(&to) {
            progress.lease_expires = match expires {
                None => None,
                Some(_) => progress.lease_expires.max(expires),
            };
        }
        duration
    }
}

/// Returns the time by which every lease granted by any leader up to `now` has expired, or `None` if leases do not expire.
///
/// A member's lease ends no later than the lease of the leader that granted it. While leaders' leases do not overlap, a new
/// leader therefore finds all members' leases expired, but this bound does not rely on that.
pub(super) fn latest_lease_expiry(settings: &CoordinationSettings, now: Time) -> Option<Time> {
    match settings.partition_policy {
        PartitionPolicy::Stop => Some(now + settings.max_elapsed(settings.lease_duration)),
        PartitionPolicy::Serve => None,
    }
}
