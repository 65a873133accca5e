//! The state machine of a member, which determines whether the member may act and under which policy.
//!
//! A process starts without a policy, and acts only while it holds a lease that it requested itself. Once it has confirmed
//! that it is quiesced for a change, it does not act again before it has received the outcome of the change.

use crate::identifiers::{Epoch, Policy, ProcessIncarnation, ProposalId, Revision};
use crate::message::{LeaseGrant, LeaseRequest, ToLeader, ToMember};
use crate::settings::CoordinationSettings;
use marblefall_time::{Span, Time};

/// Number of lease requests after which a member that was released from quiescing and still has no lease counts as
/// partitioned from the group.
const MAX_REQUESTS_AFTER_RELEASE: i64 = 4;
/// Number of requests per lease duration. Two responses in a row may be lost before the lease expires.
const REQUESTS_PER_LEASE: i64 = 3;

/// An action that the member's driver must take.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send this message to the leader.
    Send(ToLeader),
    /// Check a policy that is proposed to follow this revision against the messages that the instances hold, and send the
    /// verdict as [`ToLeader::PolicyChecked`].
    CheckPolicy(ProposalId, Revision, Policy),
    /// Store the policy and act under it from now on.
    ApplyPolicy(Revision, Policy),
}

/// The permission to act under a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The revision of the policy that the member acts under.
    pub revision: Revision,
    /// End of the lease; `None` under [`PartitionPolicy::Serve`](crate::settings::PartitionPolicy::Serve), where leases do
    /// not end.
    pub until: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeaseState {
    /// The member has no lease and does not know which policy is in force.
    Unknown {
        /// Time at which an outcome released the member from quiescing; `None` if it has not been quiesced.
        released_at: Option<Time>,
    },
    /// The member holds a lease and may act until its end.
    Held {
        /// End of the lease; `None` under [`PartitionPolicy::Serve`](crate::settings::PartitionPolicy::Serve), where leases
        /// do not end.
        until: Option<Time>,
    },
    /// The member does not act until it receives the outcome of this proposal.
    Quiesced(ProposalId),
}

/// One run of a member's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    settings: CoordinationSettings,
    incarnation: ProcessIncarnation,
    lease: LeaseState,
    /// The revision of the policy that was last applied.
    applied: Option<Revision>,
    /// The latest epoch from which a message was received.
    epoch: Epoch,
    /// The latest proposal with a known outcome.
    resolved: ProposalId,
    last_request: Option<Time>,
}

impl Member {
    /// Creates the member of a starting process, without a lease or a policy.
    pub fn new(settings: CoordinationSettings, incarnation: ProcessIncarnation) -> Member {
        Member {
            settings,
            incarnation,
            lease: LeaseState::Unknown { released_at: None },
            applied: None,
            epoch: Epoch(0),
            resolved: ProposalId(0),
            last_request: None,
        }
    }

    /// Returns the lease that the member holds at `now`. Must be called immediately before each act, because the process may
    /// have been suspended since an earlier call.
    pub fn lease(&self, now: Time) -> Option<Lease> {
        match self.lease {
            LeaseState::Held { until } if until.is_none_or(|until| now < until) => {
                self.applied.map(|revision| Lease { revision, until })
            }
            LeaseState::Held { .. } | LeaseState::Unknown { .. } | LeaseState::Quiesced(_) => None,
        }
    }

    /// Returns whether the member is quiesced for a change, or was recently released and is requesting a lease. Submitted
    /// messages then wait instead of being rejected.
    pub fn is_quiesced(&self, now: Time) -> bool {
        match self.lease {
            LeaseState::Quiesced(_) => true,
            LeaseState::Unknown {
                released_at: Some(released_at),
            } => {
                let resend_interval = self.settings.resend_interval.0;
                now - released_at < Span(resend_interval * MAX_REQUESTS_AFTER_RELEASE)
            }
            LeaseState::Unknown { released_at: None } | LeaseState::Held { .. } => false,
        }
    }

    /// Returns the revision of the policy that was last applied.
    pub fn applied(&self) -> Option<Revision> {
        self.applied
    }

