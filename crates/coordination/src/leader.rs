//! The leader: grants leases, and takes a proposed policy through the two-phase change.
//!
//! A pending change goes through three phases: *checking*, in which every member gives its verdict on the policy;
//! *quiescing*, in which every member stops acting; *deciding*, in which the outcome is in the log and not committed yet.
//! The leader decides for the policy only once every member has confirmed that it is quiesced, or has surely stopped
//! acting because its lease has expired. A negative verdict, a timeout or an operator withdraws the change.

use crate::identifiers::{Epoch, MemberId, Policy, ProposalId, Revision};
use crate::message::{LeaseGrant, LeaseRequest, PolicyVerdict, ToLeader, ToMember};
use crate::replicated_state::{LeaderEntry, ReplicatedState};
use crate::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};
use std::collections::BTreeMap;

/// After so many resend intervals without a verdict a member gets no further lease before it gives one.
const MAX_RESENDS_BEFORE_NO_LEASE: i64 = 3;

/// What the leader's driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderAction {
    /// Send this to a member.
    Send(MemberId, ToMember),
    /// Append this to the log.
    Append(LeaderEntry),
}

/// What this leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MemberProgress {
    /// When the member's last lease has surely expired; `None` is never.
    lease_expires: Option<Time>,
    /// Operators confirmed that it is stopped.
    excluded: bool,
    checked: Option<ProposalId>,
    quiesced: Option<ProposalId>,
    /// When the message of the current phase was last sent.
    last_sent: Option<Time>,
}

impl MemberProgress {
    /// Whether the member has surely stopped acting by itself.
    fn has_expired(&self, now: Time) -> bool {
        self.excluded || self.lease_expires.is_some_and(|expires| expires <= now)
    }

    /// Whether the member has done what the phase asks for.
    fn is_done(&self, change: &PendingChange) -> bool {
        match change.phase {
            Phase::Checking => self.checked == Some(change.proposal),
            Phase::Quiescing => self.quiesced == Some(change.proposal),
            Phase::Deciding => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Checking,
    Quiescing,
    /// An outcome is in the log, and not committed yet.
    Deciding,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingChange {
    proposal: ProposalId,
    policy: Policy,
    phase: Phase,
    /// When the phase began.
    since: Time,
}

/// The leader of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: CoordinationSettings,
    epoch: Epoch,
    /// The end of its own lease: until then it is the only leader.
    lease_end: Time,
    members: BTreeMap<MemberId, MemberProgress>,
    committed: Revision,
    policy: Policy,
    resolved: ProposalId,
    pending: Option<PendingChange>,
}

impl Leader {
    /// A leader that was just elected, with the state of the log. A lease that an earlier leader granted may last for a
    /// whole lease duration from now.
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
            checked: None,
            quiesced: None,
            last_sent: None,
        };
        let pending = state.pending.as_ref().map(|change| PendingChange {
            proposal: change.proposal,
            policy: change.policy.clone(),
            phase: Phase::Checking,
            since: now,
        });
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

    /// The epoch that it leads.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The revision in force.
    pub fn committed_revision(&self) -> Revision {
        self.committed
    }

    /// The proposal that has no outcome yet.
    pub fn pending_proposal(&self) -> Option<ProposalId> {
        self.pending.as_ref().map(|change| change.proposal)
    }

    /// Whether there is a pending change that is past its checking phase.
    pub fn is_past_checking(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|change| change.phase != Phase::Checking)
    }

    /// Members that the pending change waits for.
    pub fn awaited_members(&self, now: Time) -> Vec<MemberId> {
        self.awaited(now).collect()
    }

    /// Whether it is surely the only leader at this moment.
    pub fn holds_lease(&self, now: Time) -> bool {
        now < self.lease_end
    }

    /// It is the only leader until then.
    pub fn extend_lease(&mut self, until: Time) {
        self.lease_end = self.lease_end.max(until);
    }

