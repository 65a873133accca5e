//! The state of the model.

use marblefall_coordination::identifiers::{Author, Epoch, MemberId, Policy, Revision};
use marblefall_coordination::leader::Leader;
use marblefall_coordination::member::Member;
use marblefall_coordination::message::{ToLeader, ToMember};
use marblefall_coordination::replicated_state::{LeaderEntry, ReplicatedState};
use marblefall_coordination::settings::{CoordinationSettings, PartitionPolicy};
use marblefall_time::{Span, Time};
use std::collections::BTreeSet;

/// The unit of time, in microseconds.
pub const UNIT: i64 = 1000;
/// Duration of a leader's own lease, in microseconds.
pub const LEADER_LEASE: i64 = 2 * UNIT;
/// Rate of a fast clock, in percent of simulated time.
const FAST_CLOCK_PERCENT: i64 = 104;
/// Rate of a slow clock, in percent of simulated time.
const SLOW_CLOCK_PERCENT: i64 = 96;

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    ToLeader(MemberId, ToLeader),
    ToMember(MemberId, Epoch, ToMember),
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub now: i64,
    pub replicated: ReplicatedState,
    /// The latest leader, preceded by earlier ones that have not noticed it. Only the latest leader's entries are committed.
    pub leaders: Vec<Leader>,
    /// End of the latest leader's own lease, in microseconds.
    pub leader_lease_end: i64,
    /// Entries that are appended and not committed yet.
    pub appended: Vec<(Epoch, LeaderEntry)>,
    pub members: Vec<Member>,
    /// The revision under which each member last acted. Used by the mutant.
    pub last_acted: Vec<Option<Revision>>,
    /// Number of processes that have been started.
    pub starts: u64,
    pub in_flight: BTreeSet<Message>,
    pub restarts: u8,
    pub elections: u8,
    /// The highest revision under which any member has acted.
    pub highest_revision: Revision,
    /// Whether a member has acted under a lower revision than the highest one at that time.
    pub is_violated: bool,
    pub has_proposed: bool,
}

/// Returns the group's settings.
pub fn settings() -> CoordinationSettings {
    CoordinationSettings {
        partition_policy: PartitionPolicy::Stop,
        lease_duration: Span(2 * UNIT),
        clock_drift_percent: 10,
        check_timeout: Span(4 * UNIT),
        quiesce_timeout: Span(4 * UNIT),
        resend_interval: Span(2 * UNIT),
    }
}

/// Returns the reading of a member's clock. Member 1 has a fast clock and member 2 a slow one, both within the permitted
/// drift.
pub fn clock(member: usize, now: i64) -> Time {
    Time(match member % 3 {
        1 => now * FAST_CLOCK_PERCENT / 100,
        2 => now * SLOW_CLOCK_PERCENT / 100,
        _ => now,
    })
}

impl ModelState {
    /// Proposes a change at the latest leader. Returns `None` if no change can be proposed.
    pub fn propose(&mut self) -> Option<()> {
        self.has_proposed = true;
        let leader = self.leaders.last()?;
        let proposal = leader.next_proposal()?;
        let policy = Policy::from(&b"second"[..]);
        let entry = LeaderEntry::Proposed(proposal, policy, Author::default());
        self.appended.push((leader.epoch(), entry));
        Some(())
    }

    /// Returns whether all members may act under this revision.
    pub fn all_act_under(&self, revision: Revision) -> bool {
        let mut members = self.members.iter().enumerate();
        members.all(|(index, member)| {
            member
                .lease(clock(index, self.now))
                .map(|lease| lease.revision)
                == Some(revision)
        })
    }
}
