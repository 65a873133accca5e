//! Transitions of a pending change between its phases.

use super::{Leader, LeaderAction};
use crate::identifiers::{MemberId, Policy, ProposalId};
use crate::message::{PolicyVerdict, ToMember};
use crate::replicated_state::LeaderEntry;
use marblefall_time::Time;

/// The phase of a pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Members check the policy.
    Checking,
    /// Members stop acting.
    Quiescing,
    /// The outcome is appended to the log and not committed yet.
    Deciding,
}

/// A proposed policy without an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingChange {
    pub proposal: ProposalId,
    pub policy: Policy,
    pub phase: Phase,
    /// Time at which the current phase began.
    pub phase_started_at: Time,
}

impl PendingChange {
    /// Creates a change in its checking phase.
    pub fn new(proposal: ProposalId, policy: Policy, now: Time) -> PendingChange {
        PendingChange {
            proposal,
            policy,
            phase: Phase::Checking,
            phase_started_at: now,
        }
    }
}

impl Leader {
    /// Records an acceptance, or withdraws the change on a rejection. A rejection counts at any time before the decision,
    /// even if it is from a member that the change does not wait for.
    pub(super) fn handle_verdict(
        &mut self,
        from: MemberId,
        proposal: ProposalId,
        verdict: PolicyVerdict,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.pending_proposal() != Some(proposal) {
            return;
        }
        match verdict {
            PolicyVerdict::Accepted => {
                if let Some(progress) = self.members.get_mut(&from) {
                    progress.accepted = Some(proposal);
                }
            }
            PolicyVerdict::Rejected(reason) => self.withdraw(reason, actions),
        }
    }

    /// Begins a change with its checking phase.
    pub(super) fn begin_change(&mut self, now: Time, proposal: ProposalId, policy: Policy) {
        self.pending = Some(PendingChange::new(proposal, policy, now));
        self.send_at_next_tick();
    }

    /// Begins the quiescing phase, if the pending change is in its checking phase.
    pub(super) fn begin_quiescing(&mut self, now: Time) {
        match &mut self.pending {
            Some(change) if change.phase == Phase::Checking => {
                change.phase = Phase::Quiescing;
                change.phase_started_at = now;
                self.send_at_next_tick();
            }
            Some(_) | None => {}
        }
    }

    /// Appends the decision to put the pending policy in force.
    pub(super) fn decide(&mut self, actions: &mut Vec<LeaderAction>) {
        if let Some(change) = &mut self.pending {
            change.phase = Phase::Deciding;
            actions.push(LeaderAction::Append(LeaderEntry::InForce(change.proposal)));
        }
    }

    /// Appends the withdrawal of the pending change, unless its outcome is already decided.
    pub(super) fn withdraw(&mut self, reason: String, actions: &mut Vec<LeaderAction>) {
        match &mut self.pending {
            Some(change) if change.phase != Phase::Deciding => {
                change.phase = Phase::Deciding;
                let withdrawn = LeaderEntry::Withdrawn(change.proposal, reason);
                actions.push(LeaderAction::Append(withdrawn));
            }
            Some(_) | None => {}
        }
    }

    /// Removes and returns the pending change, if it is this proposal.
    pub(super) fn take_pending(&mut self, proposal: ProposalId) -> Option<PendingChange> {
        self.pending.take_if(|change| change.proposal == proposal)
    }

    /// Notifies all members that a proposal has its outcome.
    pub(super) fn announce_resolved(
        &mut self,
        proposal: ProposalId,
        actions: &mut Vec<LeaderAction>,
    ) {
        self.resolved = proposal;
        let members = self.members.keys();
        actions.extend(
            members.map(|member| LeaderAction::Send(*member, ToMember::Resolved(proposal))),
        );
    }

    /// Makes the messages of the current phase due at the next tick.
    fn send_at_next_tick(&mut self) {
        for progress in self.members.values_mut() {
            progress.last_sent = None;
        }
    }

    /// Returns whether the pending change waits for no member. Also true if no change is pending.
    pub(super) fn is_phase_complete(&self, now: Time) -> bool {
        self.awaited(now).next().is_none()
    }

    /// Returns the members that the pending change waits for. They have not completed its phase and may still act.
    pub(super) fn awaited(&self, now: Time) -> impl Iterator<Item = MemberId> + '_ {
        let members = self.pending.iter().flat_map(move |change| {
            let members = self.members.iter();
            members.filter(move |(_, progress)| {
                !progress.has_completed_phase(change) && !progress.has_stopped_acting(now)
            })
        });
        members.map(|(member, _)| *member)
    }

    /// Sends the message of the current phase to each member that has not completed it, once per resend interval.
    pub(super) fn send_phase_messages(&mut self, now: Time, actions: &mut Vec<LeaderAction>) {
        let Some(change) = &self.pending else { return };
        for (member, progress) in &mut self.members {
            let due = progress
                .last_sent
                .is_none_or(|sent_at| now - sent_at >= self.settings.resend_interval);
            if !due || progress.has_completed_phase(change) {
                continue;
            }
            let message = match change.phase {
                Phase::Checking => {
                    ToMember::CheckPolicy(change.proposal, self.committed, change.policy.clone())
                }
                Phase::Quiescing => ToMember::Quiesce(change.proposal),
                Phase::Deciding => continue,
            };
            progress.last_sent = Some(now);
            actions.push(LeaderAction::Send(*member, message));
        }
    }
}