    /// The number that a change proposed now would have.
    ///
    /// # Errors
    /// The proposal that is pending, as there is at most one.
    pub fn next_proposal(&self) -> Result<ProposalId, ProposalId> {
        match &self.pending {
            Some(change) => Err(change.proposal),
            None => Ok(ProposalId(self.resolved.0 + 1)),
        }
    }

    /// An entry of the log is committed. The first outcome of a proposal is its outcome; later ones change nothing.
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

    /// A member has sent a message.
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
                // The next leader must know as well.
                return actions.push(LeaderAction::Append(LeaderEntry::Readmitted(from)));
            }
            ToLeader::LeaseRequest(request) => {
                self.handle_lease_request(now, from, request, actions);
            }
            ToLeader::PolicyChecked(proposal, verdict) => {
                self.handle_verdict(from, proposal, verdict, actions);
            }
            // From the first request to quiesce on, this leader grants no lease until the outcome: whichever process of
            // the member responds to it, neither that one nor a later one holds a lease.
            ToLeader::Quiesced(proposal, epoch) if epoch == self.epoch => {
                progress.quiesced = Some(proposal);
            }
            ToLeader::Quiesced(..) => {}
        }
        self.tick(now, actions);
    }

    /// Operators withdraw the pending change.
    pub fn withdraw_by_operator(&mut self, actions: &mut Vec<LeaderAction>) {
        self.withdraw("withdrawn by an operator".to_owned(), actions);
    }

    /// Time has passed: moves the pending change on, and sends again what has no response.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<LeaderAction>) {
        if self.is_phase_complete(now) {
            self.begin_quiescing(now);
        }
        let Some(change) = &self.pending else { return };
        let elapsed = now - change.since;
        match change.phase {
            Phase::Checking => {
                let timed_out = self.settings.partition_policy == PartitionPolicy::Stop
                    && elapsed >= self.settings.check_timeout;
                if timed_out {
                    let reason = "not every member has answered in time".to_owned();
                    return self.withdraw(reason, actions);
                }
            }
            Phase::Quiescing if self.is_phase_complete(now) => return self.decide(actions),
            Phase::Quiescing => {
                if elapsed >= self.settings.quiesce_timeout {
                    let reason = "not every member has stopped in time".to_owned();
                    return self.withdraw(reason, actions);
                }
            }
            Phase::Deciding => return,
        }
        self.send_phase_messages(now, actions);
    }

    /// Grants a lease, unless the pending change stands against it.
    fn handle_lease_request(
        &mut self,
        now: Time,
        from: MemberId,
        request: LeaseRequest,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.change_forbids_lease(now, from) {
            // Sends again what the change waits for: the member may not have received it, or has only just started.
            if let Some(progress) = self.members.get_mut(&from) {
                progress.last_sent = None;
            }
            let resolved = ToMember::Resolved(self.resolved);
            return actions.push(LeaderAction::Send(from, resolved));
        }
        // Beyond the leader's own lease there may be another leader.
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

    /// Whether a member gets no lease before the pending change is resolved, or before its verdict on it.
    fn change_forbids_lease(&self, now: Time, member: MemberId) -> bool {
        let (Some(change), Some(progress)) = (&self.pending, self.members.get(&member)) else {
            return false;
        };
        match change.phase {
            // A member that was quiesced and requests a lease may have restarted: only the outcome releases it.
            Phase::Quiescing | Phase::Deciding => true,
            Phase::Checking => {
                // A member whose requests arrive and that gives no verdict may receive nothing: its lease must expire
                // some time.
                let resend_interval = self.settings.resend_interval.0;
                let overdue = self.settings.partition_policy == PartitionPolicy::Stop
                    && now - change.since >= Span(resend_interval * MAX_RESENDS_BEFORE_NO_LEASE);
                !progress.is_done(change) && (progress.has_expired(now) || overdue)
            }
        }
    }

    /// Grants a lease that ends with the leader's own at the latest; returns its duration, `None` is without end.
    fn grant_lease(&mut self, now: Time, to: MemberId) -> Option<Span> {
        let duration = match self.settings.partition_policy {
            PartitionPolicy::Serve => None,
            PartitionPolicy::Stop => {
                let remaining = self.lease_end - now;
                Some(self.settings.lease_duration.min(remaining))
            }
        };
        // It counts from the request, which was before now.
        let expires = duration.map(|duration| now + self.settings.max_elapsed(duration));
        if let Some(progress) = self.members.get_mut(&to) {
            progress.lease_expires = match expires {
                None => None,
                Some(_) => progress.lease_expires.max(expires),
            };
        }
        duration
    }

    /// A rejection counts for as long as nothing is decided, also from a member that is not waited for.
    fn handle_verdict(
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
                    progress.checked = Some(proposal);
                }
            }
            PolicyVerdict::Rejected(reason) => self.withdraw(reason, actions),
        }
    }

    fn begin_change(&mut self, now: Time, proposal: ProposalId, policy: Policy) {
        self.pending = Some(PendingChange {
            proposal,
            policy,
            phase: Phase::Checking,
            since: now,
        });
        self.forget_sent();
    }

    /// Moves a change whose checking phase is complete to the next phase.
    fn begin_quiescing(&mut self, now: Time) {
        match &mut self.pending {
            Some(change) if change.phase == Phase::Checking => {
                change.phase = Phase::Quiescing;
                change.since = now;
                self.forget_sent();
            }
            Some(_) | None => {}
        }
    }

    fn decide(&mut self, actions: &mut Vec<LeaderAction>) {
        if let Some(change) = &mut self.pending {
            change.phase = Phase::Deciding;
            actions.push(LeaderAction::Append(LeaderEntry::InForce(change.proposal)));
        }
    }

    fn withdraw(&mut self, reason: String, actions: &mut Vec<LeaderAction>) {
        match &mut self.pending {
            Some(change) if change.phase != Phase::Deciding => {
                change.phase = Phase::Deciding;
                let withdrawn = LeaderEntry::Withdrawn(change.proposal, reason);
                actions.push(LeaderAction::Append(withdrawn));
            }
            Some(_) | None => {}
        }
    }

    fn take_pending(&mut self, proposal: ProposalId) -> Option<PendingChange> {
        self.pending.take_if(|change| change.proposal == proposal)
    }

    fn announce_resolved(&mut self, proposal: ProposalId, actions: &mut Vec<LeaderAction>) {
        self.resolved = proposal;
        let members = self.members.keys();
        actions.extend(
            members.map(|member| LeaderAction::Send(*member, ToMember::Resolved(proposal))),
        );
    }

    /// The messages of a new phase are sent at once.
    fn forget_sent(&mut self) {
        for progress in self.members.values_mut() {
            progress.last_sent = None;
        }
    }

    fn is_phase_complete(&self, now: Time) -> bool {
        self.awaited(now).next().is_none()
    }

    /// Members that the pending change waits for: those that have not done what its phase asks for, and may still act.
    fn awaited(&self, now: Time) -> impl Iterator<Item = MemberId> + '_ {
        let members = self.pending.iter().flat_map(move |change| {
            let members = self.members.iter();
            members.filter(move |(_, progress)| {
                !progress.is_done(change) && !progress.has_expired(now)
            })
        });
        members.map(|(member, _)| *member)
    }

    /// Sends each member that has not done it what the phase asks for, once per resend interval.
    fn send_phase_messages(&mut self, now: Time, actions: &mut Vec<LeaderAction>) {
        let Some(change) = &self.pending else { return };
        for (member, progress) in &mut self.members {
            let due = progress
                .last_sent
                .is_none_or(|sent_at| now - sent_at >= self.settings.resend_interval);
            if !due || progress.is_done(change) {
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

/// When all leases have expired that some leader may have granted up to now; `None` is never. A lease ends with its
/// leader's own, so a new leader finds all expired where those hold; that they do is its driver's guarantee, which this
/// does not rely on.
fn latest_lease_expiry(settings: &CoordinationSettings, now: Time) -> Option<Time> {
    match settings.partition_policy {
        PartitionPolicy::Stop => Some(now + settings.max_elapsed(settings.lease_duration)),
        PartitionPolicy::Serve => None,
    }
}
