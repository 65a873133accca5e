//! A simulated machine with its node, disk and clock.

use super::common::MemberClock;
use super::mutant::Mutant;
use marblefall_coordination::identifiers::{MemberId, Revision};
use marblefall_coordination::node::{Frame, Node};
use marblefall_time::Time;

/// A machine with a node, its disk and its clock.
pub struct Daemon {
    pub node: Option<Node>,
    pub disk: Option<Vec<u8>>,
    /// Earlier contents of the disk.
    pub backups: Vec<Option<Vec<u8>>>,
    /// The revision of the policy that is stored on the disk.
    pub applied: Option<Revision>,
    pub down_until: i64,
    pub suspended_until: i64,
    pub disk_full_until: i64,
    pub clock: MemberClock,
    pub inbox: Vec<(MemberId, Frame)>,
    /// The revision under which the node last acted. Used by mutants.
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

    /// Returns whether the voter participates, or `true` if the node has no voter. Returns `None` while no node is running.
    pub fn participates(&self) -> Option<bool> {
        let status = self.node.as_ref().map(Node::voting_status);
        status.map(|status| status.is_none_or(|status| status.participates))
    }

    /// Returns the revision under which the node acts at `now`, or `None` if it does not act.
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
