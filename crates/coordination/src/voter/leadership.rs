//! Leader election by the consensus library, and the leader's own lease.
//!
//! A leader sends [`VoterMessage::ConfirmLeader`] in several rounds per lease. Once a majority, including the leader, has
//! confirmed a round, no other leader exists for one lease duration, counted from the time at which the round was sent.

use super::{Participation, Voter, VoterAction, VoterMessage};
use crate::identifiers::{Epoch, MemberId};
use crate::replicated_state::LogEntry;
use marblefall_time::{Span, Time};
use omnipaxos::ballot_leader_election::Ballot;
use std::collections::BTreeSet;

/// Number of confirmation rounds per lease duration.
const ROUNDS_PER_LEASE: i64 = 4;
/// Position of the configuration's number in an epoch, in bits.
const CONFIGURATION_SHIFT: u32 = 44;
/// Position of the ballot's number in an epoch, in bits.
const BALLOT_NUMBER_SHIFT: u32 = 8;
/// Mask of the voter's number in an epoch.
const VOTER_MASK: u64 = 0xff;

/// The role of a voter in leader election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leadership {
    /// The voter is not the leader.
    Follower,
    /// The consensus library has elected the voter. The entry that starts its epoch is not committed yet.
    Starting(Epoch),
    /// The voter is the leader of this epoch.
    Leading(Epoch),
}

impl Leadership {
    /// Returns the epoch in which the voter leads or is about to lead.
    fn epoch(self) -> Option<Epoch> {
        match self {
            Leadership::Follower => None,
            Leadership::Starting(epoch) | Leadership::Leading(epoch) => Some(epoch),
        }
    }

    /// Returns whether the voter is the leader.
    pub(super) fn is_leading(self) -> bool {
        matches!(self, Leadership::Leading(_))
    }
}

/// One round in which a leader requests confirmations from the other voters.
pub(super) struct LeaseRound {
    number: u64,
    sent_at: Time,
    confirmed_by: BTreeSet<MemberId>,
}

impl Voter {
    /// Applies the outcome of the consensus library's leader election.
    pub(super) fn update_leadership(&mut self, actions: &mut Vec<VoterAction>) {
        let epoch = self.elected_epoch();
        if epoch == self.leadership.epoch() {
            return;
        }
        if self.leadership.is_leading() {
            actions.push(VoterAction::Deposed);
        }
        self.lease_rounds.clear();
        self.leadership = match epoch {
            None => Leadership::Follower,
            Some(epoch) => {
                self.propose(LogEntry::EpochStarted(epoch));
                Leadership::Starting(epoch)
            }
        };
    }

    /// Handles the committed entry that starts an epoch. This voter is the leader from now on if the epoch is its own.
    pub(super) fn handle_epoch_started(
        &mut self,
        now: Time,
        epoch: Epoch,
        actions: &mut Vec<VoterAction>,
    ) {
        if self.leadership == Leadership::Starting(epoch) {
            self.leadership = Leadership::Leading(epoch);
            self.next_lease_round = now;
            actions.push(VoterAction::Elected(epoch));
            self.renew_lease(now, actions);
        }
    }

    /// Starts a confirmation round if this voter is the leader and the next round is due.
    pub(super) fn renew_lease(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        let Leadership::Leading(epoch) = self.leadership else {
            return;
        };
        if now < self.next_lease_round {
            return;
        }
        self.next_lease_round = now + Span(self.lease_duration.0 / ROUNDS_PER_LEASE);
        if self.is_only_voter {
            return actions.push(VoterAction::LeaseExtended(now + self.lease_duration));
        }
        self.last_lease_round += 1;
        let lease_duration = self.lease_duration;
        self.lease_rounds
            .retain(|round| now - round.sent_at < lease_duration);
        self.lease_rounds.push(LeaseRound {
            number: self.last_lease_round,
            sent_at: now,
            confirmed_by: BTreeSet::new(),
        });
        let request = VoterMessage::ConfirmLeader(epoch, self.last_lease_round);
        self.send_to_others(&request, actions);
    }

    /// Confirms a round if this voter's last promise is to the leader of `epoch`.
    pub(super) fn handle_confirm_leader(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        round: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        let promised = self
            .paxos
            .as_ref()
            .map(|paxos| epoch_of(paxos.get_promise()));
        if self.participation == Participation::Participating
            && promised == Some(epoch)
            && !self.storage.state().is_configuration_ending()
        {
            let confirmed = VoterMessage::LeaderConfirmed(epoch, round);
            actions.push(VoterAction::Send(from, confirmed));
        }
    }

    /// Records the confirmation of a round, and extends the lease if a majority has now confirmed it.
    pub(super) fn handle_leader_confirmed(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        number: u64,
        actions: &mut Vec<VoterAction>,
    ) {
        if self.leadership != Leadership::Leading(epoch) {
            return;
        }
        let mut rounds = self.lease_rounds.iter_mut();
        let Some(round) = rounds.find(|round| round.number == number) else {
            return;
        };
        round.confirmed_by.insert(from);
        // These voters and the leader itself are a majority.
        if round.confirmed_by.len() >= self.voters.len() / 2 {
            let until = round.sent_at + self.lease_duration;
            self.lease_rounds.retain(|round| round.number > number);
            actions.push(VoterAction::LeaseExtended(until));
        }
    }

    /// Returns the epoch for which the consensus library has elected this voter, if it has. An only voter is always elected.
    fn elected_epoch(&self) -> Option<Epoch> {
        let Some(paxos) = &self.paxos else {
            let next = Epoch(self.state.epoch.0 + 1);
            return Some(self.leadership.epoch().unwrap_or(next));
        };
        let own_id = self.paxos_id(self.own_id);
        let (leader, accepts) = paxos.get_current_leader()?;
        (Some(leader) == own_id && accepts).then(|| epoch_of(paxos.get_promise()))
    }
}

/// Returns the epoch of a ballot. Epochs have the same order as the library's ballots: the highest bits are the
/// configuration's number, followed by the ballot's number of 32 bits and the voter's number.
fn epoch_of(ballot: Ballot) -> Epoch {
    let configuration = u64::from(ballot.config_id) << CONFIGURATION_SHIFT;
    let number = u64::from(ballot.n) << BALLOT_NUMBER_SHIFT;
    Epoch(configuration | number | (ballot.pid & VOTER_MASK))
}
