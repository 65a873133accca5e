//! Schedules: the steps of a run, drawn from a seed. A schedule can be stored, played again and shrunk.

mod draw;
mod scenario;

pub use scenario::{ProcessScenario, ScenarioError};

use marblefall_process_harness::link_proxy::LinkState;
use serde::{Deserialize, Serialize};

/// A kind of fault that a scenario may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A member gets SIGKILL and restarts some time later.
    Kill,
    /// A member gets SIGTERM, is killed if it has not exited soon after, and restarts some time later.
    Term,
    /// A member gets SIGSTOP, and SIGCONT some time later.
    Stop,
    /// The links between one member and all others are cut.
    Cut,
    /// The links between one member and all others are cut in one direction.
    OneWay,
    /// The members are partitioned into two or three parts.
    Split,
    /// The links of one member are cut for a short time.
    Flap,
    /// The links of one member are delayed or throttled.
    Slow,
    /// The connections of one member are closed in the middle of frames.
    CutFrames,
    /// A voter is killed and restarts without the files of its group.
    LoseFolder,
    /// A voter is killed and restarts with the votes from the start of the run.
    OldFolder,
    /// A voter is killed and restarts without the last bytes of its votes.
    TornFolder,
    /// A voter cannot store votes for a while.
    FullDisk,
    /// All members are killed at once and restart in a random order.
    KillAll,
}

/// The processes of a run, its load, and the faults that may be injected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Number of members, 2 to 40.
    pub members: usize,
    /// Number of voters, 1 to 9 and at most the number of members.
    pub voters: usize,
    /// The partition policy: `stop` or `serve`.
    #[serde(rename = "on_cut")]
    pub partition_policy: String,
    /// Duration of a lease, in milliseconds, 200 to 3000.
    #[serde(rename = "term_ms")]
    pub lease_ms: u64,
    /// Duration of the schedule, in seconds, 1 to 7200.
    pub seconds: f64,
    /// Number of clients that submit events, at most 64.
    pub clients: usize,
    /// Time that a client pauses after each event, in milliseconds.
    #[serde(rename = "rest_ms")]
    pub pause_ms: u64,
    /// Duration of a call at the destination, in milliseconds.
    #[serde(rename = "call_ms")]
    pub service_ms: u64,
    /// Mean interval between two changes of the policy, in milliseconds, at least 50.
    #[serde(rename = "change_every_ms")]
    pub change_interval_ms: u64,
    /// Mean interval between two faults, in milliseconds, at least 50.
    #[serde(rename = "fault_every_ms")]
    pub fault_interval_ms: u64,
    /// Maximum duration of a fault, in milliseconds, at least 10.
    #[serde(rename = "longest_ms")]
    pub max_fault_ms: u64,
    /// The kinds of faults that may be injected.
    #[serde(default)]
    pub faults: Vec<FaultKind>,
}

/// One action of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Action {
    /// A member is stopped and restarted.
    Restart {
        /// The member.
        member: usize,
        /// Whether the member gets SIGTERM before SIGKILL.
        #[serde(rename = "politely")]
        gracefully: bool,
        /// Time that the member is down, in milliseconds.
        down_ms: u64,
        /// The fault of the member's folder while the member is down.
        folder: FolderFault,
    },
    /// A member is suspended for a while.
    #[serde(rename = "stop")]
    Suspend {
        /// The member.
        member: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// Links are in a state for a while.
    Links {
        /// The members that send.
        from: Vec<usize>,
        /// The members that receive.
        to: Vec<usize>,
        /// Whether the links in the opposite direction are in the state too.
        both: bool,
        /// The state of the links.
        #[serde(rename = "does")]
        state: LinkState,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// A voter cannot store votes for a while.
    FullDisk {
        /// The voter's number.
        member: usize,
        /// Duration in milliseconds.
        ms: u64,
    },
    /// All members are killed and restarted.
    KillAll {
        /// Time from the kill to the first restart, in milliseconds.
        down_ms: u64,
        /// The members in the order in which they restart.
        order: Vec<usize>,
    },
    /// A change of the policy is applied at a member.
    Change {
        /// The member.
        member: usize,
        /// The number of the change in the run.
        number: u64,
        /// The endpoint that the change drains; `None` if it drains none.
        #[serde(rename = "drains")]
        drained_endpoint: Option<usize>,
    },
}

/// A fault of the folder of a member that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderFault {
    /// The folder stays as it is.
    #[serde(rename = "nothing")]
    None,
    /// The files of the group are removed, and the group is founded again in the home.
    Lost,
    /// The votes are replaced by a copy from the start of the run.
    Old,
    /// The last bytes of the votes are removed.
    Torn,
}

/// An action and its time in the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds after the start of the run.
    pub at_ms: u64,
    /// The action at this time.
    #[serde(flatten)]
    pub action: Action,
}

/// The settings and the steps of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed from which the schedule was drawn.
    pub seed: u64,
    /// The processes, the load and the kinds of faults.
    pub processes: ProcessSettings,
    /// The steps, ordered by time.
    #[serde(default)]
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Returns the schedule without the `count` steps that start at index `first`, or fewer at the end of the steps.
    pub fn without_steps(&self, first: usize, count: usize) -> Schedule {
        let mut smaller = self.clone();
        let end = (first + count).min(self.steps.len());
        smaller.steps.drain(first..end);
        smaller
    }
}

#[cfg(test)]
mod tests;
