//! The faults of a run, drawn from one seed. A plan can be stored, played again and shrunk.

mod draw;

use marblefall_fault_plan::FaultKind;
use serde::{Deserialize, Serialize};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlannedFaultKind {
    /// A process gets SIGTERM, SIGKILL if it has not ended 3.7 s later, and is restarted 0.6 s after its end. Signals of
    /// other faults that are due meanwhile follow in a series.
    Terminate,
    /// A process gets SIGKILL, and is restarted 0.6 s later.
    Kill,
    /// A process is started beside the running one, which then gets SIGTERM.
    Replace,
    /// A process is suspended for a tenth of a second.
    #[serde(alias = "hold-up")]
    Suspend,
    /// A process reads its configuration again.
    Reload,
    /// System calls of a process fail.
    System(SystemFault),
    /// The endpoints of a destination misbehave.
    Endpoint(EndpointFault),
    /// What passes between the processes and an endpoint is disturbed.
    Proxy(ProxyFault),
    /// Discovery of a process fails, or the endpoint list changes.
    Discovery(DiscoveryFault),
    /// Clients of a process misbehave.
    Clients(ClientFault),
}

impl PlannedFaultKind {
    /// Whether it is carried out by a signal or a start of a process.
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

    /// The kind of system call fault, if it is one.
    pub fn system_fault(self) -> Option<FaultKind> {
        match self {
            PlannedFaultKind::System(SystemFault(kind)) => Some(kind),
            _ => None,
        }
    }
}

/// A fault of system calls, which the shim injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SystemFault(pub FaultKind);

/// No fault of system calls has this name.
#[derive(Debug, thiserror::Error)]
#[error("no fault is called {0}")]
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

/// How the endpoints of a destination misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// Reads calls and never responds.
    #[serde(alias = "hangs")]
    Hang,
    /// Closes each connection.
    Down,
    /// Responds to every call with 500.
    #[serde(alias = "errors")]
    InternalError,
    /// Rejects every call with 503 and no Retry-After.
    #[serde(alias = "shut")]
    RejectAll,
    /// Rejects every call with 429 and a Retry-After of the fault's amount in milliseconds.
    #[serde(alias = "waits")]
    RetryAfter,
    /// Takes most of a second for each call.
    Slow,
}

impl EndpointFault {
    /// Whether it is an outage, after which the destination warms up.
    pub fn is_outage(self) -> bool {
        !matches!(self, EndpointFault::Slow | EndpointFault::RetryAfter)
    }
}

/// How a proxy disturbs connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyFault {
    /// Resets connections as they are opened.
    #[serde(alias = "refuses")]
    Refuse,
    /// Forwards nothing, and closes nothing.
    #[serde(alias = "swallows")]
    Blackhole,
    /// Delays each piece by a tenth of a second.
    #[serde(alias = "delays")]
    Delay,
    /// Forwards half a response, then closes the connection.
    #[serde(alias = "cuts-answers")]
    CutResponses,
    /// Resets the connection once a request was forwarded.
    #[serde(alias = "resets-under-requests")]
    ResetAfterRequest,
    /// Closes connections that are idle for a moment.
    #[serde(alias = "closes-idle")]
    CloseIdle,
    /// Forwards byte by byte.
    #[serde(alias = "trickles")]
    ByteByByte,
}

/// How discovery fails, or the endpoint list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    /// Discovery sends nothing.
    Down,
    /// Watches that are open fall silent for good; new ones work.
    SilentWatches,
    /// An endpoint drains, and serves again afterwards.
    #[serde(alias = "drains")]
    DrainEndpoint,
    /// An endpoint leaves the list, and is listed again afterwards.
    #[serde(alias = "removes")]
    RemoveEndpoint,
}

/// How clients misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientFault {
    /// They send half a request and stay connected.
    HalfRequests,
    /// They send a request and close the connection before the response.
    LeaveEarly,
    /// They open many connections and send nothing.
    #[serde(alias = "crowd")]
    SilentConnections,
    /// They send bytes that are no request.
    Garbage,
    /// A crowd of them sends one request each and stays connected.
    IdleConnections,
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// When it begins, in milliseconds after the start of the run.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// The process, endpoint or destination that it is injected into, modulo their number.
    pub target: usize,
    /// How many calls of a thousand fail, or by how many milliseconds a clock is stepped.
    pub amount: i64,
    /// What it is.
    pub kind: PlannedFaultKind,
}

impl PlannedFault {
    /// Whether it is injected into one of `count` targets.
    pub fn is_for(&self, target: usize, count: usize) -> bool {
        self.target % count == target
    }
}

/// The faults of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed of all random draws.
    pub seed: u64,
    /// How many processes run.
    pub processes: usize,
    /// How long clients send, in seconds.
    pub seconds: u64,
    /// The faults in the order of their times.
    #[serde(alias = "troubles")]
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// The plan without one of its faults.
    pub fn without(&self, index: usize) -> Plan {
        let mut plan = self.clone();
        plan.faults.remove(index);
        plan
    }
}

#[cfg(test)]
mod tests;
