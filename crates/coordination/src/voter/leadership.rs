//! Leader election by the consensus library, and the leader's own lease.
//!
//! A leader sends [`VoterMessage::ConfirmLeader`] several times per lease. Once a majority, including itself, has confirmed
//! a round, no other leader exists for a lease duration from the time when the round was sent.

use super::{Participation, Voter, VoterAction, VoterMessage};
use crate::identifiers::{Epoch, MemberId};
use crate::replicated_state::LogEntry;
use marblefall_time::{Span, Time};
use omnipaxos::ballot_leader_election::Ballot;
use std::collections::BTreeSet;

/// Number of rounds within one lease.
const ROUNDS_PER_LEASE: i64 = 4;
/// Bits below the configuration in an epoch.
const CONFIGURATION_SHIFT: u32 = 44;
/// Bits below the ballot's number in an epoch.
const BALLOT_NUMBER_SHIFT: u32 = 8;
/// Bits of the voter's number in an epoch.
const VOTER_MASK: u64 = 0xff;

/// A voter's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leadership {
    /// It does not lead.
    Follower,
    /// It leads in the consensus library, and the entry that starts its epoch is not committed yet.
    Starting(Epoch),
    /// It leads.
    Leading(Epoch),
}

impl Leadership {
    /// The epoch that the voter leads, or is about to lead.
    fn epoch(self) -> Option<Epoch> {
        match self {
            Leadership::Follower => None,
            Leadership::Starting(epoch) | Leadership::Leading(epoch) => Some(epoch),
        }
    }

    /// Whether the voter leads.
    pub(super) fn is_leading(self) -> bool {
        matches!(self, Leadership::Leading(_))
    }
}

/// One round of a leader's requests for confirmation.
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

    /// The entry that starts an epoch is committed. This voter leads from now on, if the epoch is its own.
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

    /// Starts a round of confirmation, if this voter leads and it is time to.
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

    /// Confirms a round, if this voter's last promise is to the leader of this epoch.
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

    /// Extends the lease, if a majority has confirmed the round.
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
        // A majority, together with the leader itself.
        if round.confirmed_by.len() >= self.voters.len() / 2 {
            let until = round.sent_at + self.lease_duration;
            self.lease_rounds.retain(|round| round.number > number);
            actions.push(VoterAction::LeaseExtended(until));
        }
    }

    /// The epoch in which this voter leads in the consensus library. The only voter always leads.
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

/// The epoch of a ballot: epochs have the order of the library's ballots. The configuration has the highest bits, then the
/// ballot's number of 32 bits, then the voter's number.
fn epoch_of(ballot: Ballot) -> Epoch {
    let configuration = u64::from(ballot.config_id) << CONFIGURATION_SHIFT;
    let number = u64::from(ballot.n) << BALLOT_NUMBER_SHIFT;
    Epoch(configuration | number | (ballot.pid & VOTER_MASK))
}
