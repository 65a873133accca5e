//! The simulated network between members and leaders.

use super::common::MS;
use super::mutant::Mutant;
use super::simulation::{Appended, Simulation};
use marblefall_coordination::identifiers::{Epoch, MemberId};
use marblefall_coordination::leader::Leader;
use marblefall_coordination::message::{PolicyVerdict, ToLeader, ToMember};
use marblefall_coordination::replicated_state::LeaderEntry;
use rand::Rng;

/// Probability that a message is lost while faults are enabled.
const LOSS_PROBABILITY: f64 = 0.05;
/// Probability that a message is slow while faults are enabled.
const SLOW_PROBABILITY: f64 = 0.05;
/// Upper limit of the latency of a message, in milliseconds.
const MAX_LATENCY_MS: i64 = 10;
/// Upper limit of the latency of a slow message, in milliseconds.
const MAX_SLOW_LATENCY_MS: i64 = 400;

/// A message in flight.
pub enum Message {
    ToLeader(MemberId, ToLeader),
    ToMember(MemberId, Epoch, ToMember),
}

impl Simulation {
    /// Sends a message. While faults are enabled, it may be lost or slow.
    pub fn send(&mut self, message: Message) {
        let member = match &message {
            Message::ToLeader(member, _) | Message::ToMember(member, ..) => *member,
        };
        let is_partitioned = self.members[&member].partitioned_until > self.now;
        if is_partitioned || self.faults_enabled && self.rng.random_bool(LOSS_PROBABILITY) {
            return;
        }
        let slow = self.faults_enabled && self.rng.random_bool(SLOW_PROBABILITY);
        let max_ms = if slow {
            MAX_SLOW_LATENCY_MS
        } else {
            MAX_LATENCY_MS
        };
        self.sent += 1;
        let arrives_at = self.now + self.rng.random_range(1..max_ms) * MS;
        self.in_flight.insert((arrives_at, self.sent), message);
    }

    /// Delivers all messages that have arrived.
    pub fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > self.now {
                return;
            }
            match first.remove() {
                Message::ToLeader(member, message) => self.deliver_to_leaders(member, &message),
                Message::ToMember(member, epoch, message) => {
                    self.deliver_to_member(member, epoch, message);
                }
            }
        }
    }

    fn deliver_to_leaders(&mut self, member: MemberId, message: &ToLeader) {
        self.record_rejection(message);
        for index in 0..self.leaders.len() {
            self.call_leader(index, |leader, now, actions| {
                leader.handle_message(now, member, message.clone(), actions);
            });
        }
    }

    fn deliver_to_member(&mut self, id: MemberId, epoch: Epoch, message: ToMember) {
        let now = self.now;
        let member = self.members.get_mut(&id).unwrap();
        if member.suspended_until > now {
            // The message waits in the socket buffer.
            self.sent += 1;
            let arrives_at = (member.suspended_until, self.sent);
            let message = Message::ToMember(id, epoch, message);
            self.in_flight.insert(arrives_at, message);
            return;
        }
        if let ToMember::Quiesce(proposal) = &message {
            if self.mutant == Mutant::ActsWhileQuiesced {
                let quiesced = ToLeader::Quiesced(*proposal, epoch);
                return self.send(Message::ToLeader(id, quiesced));
            }
            member.before_quiesce = member.state.clone();
        }
        self.call_member(id, |state, now, actions| {
            state.handle_message(now, epoch, message, actions);
        });
    }

    /// Records a rejection that the leader receives before its decision, because such a rejection must withdraw the change.
    fn record_rejection(&mut self, message: &ToLeader) {
        let ToLeader::PolicyChecked(proposal, PolicyVerdict::Rejected(_)) = message else {
            return;
        };
        let in_force = LeaderEntry::InForce(*proposal);
        let is_decided = |appended: &Appended| appended.entry == in_force;
        let leader = self.leaders.last().filter(|_| !self.is_deposed);
        let is_pending = leader.and_then(Leader::pending_proposal) == Some(*proposal);
        if is_pending && !self.appended.iter().any(is_decided) {
            self.rejected.push(*proposal);
        }
    }
}
