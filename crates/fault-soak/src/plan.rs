//! What goes wrong in a run, drawn from one seed: it can be printed, played again and shrunk.

use marblefall_fault_plan::FaultKind;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Troubles for each second of a run: two or three of them overlap.
const TROUBLES_PER_SECOND: f64 = 1.4;
/// Nothing goes wrong before this, in milliseconds ...
const FIRST_MS: u64 = 1500;
/// ... nor begins in the last part of the run.
const LAST_MS: u64 = 4000;
/// An hour and a half a minute, by which the wall clock steps.
const CLOCK_STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 30_000, -30_000];

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// A process is told to end, killed 3.7 s later if it runs on, and started 0.6 s after its end.
    Terminate,
    /// A process is killed and started 0.6 s later.
    Kill,
    /// A process is started beside the running one, which is then told to end.
    Replace,
    /// A process is stopped for a tenth of a second.
    HoldUp,
    /// A process reads its configuration again.
    Reload,
    /// System calls of a process fail.
    System(SystemFault),
    /// A destination's endpoints do something else than serve.
    Endpoint(EndpointTrouble),
    /// What passes between the processes and an endpoint is disturbed.
    Proxy(ProxyTrouble),
    /// Discovery of a process is disturbed, or the list changes.
    Discovery(DiscoveryTrouble),
    /// Clients of a process misbehave.
    Clients(ClientTrouble),
}

/// A fault of the shim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SystemFault(pub FaultKind);

impl From<SystemFault> for String {
    fn from(fault: SystemFault) -> String {
        fault.0.name().to_owned()
    }
}

impl TryFrom<String> for SystemFault {
    type Error = String;

    fn try_from(name: String) -> Result<SystemFault, String> {
        let kind = FaultKind::ALL.iter().find(|kind| kind.name() == name);
        kind.map(|kind| SystemFault(*kind))
            .ok_or_else(|| format!("no fault is called {name}"))
    }
}

/// What a destination's endpoints do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointTrouble {
    /// They take calls and answer nothing.
    Hangs,
    /// They end each connection.
    Down,
    /// They answer with 500.
    Errors,
    /// They turn all away with 503 and no wait.
    Shut,
    /// They turn all away with a wait of so many milliseconds.
    Waits,
    /// They take most of a second for each call.
    Slow,
}

impl EndpointTrouble {
    /// Whether it is an outage, after which they are cold.
    pub fn is_outage(self) -> bool {
        !matches!(self, EndpointTrouble::Slow | EndpointTrouble::Waits)
    }
}

/// What a proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyTrouble {
    /// Connections are reset as they come.
    Refuses,
    /// Nothing is passed on, and nothing ends.
    Swallows,
    /// Each piece waits for a tenth of a second.
    Delays,
    /// Half an answer is passed on, then the connection ends.
    CutsAnswers,
    /// The connection is reset once the request is passed on.
    ResetsUnderRequests,
    /// Connections that are idle for a moment are closed.
    ClosesIdle,
    /// Bytes pass one by one.
    Trickles,
}

/// What discovery does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryTrouble {
    /// The agent says nothing and learns nothing.
    Down,
    /// Watches that are open fall silent; new ones work.
    SilentWatches,
    /// An endpoint drains, and serves again afterwards.
    Drains,
    /// An endpoint leaves the list, and is listed again afterwards.
    Removes,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientTrouble {
    /// They open connections, send half a request and stay.
    HalfRequests,
    /// They send a request and leave before the answer.
    LeaveEarly,
    /// They open many connections at once and say nothing.
    Crowd,
    /// They send bytes that are no request.
    Garbage,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    /// When it begins, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// Which process, endpoint or destination it strikes, counted round.
    pub target: usize,
    /// Calls of a thousand that fail, or by how many milliseconds a clock steps.
    pub amount: i64,
    /// What it is.
    pub kind: TroubleKind,
}

/// A run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// What everything is drawn from.
    pub seed: u64,
    /// How many processes run.
    pub processes: usize,
    /// How long clients send, in seconds.
    pub seconds: u64,
    /// What goes wrong, in the order of time.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// Draws a run.
    pub fn draw(seed: u64, processes: usize, seconds: u64) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 32 | 0x5eed);
        let count = (seconds as f64 * TROUBLES_PER_SECOND) as usize;
        let last_ms = (seconds * 1000).saturating_sub(LAST_MS).max(FIRST_MS + 1);
        // An endpoint drains in each run: left to the draw, half of them had none.
        let mut troubles = vec![Trouble {
            kind: TroubleKind::Discovery(DiscoveryTrouble::Drains),
            ..draw_trouble(&mut rng, last_ms)
        }];
        while troubles.len() < count {
            let trouble = draw_trouble(&mut rng, last_ms);
            troubles.extend(occasion(&trouble));
            troubles.push(trouble);
        }
        troubles.sort_by_key(|trouble| trouble.from_ms);
        Plan {
            seed,
            processes,
            seconds,
            troubles,
        }
    }

    /// The plan without one of its troubles.
    pub fn without(&self, index: usize) -> Plan {
        let mut plan = self.clone();
        plan.troubles.remove(index);
        plan
    }
}

