//! What happens in a run, drawn from one seed. A schedule can be stored, played again and shrunk.

mod draw;
mod scenario;

pub use scenario::{ProcessScenario, ScenarioError};

use marblefall_process_harness::link_proxy::LinkState;
use serde::{Deserialize, Serialize};

/// A kind of fault that a scenario may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// SIGKILL, and a restart some time later.
    Kill,
    /// SIGTERM, and a restart once the process has ended.
    Term,
    /// SIGSTOP, and SIGCONT some time later.
    Stop,
    /// One member is cut off from all others.
    Cut,
    /// What one member sends to the others does not arrive, or the other way round.
    OneWay,
    /// The members are partitioned into two or three parts.
    Split,
    /// One member's links are cut for a moment.
    Flap,
    /// One member's links are slow or narrow.
    Slow,
    /// One member's links are closed in the middle of frames.
    CutFrames,
    /// A voter restarts with an empty folder.
    LoseFolder,
    /// A voter restarts with an old copy of its votes.
    OldFolder,
    /// A voter restarts with the last bytes of its votes missing.
    TornFolder,
    /// A voter's disk is full for a while.
    FullDisk,
    /// All members are killed at once, and restart in any order.
    KillAll,
}

/// The processes of a run, its load, and the faults that may be injected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// How many members, 2 to 40.
    pub members: usize,
    /// How many of them vote.
    pub voters: usize,
    /// The partition policy: `stop` or `serve`.
    #[serde(rename = "on_cut")]
    pub partition_policy: String,
    /// The duration of a lease in milliseconds.
    #[serde(rename = "term_ms")]
    pub lease_ms: u64,
    /// How long steps happen, in seconds.
    pub seconds: f64,
    /// How many clients submit events.
    pub clients: usize,
    /// Pause of a client between two events, in milliseconds.
    #[serde(rename = "rest_ms")]
    pub pause_ms: u64,
    /// How long a call takes at the destination, in milliseconds.
    #[serde(rename = "call_ms")]
    pub service_ms: u64,
    /// Mean interval between two changes of the policy, in milliseconds.
    #[serde(rename = "change_every_ms")]
    pub change_interval_ms: u64,
    /// Mean interval between two faults, in milliseconds.
    #[serde(rename = "fault_every_ms")]
    pub fault_interval_ms: u64,
    /// The longest duration of a fault, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_fault_ms: u64,
    /// The faults that may be injected.
    #[serde(default)]
    pub faults: Vec<FaultKind>,
}

/// One action of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Action {
    /// A member is ended and restarted.
    Restart {
        /// The member.
        member: usize,
        /// Whether it gets SIGTERM instead of SIGKILL.
        #[serde(rename = "politely")]
        gracefully: bool,
        /// How long it is down, in milliseconds.
        down_ms: u64,
        /// What is done to its folder meanwhile.
        folder: FolderFault,
    },
    /// A member is suspended for a while.
    #[serde(rename = "stop")]
    Suspend {
        /// The member.
        member: usize,
        /// For how many milliseconds.
        ms: u64,
    },
    /// Links get a state for a while.
    Links {
        /// The members that send.
        from: Vec<usize>,
        /// The members that receive.
        to: Vec<usize>,
        /// Whether the links in the other direction get the state too.
        both: bool,
        /// The state.
        #[serde(rename = "does")]
        state: LinkState,
        /// For how many milliseconds.
        ms: u64,
    },
    /// The disk of a voter is full for a while.
    FullDisk {
        /// The member.
        member: usize,
        /// For how many milliseconds.
        ms: u64,
    },
    /// All members are killed and restarted.
    KillAll {
        /// How long they are down, in milliseconds.
        down_ms: u64,
        /// The order in which they restart.
        order: Vec<usize>,
    },
    /// A change of the policy is applied at a member.
    Change {
        /// The member.
        member: usize,
        /// The number of the change in the run.
        number: u64,
        /// The endpoint that the change drains.
        #[serde(rename = "drains")]
        drained_endpoint: Option<usize>,
    },
}

/// What is done to the folder of a member while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FolderFault {
    /// Nothing.
    #[serde(rename = "nothing")]
    None,
    /// The group's part is removed, and the home is founded again.
    Lost,
    /// The votes are replaced by a copy from the start of the run.
    Old,
    /// The last bytes of the votes are removed.
    Torn,
}

/// An action with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Milliseconds after the start of the run.
    pub at_ms: u64,
    /// The action.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The processes and the load.
    pub processes: ProcessSettings,
    /// The steps in the order of their times.
    #[serde(default)]
    pub steps: Vec<Step>,
}

impl Schedule {
    /// The same without `count` steps from the index `first` on.
    pub fn without_steps(&self, first: usize, count: usize) -> Schedule {
        let mut smaller = self.clone();
        let end = (first + count).min(self.steps.len());
        smaller.steps.drain(first..end);
        smaller
    }
}

#[cfg(test)]
mod tests;
