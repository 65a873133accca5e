//! Fault injection into the simulated group.

use super::common::MS;
use super::mutant::Mutant;
use super::simulation::{Simulation, MAX_CLOCK_OFFSET};
use marblefall_coordination::identifiers::MemberId;
use rand::Rng;

/// Number of equally likely choices in a step. The first ones are faults, and the others inject nothing.
const CHOICES: u32 = 600;
/// Probability that the leader is deposed when that fault is chosen.
const DEPOSITION_PROBABILITY: f64 = 0.4;

impl Simulation {
    /// Injects a random fault, or none in most steps.
    pub fn inject_fault(&mut self) {
        let id = MemberId(self.rng.random_range(0..self.members.len() as u32));
        let duration = self.rng.random_range(20..1500) * MS;
        let (until, ms) = (self.now + duration, duration / MS);
        match self.rng.random_range(0..CHOICES) {
            0 => {
                self.log_line(&format!("{id:?} is restarted"));
                self.start(id);
                let offset = self.rng.random_range(0..MAX_CLOCK_OFFSET);
                let member = self.member_mut(id);
                member.applied = None;
                member.clock.offset = offset;
            }
            1 => {
                self.log_line(&format!("{id:?} is suspended for {ms} ms"));
                self.member_mut(id).suspended_until = until;
            }
            2 => {
                self.log_line(&format!("{id:?} is partitioned for {ms} ms"));
                self.member_mut(id).partitioned_until = until;
            }
            3 if self.mutant == Mutant::RestoresEarlierState => {
                let member = self.member_mut(id);
                if member.before_quiesce.is_some() {
                    member.state = member.before_quiesce.take();
                }
            }
            4 if self.rng.random_bool(DEPOSITION_PROBABILITY) => {
                // Another leader is elected after the lease of this one has expired.
                self.log_line("the leader is deposed");
                self.is_deposed = true;
                self.appended.clear();
            }
            _ => {}
        }
    }
}
