//! Simulated leader elections.

use super::common::MS;
use super::mutant::Mutant;
use super::simulation::Simulation;
use marblefall_coordination::identifiers::{Epoch, MemberId};
use marblefall_coordination::leader::Leader;
use marblefall_coordination::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use marblefall_time::Time;
use rand::Rng;
use std::collections::BTreeMap;

/// Duration of a leader's own lease, in microseconds.
const LEADER_LEASE: i64 = 400 * MS;
/// Probability of an election in each step after the latest leader's lease has expired.
const ELECTION_PROBABILITY: f64 = 0.02;
/// Maximum number of simulated leaders, including former ones.
const MAX_LEADERS: usize = 2;

impl Simulation {
    /// Elects a new leader at some time after the lease of the latest one has expired, and extends leaders' leases.
    pub fn update_leadership(&mut self) {
        let has_expired = self.leader_lease_end <= self.now;
        if has_expired && (self.leaders.is_empty() || self.rng.random_bool(ELECTION_PROBABILITY)) {
            self.elect();
        } else if !self.is_deposed && !self.leaders.is_empty() {
            self.leader_lease_end = self.now + LEADER_LEASE;
        }
        let latest = self.leaders.len().checked_sub(1);
        for (index, leader) in self.leaders.iter_mut().enumerate() {
            if Some(index) == latest {
                leader.extend_lease(Time(self.leader_lease_end));
            } else if self.mutant == Mutant::LeadsAfterLease {
                leader.extend_lease(Time(self.now + LEADER_LEASE));
            }
        }
    }

    fn elect(&mut self) {
        self.epoch += 1;
        self.is_deposed = false;
        self.log_line(&format!("leader {} is elected", self.epoch));
        // Entries of an earlier leader are committed either before the election or never.
        self.appended.clear();
        // The new leader requests all verdicts again, including those that only the earlier leader has received.
        if self.mutant != Mutant::IgnoresRejection {
            self.rejected.clear();
        }
        let members: Vec<MemberId> = self.members.keys().copied().collect();
        let epoch = Epoch(self.epoch);
        let state = self.replicated_state();
        let leader = Leader::elected(self.settings, epoch, Time(self.now), &members, &state);
        self.leaders.push(leader);
        if self.leaders.len() > MAX_LEADERS {
            self.leaders.remove(0);
        }
        self.leader_lease_end = self.now + LEADER_LEASE;
    }

    /// Returns the replicated state from which a new leader starts.
    fn replicated_state(&self) -> ReplicatedState {
        let mut state = ReplicatedState::new(BTreeMap::new());
        for entry in &self.log {
            let is_outcome = matches!(entry, LeaderEntry::InForce(_));
            if is_outcome && self.mutant == Mutant::IgnoresCommittedOutcomes {
                continue;
            }
            state.apply(LogEntry::Leader {
                epoch: Epoch(0),
                unix_ms: 0,
                entry: entry.clone(),
            });
        }
        state
    }
}
