//! Whether a voter leads, by the consensus library, and until when it is the only leader.
//!
//! A leader sends [`VoterMessage::ConfirmLeader`] several times per lease. Once a majority, itself included, has
//! confirmed a round, it is the only leader for a lease duration from when the round was sent.

use super::{Participation, Voter, VoterAction, VoterMessage};
use crate::identifiers::{Epoch, MemberId};
use crate::replicated_state::LogEntry;
use marblefall_time::{Span, Time};
use omnipaxos::ballot_leader_election::Ballot;
use std::collections::BTreeSet;

/// Rounds that are sent within one lease.
const ROUNDS_PER_LEASE: i64 = 4;

/// Whether a voter leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leadership {
    /// It does not.
    Follower,
    /// By the consensus library it does; the entry that starts its epoch is not committed yet.
    Starting(Epoch),
    /// It does.
    Leading(Epoch),
}

impl Leadership {
    /// The epoch that the voter leads, or is about to.
    fn epoch(self) -> Option<Epoch> {
        match self {
            Leadership::Follower => None,
            Leadership::Starting(epoch) | Leadership::Leading(epoch) => Some(epoch),
        }
    }

    pub(super) fn is_leading(self) -> bool {
        matches!(self, Leadership::Leading(_))
    }
}

/// A question of a leader whether it is still the only one.
pub(super) struct LeaseRound {
    number: u64,
    sent_at: Time,
    confirmed_by: BTreeSet<MemberId>,
}

impl Voter {
    /// Follows the consensus library's leader election.
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

    /// The entry that starts an epoch is committed: this voter leads if it is its own.
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

    /// A leader asks the other voters whether it is still the only one, if it is time to.
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
        let question = VoterMessage::ConfirmLeader(epoch, self.last_lease_round);
        self.send_to_others(&question, actions);
    }

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
        // With the leader itself it is a majority.
        if round.confirmed_by.len() >= self.voters.len() / 2 {
            let until = round.sent_at + self.lease_duration;
            self.lease_rounds.retain(|round| round.number > number);
            actions.push(VoterAction::LeaseExtended(until));
        }
    }

    /// The epoch in which this voter leads by the consensus library; an only voter always leads.
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

/// Epochs are in the order of the library's ballots, and configurations before them.
fn epoch_of(ballot: Ballot) -> Epoch {
    Epoch(u64::from(ballot.config_id) << 44 | u64::from(ballot.n) << 8 | (ballot.pid & 0xff))
}
