//! The leader: grants leases, and takes a proposed policy through the two-phase change.
//!
//! A pending change has three phases:
//! - *Checking*: every member sends its verdict on the policy.
//! - *Quiescing*: every member stops acting.
//! - *Deciding*: the outcome is appended to the log and not committed yet.
//!
//! The leader puts the policy in force only once every member has confirmed that it is quiesced, or has certainly stopped
//! acting because its lease has expired. A rejection, a timeout or an operator's request withdraws the change.

mod leases;
mod pending_change;
mod progress;

use crate::identifiers::{Epoch, MemberId, Policy, ProposalId, Revision};
use crate::message::{ToLeader, ToMember};
use crate::replicated_state::{LeaderEntry, ReplicatedState};
use crate::settings::{CoordinationSettings, PartitionPolicy};
use leases::latest_lease_expiry;
use marblefall_time::{Span, Time};
use pending_change::{PendingChange, Phase};
use progress::MemberProgress;
use std::collections::BTreeMap;

/// An action that the leader's driver must take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderAction {
    /// Send this message to a member.
    Send(MemberId, ToMember),
    /// Append this entry to the log.
    Append(LeaderEntry),
}

/// The leader of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: CoordinationSettings,
    epoch: Epoch,
    /// End of the leader's own lease. Until then no other leader exists.
    lease_end: Time,
    members: BTreeMap<MemberId, MemberProgress>,
    /// The revision in force.
    committed: Revision,
    policy: Policy,
    /// The last proposal with an outcome.
    resolved: ProposalId,
    pending: Option<PendingChange>,
}

impl Leader {
    /// Creates a newly elected leader from the replicated state. Every member is assumed to have been granted a lease by an
    /// earlier leader at `now`.
    pub fn elected(
        settings: CoordinationSettings,
        epoch: Epoch,
        now: Time,
        members: &[MemberId],
        state: &ReplicatedState,
    ) -> Leader {
        let progress = |member: &MemberId| MemberProgress {
            lease_expires: latest_lease_expiry(&settings, now),
            excluded: state.excluded.contains(member),
            accepted: None,
            quiesced: None,
            last_sent: None,
        };
        let pending = state
            .pending
            .as_ref()
            .map(|change| PendingChange::new(change.proposal, change.policy.clone(), now));
        Leader {
            settings,
            epoch,
            lease_end: now,
            members: members
                .iter()
                .map(|member| (*member, progress(member)))
                .collect(),
            committed: state.committed,
            policy: state.policy.clone(),
            resolved: state.resolved,
            pending,
        }
    }

    /// Returns the leader's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the revision in force.
    pub fn committed_revision(&self) -> Revision {
        self.committed
    }

    /// Returns the proposal that has no outcome yet, if there is one.
    pub fn pending_proposal(&self) -> Option<ProposalId> {
        self.pending.as_ref().map(|change| change.proposal)
    }

    /// Returns whether a change is pending and has completed its checking phase.
    pub fn is_past_checking(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|change| change.phase != Phase::Checking)
    }

    /// Returns the members that the pending change waits for.
    pub fn awaited_members(&self, now: Time) -> Vec<MemberId> {
        self.awaited(now).collect()
    }

    /// Returns whether the leader's own lease is valid, so that no other leader can exist.
    pub fn holds_lease(&self, now: Time) -> bool {
        now < self.lease_end
    }

    /// Extends the leader's own lease to `until`. The caller guarantees that no other leader exists before then.
    pub fn extend_lease(&mut self, until: Time) {
        self.lease_end = self.lease_end.max(until);
    }

    /// Returns the number for the next proposal, or `None` while a change is pending.
    pub fn next_proposal(&self) -> Option<ProposalId> {
        match &self.pending {
            Some(_) => None,
            None => Some(ProposalId(self.resolved.0 + 1)),
        }
    }

    /// Applies a committed entry of the log. The first outcome of a proposal is final, and later outcomes are ignored.
    pub fn handle_committed(
        &mut self,
        now: Time,
        entry: LeaderEntry,
        actions: &mut Vec<LeaderAction>,
    ) {
        match entry {
            LeaderEntry::Proposed(proposal, policy, _) => {
                if self.pending.is_none() && proposal > self.resolved {
                    self.begin_change(now, proposal, policy);
                }
            }
            LeaderEntry::InForce(proposal) => {
                if let Some(change) = self.take_pending(proposal) {
                    self.committed = Revision(self.committed.0 + 1);
                    self.policy = change.policy;
                    self.announce_resolved(proposal, actions);
                }
            }
            LeaderEntry::Withdrawn(proposal, _) => {
                if self.take_pending(proposal).is_some() {
                    self.announce_resolved(proposal, actions);
                }
            }
            LeaderEntry::Excluded(member) => {
                if let Some(progress) = self.members.get_mut(&member) {
                    progress.excluded = true;
                }
            }
            LeaderEntry::Readmitted(member) => {
                if let Some(progress) = self.members.get_mut(&member) {
                    progress.excluded = false;
                    progress.lease_expires = latest_lease_expiry(&self.settings, now);
                }
            }
        }
        self.tick(now, actions);
    }

    /// Handles a message from a member.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: MemberId,
        message: ToLeader,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(progress) = self.members.get_mut(&from) else {
            return;
        };
        match message {
            ToLeader::LeaseRequest(_) if progress.excluded => {
                // The readmission is appended to the log so that later leaders apply it too.
                return actions.push(LeaderAction::Append(LeaderEntry::Readmitted(from)));
            }
            ToLeader::LeaseRequest(request) => {
                self.handle_lease_request(now, from, request, actions);
            }
            ToLeader::PolicyChecked(proposal, verdict) => {
                self.handle_verdict(from, proposal, verdict, actions);
            }
            // This leader grants no lease between its first request to quiesce and the outcome. Whichever process of the
            // member sends the confirmation, neither that process nor a later one holds a lease.
            ToLeader::Quiesced(proposal, epoch) if epoch == self.epoch => {
                progress.quiesced = Some(proposal);
            }
            ToLeader::Quiesced(..) => {}
        }
        self.tick(now, actions);
    }

    /// Withdraws the pending change at an operator's request.
    pub fn withdraw_by_operator(&mut self, actions: &mut Vec<LeaderAction>) {
        self.withdraw("withdrawn by an operator".to_owned(), actions);
    }

    /// Advances the pending change, and resends messages that have not been answered.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<LeaderAction>) {
        if self.is_phase_complete(now) {
            self.begin_quiescing(now);
        }
        let Some(change) = &self.pending else { return };
        let elapsed = now - change.phase_started_at;
        match change.phase {
            Phase::Checking if self.has_check_timed_out(elapsed) => {
                let reason = "not every member has answered in time".to_owned();
                self.withdraw(reason, actions);
            }
            Phase::Quiescing if self.is_phase_complete(now) => self.decide(actions),
            Phase::Quiescing if elapsed >= self.settings.quiesce_timeout => {
                let reason = "not every member has stopped in time".to_owned();
                self.withdraw(reason, actions);
            }
            Phase::Checking | Phase::Quiescing => self.send_phase_messages(now, actions),
            Phase::Deciding => {}
        }
    }

    fn has_check_timed_out(&self, elapsed: Span) -> bool {
        self.settings.partition_policy == PartitionPolicy::Stop
            && elapsed >= self.settings.check_timeout
    }
}
