//! Plans: the faults of a run, drawn from one seed. A plan can be stored, run again and shrunk.

mod draw;

use marblefall_fault_plan::FaultKind;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Calls per second that a destination accepts from all processes together.
const RATE: f64 = 30.0;
/// The same in a plan with bursts, so that calls follow each other on a connection.
const BURST_RATE: f64 = 600.0;

/// Kind of a planned fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannedFaultKind {
    /// A process receives SIGTERM, and SIGKILL if it has not ended 3.7 s later, and is restarted 0.6 s after its end.
    /// Signals of other faults that become due in between are sent as well.
    Terminate,
    /// A process receives SIGKILL, and is restarted 0.6 s later.
    Kill,
    /// A new process is started beside the running one, which receives SIGTERM once the new one listens.
    Replace,
    /// A process is suspended for 100 ms.
    #[serde(alias = "hold-up")]
    Suspend,
    /// A process receives SIGHUP and reloads its configuration.
    Reload,
    /// System calls of a process fail, or its wall clock is stepped.
    System(SystemFault),
    /// The endpoints of a destination misbehave.
    Endpoint(EndpointFault),
    /// The proxy in front of an endpoint disturbs its connections.
    Proxy(ProxyFault),
    /// Discovery of a process fails, or the endpoint list changes.
    Discovery(DiscoveryFault),
    /// Clients of a process misbehave.
    Clients(ClientFault),
    /// Messages come more than once on their connection, after the fault's amount in milliseconds.
    Repeat(RepeatFault),
}

impl PlannedFaultKind {
    /// Returns whether the fault is injected by a signal to a process or the start of a process.
    pub fn is_process_fault(self) -> bool {
        matches!(
            self,
            PlannedFaultKind::Terminate
                | PlannedFaultKind::Kill
                | PlannedFaultKind::Replace
                | PlannedFaultKind::Suspend
                | PlannedFaultKind::Reload
        )
    }

    /// Returns the kind of system call fault, or `None` for other kinds of faults.
    pub fn system_fault(self) -> Option<FaultKind> {
        match self {
            PlannedFaultKind::System(SystemFault(kind)) => Some(kind),
            _ => None,
        }
    }
}

/// A system call fault, which the shim injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SystemFault(pub FaultKind);

/// Error for a name that no system call fault has.
#[derive(Debug, thiserror::Error)]
#[error("unknown system call fault {0:?}")]
pub struct UnknownFault(String);

impl From<SystemFault> for String {
    fn from(fault: SystemFault) -> String {
        fault.0.name().to_owned()
    }
}

impl TryFrom<String> for SystemFault {
    type Error = UnknownFault;

    fn try_from(name: String) -> Result<SystemFault, UnknownFault> {
        match FaultKind::from_name(&name) {
            Some(kind) => Ok(SystemFault(kind)),
            None => Err(UnknownFault(name)),
        }
    }
}

/// Misbehavior of the endpoints of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// Read calls and never respond.
    #[serde(alias = "hangs")]
    Hang,
    /// Close each connection.
    Down,
    /// Respond to every call with 500.
    #[serde(alias = "errors")]
    InternalError,
    /// Reject every call with 503 and no Retry-After.
    #[serde(alias = "shut")]
    RejectAll,
    /// Reject every call with 429 and a Retry-After of the fault's amount in milliseconds, but at least 200 ms.
    #[serde(alias = "waits")]
    RetryAfter,
    /// Take 700 ms for each call.
    Slow,
    /// Respond with 200 and a large body that stops half way.
    HalfBody,
}

impl EndpointFault {
    /// Returns whether the fault is an outage, after which the destination goes through a slow start.
    pub fn is_outage(self) -> bool {
        !matches!(
            self,
            EndpointFault::Slow | EndpointFault::RetryAfter | EndpointFault::HalfBody
        )
    }
}

/// Disturbance of the connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyFault {
    /// Resets all connections, new and open ones.
    #[serde(alias = "refuses")]
    Refuse,
    /// Drops all bytes and keeps the connections open.
    #[serde(alias = "swallows")]
    Blackhole,
    /// Delays each chunk of bytes by 100 ms.
    #[serde(alias = "delays")]
    Delay,
    /// Forwards half of a response, then closes the connection.
    #[serde(alias = "cuts-answers")]
    CutResponses,
    /// Forwards a request, then resets the connection.
    #[serde(alias = "resets-under-requests")]
    ResetAfterRequest,
    /// Closes connections that have been idle for 60 ms.
    #[serde(alias = "closes-idle")]
    CloseIdle,
    /// Forwards each byte on its own, after a delay of 1 ms.
    #[serde(alias = "trickles")]
    ByteByByte,
}