fn draw_trouble(rng: &mut Pcg64Mcg, last_ms: u64) -> Trouble {
    let kind = draw_kind(rng);
    let amount = match kind {
        TroubleKind::System(SystemFault(FaultKind::WallClockStepped)) => {
            CLOCK_STEPS_MS[rng.random_range(0..CLOCK_STEPS_MS.len())]
        }
        TroubleKind::System(SystemFault(FaultKind::TornWriteAndKill)) => 40,
        // Few calls come to these.
        TroubleKind::System(SystemFault(
            FaultKind::ConnectNoAddress | FaultKind::ConnectUnreachable | FaultKind::LockFails,
        )) => rng.random_range(700..1000),
        TroubleKind::System(SystemFault(
            FaultKind::ReceiveTimedOut | FaultKind::SendUnreachable,
        )) => rng.random_range(30..90),
        TroubleKind::System(SystemFault(FaultKind::DiskFull | FaultKind::DiskError)) => {
            [300, 1000][rng.random_range(0..2)]
        }
        _ => rng.random_range(200..800),
    };
    let is_outage = matches!(kind, TroubleKind::Endpoint(trouble) if trouble.is_outage());
    let lasts_ms = if is_outage {
        rng.random_range(5000..8000)
    } else if matches!(kind, TroubleKind::System(_)) {
        rng.random_range(1200..4500)
    } else {
        rng.random_range(400..3500)
    };
    Trouble {
        from_ms: rng.random_range(FIRST_MS..last_ms),
        lasts_ms,
        target: rng.random_range(0..1000),
        amount,
        kind,
    }
}

/// What gives a fault an occasion to strike: files and locks are opened at a start and at a takeover, connections after a
/// start.
fn occasion(trouble: &Trouble) -> Option<Trouble> {
    let TroubleKind::System(SystemFault(fault)) = trouble.kind else {
        return None;
    };
    let kind = match fault {
        FaultKind::OpenNoFiles if trouble.target.is_multiple_of(2) => TroubleKind::Replace,
        FaultKind::LockFails => TroubleKind::Replace,
        FaultKind::DiskFull
        | FaultKind::DiskError
        | FaultKind::SocketNoFiles
        | FaultKind::SocketNoBuffers
        | FaultKind::ConnectNoAddress
        | FaultKind::ConnectUnreachable
        | FaultKind::OpenNoFiles
        | FaultKind::WallClockStepped => TroubleKind::Kill,
        FaultKind::AcceptAborted
        | FaultKind::AcceptNoFiles
        | FaultKind::AcceptNoBuffers
        | FaultKind::AcceptInterrupted => TroubleKind::Clients(ClientTrouble::LeaveEarly),
        _ => return None,
    };
    // A process is back within its fault, and starts under it.
    let from_ms = if kind == TroubleKind::Kill {
        trouble.from_ms.saturating_sub(300)
    } else {
        trouble.from_ms
    };
    Some(Trouble {
        from_ms,
        kind,
        ..*trouble
    })
}

fn draw_kind(rng: &mut Pcg64Mcg) -> TroubleKind {
    use {ClientTrouble as C, DiscoveryTrouble as D, EndpointTrouble as E, ProxyTrouble as P};
    match rng.random_range(0..20) {
        0..=1 => TroubleKind::Terminate,
        2..=3 => TroubleKind::Kill,
        4 => TroubleKind::Replace,
        5 => TroubleKind::HoldUp,
        6 => TroubleKind::Reload,
        7..=11 => {
            let index = rng.random_range(0..FaultKind::ALL.len());
            TroubleKind::System(SystemFault(FaultKind::ALL[index]))
        }
        12..=13 => {
            let all = [E::Hangs, E::Down, E::Errors, E::Shut, E::Waits, E::Slow];
            TroubleKind::Endpoint(all[rng.random_range(0..all.len())])
        }
        14..=15 => {
            let all = [
                P::Refuses,
                P::Swallows,
                P::Delays,
                P::CutsAnswers,
                P::ResetsUnderRequests,
                P::ClosesIdle,
                P::Trickles,
            ];
            TroubleKind::Proxy(all[rng.random_range(0..all.len())])
        }
        16..=17 => {
            let all = [D::Down, D::SilentWatches, D::Drains, D::Removes];
            TroubleKind::Discovery(all[rng.random_range(0..all.len())])
        }
        _ => {
            let all = [C::HalfRequests, C::LeaveEarly, C::Crowd, C::Garbage];
            TroubleKind::Clients(all[rng.random_range(0..all.len())])
        }
    }
}
