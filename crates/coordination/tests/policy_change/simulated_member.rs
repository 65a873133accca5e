//! A simulated machine with a member's process and a clock.

use super::common::MemberClock;
use super::mutant::Mutant;
use marblefall_coordination::identifiers::Revision;
use marblefall_coordination::member::Member;

/// A machine with a member's process.
pub struct SimulatedMember {
    /// The member's process; `None` while it is stopped.
    pub state: Option<Member>,
    pub clock: MemberClock,
    pub suspended_until: i64,
    pub partitioned_until: i64,
    /// The process's state before it was last quiesced. Used by a mutant.
    pub before_quiesce: Option<Member>,
    pub applied: Option<Revision>,
}

impl SimulatedMember {
    pub fn new(clock: MemberClock) -> SimulatedMember {
        SimulatedMember {
            state: None,
            clock,
            suspended_until: 0,
            partitioned_until: 0,
            before_quiesce: None,
            applied: None,
        }
    }

    /// Returns the revision under which the member acts at `now`, or `None` if it does not act.
    pub fn acts_under(&self, now: i64, mutant: Mutant) -> Option<Revision> {
        let state = self.state.as_ref()?;
        let now = self.clock.reading(now);
        match mutant {
            Mutant::ActsAfterLease if !state.is_quiesced(now) => self.applied,
            _ => state.lease(now).map(|lease| lease.revision),
        }
    }
}
