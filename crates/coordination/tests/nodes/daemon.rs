//! A simulated machine with its node, disk and clock, and a link between two of them.

use super::common::MemberClock;
use super::simulation::Mutant;
use marblefall_coordination::identifiers::{MemberId, Revision};
use marblefall_coordination::node::{Frame, Node};
use marblefall_time::Time;
use std::collections::VecDeque;

/// Frames under way from one node to another arrive in the order in which they were sent.
pub struct Link {
    frames: VecDeque<(i64, Frame)>,
    partitioned_until: i64,
    /// When the sender's connection is established, if there is none.
    connects_at: Option<i64>,
}

impl Link {
    /// A link whose connection is established at the first step.
    pub fn new() -> Link {
        Link {
            frames: VecDeque::new(),
            partitioned_until: 0,
            connects_at: Some(0),
        }
    }

    pub fn partition(&mut self, until: i64) {
        self.partitioned_until = until;
        self.reconnect(until);
    }

    /// Sends a frame, unless there is no connection.
    pub fn send(&mut self, now: i64, arrives_at: i64, frame: Frame) {
        if !self.is_partitioned(now) && self.connects_at.is_none() {
            let last = self.frames.back().map_or(0, |(at, _)| *at);
            self.frames.push_back((arrives_at.max(last), frame));
        }
    }

    /// Whether the sender's connection is established now.
    pub fn connect(&mut self, now: i64) -> bool {
        self.connects_at.take_if(|at| *at <= now).is_some()
    }

    /// The next frame that has arrived.
    pub fn receive(&mut self, now: i64) -> Option<Frame> {
        let frame = self.frames.pop_front_if(|(at, _)| *at <= now);
        frame.map(|(_, frame)| frame)
    }

    pub fn is_partitioned(&self, now: i64) -> bool {
        self.partitioned_until > now
    }

    pub fn reconnect(&mut self, at: i64) {
        self.connects_at = Some(at);
        self.frames.clear();
    }
}

/// One machine: a node, its disk and its clock.
pub struct Daemon {
    pub node: Option<Node>,
    pub disk: Option<Vec<u8>>,
    /// Copies of the disk that were made at times.
    pub backups: Vec<Option<Vec<u8>>>,
    /// The policy on its disk.
    pub applied: Option<Revision>,
    pub down_until: i64,
    pub suspended_until: i64,
    pub disk_full_until: i64,
    pub clock: MemberClock,
    pub inbox: Vec<(MemberId, Frame)>,
    /// What it last acted under, for mutants.
    pub last_acted: Option<Revision>,
}

impl Daemon {
    pub fn new(clock: MemberClock) -> Daemon {
        Daemon {
            node: None,
            disk: None,
            backups: Vec::new(),
            applied: None,
            down_until: 0,
            suspended_until: 0,
            disk_full_until: 0,
            clock,
            inbox: Vec::new(),
            last_acted: None,
        }
    }

    /// Whether its voter participates, if it has one.
    pub fn participates(&self) -> Option<bool> {
        let status = self.node.as_ref().map(Node::voting_status);
        status.map(|status| status.is_none_or(|status| status.participates))
    }

    /// What the node acts under at this moment, if it does.
    pub fn acts_under(&mut self, now: Time, mutant: Mutant) -> Option<Revision> {
        let node = self.node.as_ref()?;
        let lease = node.lease(now).map(|lease| lease.revision);
        let is_quiesced = node.is_quiesced(now);
        let acts = match mutant {
            Mutant::ActsAfterLease if !is_quiesced => lease.or(self.last_acted),
            Mutant::TrustsStoredPolicy | Mutant::ActsWhileQuiesced => lease.or(self.last_acted),
            _ => lease,
        };
        if mutant == Mutant::ActsWhileQuiesced && lease.is_none() && !is_quiesced {
            self.last_acted = None;
        }
        if lease.is_some() {
            self.last_acted = lease.filter(|_| mutant != Mutant::TrustsStoredPolicy);
        }
        acts
    }
}