    /// Returns the time at which [`Member::tick`] must be called next.
    pub fn next_wake(&self, now: Time) -> Time {
        self.last_request
            .map_or(now, |sent_at| sent_at + self.request_interval())
    }

    /// Requests a lease if the next request is due.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<MemberAction>) {
        if self.next_wake(now) <= now {
            self.request_lease(now, actions);
        }
    }

    /// Handles a message from the leader of `epoch`. Messages from a former leader and leases granted to an earlier process
    /// are ignored.
    pub fn handle_message(
        &mut self,
        now: Time,
        epoch: Epoch,
        message: ToMember,
        actions: &mut Vec<MemberAction>,
    ) {
        if epoch < self.epoch {
            return;
        }
        self.epoch = epoch;
        match message {
            ToMember::CheckPolicy(proposal, follows, policy) if proposal > self.resolved => {
                actions.push(MemberAction::CheckPolicy(proposal, follows, policy));
            }
            ToMember::Quiesce(proposal) if proposal > self.resolved => {
                self.lease = LeaseState::Quiesced(proposal);
                actions.push(MemberAction::Send(ToLeader::Quiesced(proposal, epoch)));
            }
            ToMember::Resolved(proposal) => self.handle_resolved(now, proposal, actions),
            ToMember::LeaseGranted(grant) if grant.incarnation == self.incarnation => {
                self.handle_grant(now, grant, actions);
            }
            ToMember::CheckPolicy(..) | ToMember::Quiesce(_) | ToMember::LeaseGranted(_) => {}
        }
    }

    fn handle_resolved(
        &mut self,
        now: Time,
        proposal: ProposalId,
        actions: &mut Vec<MemberAction>,
    ) {
        self.resolved = self.resolved.max(proposal);
        match self.lease {
            LeaseState::Quiesced(quiesced) if quiesced <= self.resolved => {
                self.lease = LeaseState::Unknown {
                    released_at: Some(now),
                };
                self.request_lease(now, actions);
            }
            LeaseState::Quiesced(_) | LeaseState::Unknown { .. } | LeaseState::Held { .. } => {}
        }
    }

    fn handle_grant(&mut self, now: Time, grant: LeaseGrant, actions: &mut Vec<MemberAction>) {
        // A lease that was granted before the member was quiesced is void.
        let is_void = match self.lease {
            LeaseState::Quiesced(quiesced) => grant.resolved < quiesced,
            LeaseState::Unknown { .. } | LeaseState::Held { .. } => false,
        };
        let until = grant
            .duration
            .map(|duration| Time(grant.sent_at) + self.settings.min_elapsed(Span(duration)));
        let has_expired = until.is_some_and(|until| until <= now);
        if is_void || grant.resolved < self.resolved || has_expired {
            return;
        }
        if self.applied != Some(grant.committed) {
            // A grant without the policy's content is ignored. The next request reports the old revision, so the leader
            // sends the content.
            let Some(policy) = grant.policy else { return };
            self.applied = Some(grant.committed);
            actions.push(MemberAction::ApplyPolicy(grant.committed, policy));
            // Report the applied revision at once, because operators wait for it.
            self.request_lease(now, actions);
        }
        self.resolved = grant.resolved;
        let until = match self.lease {
            // Grants may arrive out of order.
            LeaseState::Held { until: earlier } => earlier.max(until),
            LeaseState::Unknown { .. } | LeaseState::Quiesced(_) => until,
        };
        self.lease = LeaseState::Held { until };
    }

    fn request_lease(&mut self, now: Time, actions: &mut Vec<MemberAction>) {
        self.last_request = Some(now);
        actions.push(MemberAction::Send(ToLeader::LeaseRequest(LeaseRequest {
            incarnation: self.incarnation,
            sent_at: now.0,
            applied: self.applied,
        })));
    }

    fn request_interval(&self) -> Span {
        match self.lease {
            LeaseState::Held { .. } => Span(self.settings.lease_duration.0 / REQUESTS_PER_LEASE),
            LeaseState::Unknown { .. } | LeaseState::Quiesced(_) => self.settings.resend_interval,
        }
    }
}
