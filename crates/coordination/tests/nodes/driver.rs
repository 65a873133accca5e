//! The simulated driver of a node, which executes the node's actions on the simulated disk and links.

use super::common::{rejects, verdict, MS};
use super::mutant::Mutant;
use super::simulation::Simulation;
use marblefall_coordination::identifiers::{ClockReading, MemberId};
use marblefall_coordination::node::{Frame, Node, NodeAction};
use rand::Rng;

/// Time for which a node is down after a crash during a write.
const CRASH_TIME: i64 = 300 * MS;
/// Probability that a node with [`Mutant::SendsBeforeWriting`] crashes during a write.
const CRASH_PROBABILITY: f64 = 0.05;
/// Probability that a frame is slow while faults are enabled.
const SLOW_FRAME_PROBABILITY: f64 = 0.02;
/// Upper limit of the latency of a frame, in milliseconds.
const MAX_LATENCY_MS: i64 = 8;
/// Upper limit of the latency of a slow frame, in milliseconds.
const MAX_SLOW_LATENCY_MS: i64 = 300;

impl Simulation {
    /// Calls a member's node and executes the resulting actions.
    pub fn call(
        &mut self,
        member: MemberId,
        call: impl FnOnce(&mut Node, ClockReading, &mut Vec<NodeAction>),
    ) {
        let simulated_now = self.now;
        let daemon = self.daemon_mut(member);
        let now = ClockReading {
            monotonic: daemon.clock.reading(simulated_now),
            unix_ms: 0,
        };
        let Some(node) = &mut daemon.node else { return };
        let mut actions = Vec::new();
        call(node, now, &mut actions);
        self.execute(member, actions);
    }

    fn execute(&mut self, member: MemberId, actions: Vec<NodeAction>) {
        let mut written = true;
        for action in actions {
            match action {
                NodeAction::Write(bytes) => written = self.write(member, bytes),
                NodeAction::Send(..) if !written => {}
                NodeAction::Send(to, frame) => self.send(member, to, frame),
                NodeAction::CheckPolicy(proposal, _, policy) => {
                    let verdict = verdict(rejects(&policy, member));
                    self.call(member, |node, now, actions| {
                        node.handle_checked(now, proposal, verdict, actions);
                    });
                }
                NodeAction::ApplyPolicy(revision, policy) => {
                    self.log(&format!("{member:?} applies {revision:?}"));
                    self.invariants.check_applied(revision, policy);
                    self.daemon_mut(member).applied = Some(revision);
                }
                NodeAction::Reply(number, reply) => self.check_outcome(number.0, reply),
                NodeAction::Log(code, text) => self.log(&format!("{member:?} {code}: {text}")),
            }
        }
    }

    /// Writes a voter's state. Returns whether messages that depend on it may be sent.
    fn write(&mut self, member: MemberId, bytes: Vec<u8>) -> bool {
        let now = self.now;
        let daemon = self.daemons.get_mut(&member).unwrap();
        if daemon.disk_full_until > now {
            daemon.node.iter_mut().for_each(Node::handle_write_failed);
            return false;
        }
        if self.mutant == Mutant::SendsBeforeWriting && self.rng.random_bool(CRASH_PROBABILITY) {
            assert!(daemon.node.is_some());
            daemon.lose_write(&bytes);
            daemon.down_until = now + CRASH_TIME;
            self.log(&format!("{member:?} crashes before its write"));
        } else {
            daemon.disk = Some(bytes);
        }
        true
    }

    fn send(&mut self, from: MemberId, to: MemberId, frame: Frame) {
        if to == from {
            return self.daemon_mut(from).inbox.push((from, frame));
        }
        let slow = self.faults_enabled && self.rng.random_bool(SLOW_FRAME_PROBABILITY);
        let max_ms = if slow {
            MAX_SLOW_LATENCY_MS
        } else {
            MAX_LATENCY_MS
        };
        let arrives_at = self.now + self.rng.random_range(1..max_ms) * MS;
        let link = self.links.get_mut(&(from, to)).unwrap();
        link.send(self.now, arrives_at, frame);
    }
}