/// Failure of discovery, or change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    /// Discovery sends neither lists nor heartbeats.
    Down,
    /// Open watches stay silent, also after the fault has ended; watches that are opened later work.
    SilentWatches,
    /// An endpoint drains, and serves again afterwards.
    #[serde(alias = "drains")]
    DrainEndpoint,
    /// An endpoint is removed from the list, and is listed again afterwards.
    #[serde(alias = "removes")]
    RemoveEndpoint,
}

/// Misbehavior of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientFault {
    /// Send half a request and stay connected.
    HalfRequests,
    /// Send a request and close the connection before the response.
    LeaveEarly,
    /// Open many connections and send nothing.
    #[serde(alias = "crowd")]
    SilentConnections,
    /// Send bytes that are not a request.
    Garbage,
    /// Open many connections, send one request on each and stay connected.
    IdleConnections,
    /// Correct clients send requests to one destination at a high rate.
    Burst,
    /// Open many connections, send most of a large request on each and stay connected.
    LargeHalfRequests,
    /// Open many connections, send a head of very many short fields on each and stay connected.
    ManyFields,
    /// Send invalid requests under ever new names on one connection, as fast as they are answered.
    Flood,
}

impl ClientFault {
    /// Returns whether the fault opens as many connections as [`CROWD_CONNECTIONS`].
    pub fn is_crowd(self) -> bool {
        matches!(
            self,
            ClientFault::LargeHalfRequests | ClientFault::ManyFields
        )
    }
}

/// Number of connections of a crowd of clients, more than a process has places for.
pub const CROWD_CONNECTIONS: usize = 700;

/// Limits of each process of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessLimits {
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Number of open descriptors.
    pub sockets: usize,
    /// Number of attempts in flight.
    pub slots: usize,
    /// Number of open messages.
    pub max_open: usize,
    /// Number of correct clients of the process.
    pub clients: u64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits {
            memory_mb: 64,
            sockets: 256,
            slots: 9,
            max_open: 40,
            clients: 2,
        }
    }
}

/// Messages that come more than once on their connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatFault {
    /// Endpoints of a destination write each response twice.
    Responses,
    /// Endpoints of a destination write the first half of each response again.
    ResponseHalves,
    /// Discovery writes each acknowledgement of notices twice, and loses every second request with notices.
    Acknowledgements,
    /// Discovery writes the list before a change again after the change, for all processes.
    Lists,
    /// Clients of a process write each request again after its response.
    Requests,
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Start of the fault, in milliseconds after the start of the plan.
    pub from_ms: u64,
    /// Duration of the fault, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Number of the process, endpoint or destination that the fault is injected into, modulo their count.
    pub target: usize,
    /// Number of calls per thousand that fail, offset of the wall clock in milliseconds, or Retry-After in milliseconds.
    pub amount: i64,
    /// Kind of the fault.
    pub kind: PlannedFaultKind,
}

impl PlannedFault {
    /// Returns the amount as a delay in milliseconds.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.amount.unsigned_abs())
    }

    /// Returns whether the fault is injected into `target`, one of `count` targets.
    pub fn is_for(&self, target: usize, count: usize) -> bool {
        self.target % count == target
    }
}

/// The parameters and the faults of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of processes.
    pub processes: usize,
    /// Time in which clients send requests, in seconds.
    pub seconds: u64,
    /// Limits of each process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Faults in the order of their start times.
    #[serde(alias = "troubles")]
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Returns the calls per second that each destination accepts from all processes together.
    pub fn rate(&self) -> f64 {
        let needs_high_rate = [
            PlannedFaultKind::Clients(ClientFault::Burst),
            PlannedFaultKind::Endpoint(EndpointFault::HalfBody),
        ];
        if self.has_any(&needs_high_rate) {
            BURST_RATE
        } else {
            RATE
        }
    }

    fn has_any(&self, kinds: &[PlannedFaultKind]) -> bool {
        self.faults.iter().any(|fault| kinds.contains(&fault.kind))
    }

    /// Returns whether messages come more than once.
    pub fn has_repeats(&self) -> bool {
        let mut kinds = self.faults.iter().map(|fault| fault.kind);
        kinds.any(|kind| matches!(kind, PlannedFaultKind::Repeat(_)))
    }

    /// Returns the plan without the fault at an index.
    pub fn without(&self, index: usize) -> Plan {
        let mut plan = self.clone();
        plan.faults.remove(index);
        plan
    }
}

#[cfg(test)]
mod tests;
