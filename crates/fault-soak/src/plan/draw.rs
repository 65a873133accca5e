//! Random generation of plans. A change in the order of the draws changes the plan of every seed.

use super::{
    ClientFault, DiscoveryFault, EndpointFault, Plan, PlannedFault, PlannedFaultKind,
    ProcessLimits, ProxyFault, RepeatFault, SystemFault,
};
use crate::endpoint::DESTINATIONS;
use marblefall_fault_plan::FaultKind;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// Number of faults per second of a run. At this rate two or three faults overlap.
const FAULTS_PER_SECOND: f64 = 1.4;
/// Earliest start of a drawn fault, in milliseconds after the start of the plan.
const FIRST_FAULT_MS: u64 = 1500;
/// Time at the end of a run in which no fault begins, in milliseconds.
const QUIET_END_MS: u64 = 4000;
/// Offsets of the wall clock, in milliseconds: an hour and half a minute, in both directions.
const CLOCK_STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 30_000, -30_000];
/// Number of writes per thousand that are torn and end with a kill of the process.
const TORN_WRITE_SHARE: i64 = 40;
/// Time between the kill of a process and the start of the fault that affects its restart, in milliseconds.
const KILL_LEAD_MS: u64 = 300;
/// Maximum number of signals that are sent around one SIGTERM.
const MAX_SHUTDOWN_SIGNALS: usize = 3;
/// Time over which the signals around a SIGTERM are spread, in milliseconds.
const SHUTDOWN_SIGNALS_MS: u64 = 3600;
/// Time by which the signals around a SIGTERM may precede it, in milliseconds.
const SHUTDOWN_SIGNALS_LEAD_MS: u64 = 200;
/// Probability that a plan opens many idle connections to a process before its shutdown.
const IDLE_CONNECTIONS_PROBABILITY: f64 = 0.35;
/// Time between the first of these connections and the SIGTERM, in milliseconds.
const IDLE_CONNECTIONS_LEAD_MS: u64 = 1500;
/// Time for which these connections stay open, in milliseconds.
const IDLE_CONNECTIONS_MS: u64 = 6000;
/// Number of drawn faults in which messages come more than once.
const REPEAT_FAULTS: usize = 6;
/// Delays of copies, in milliseconds: most are shorter than connections rest.
const COPY_DELAY_MS: Range<i64> = 0..30;
/// Durations of bursts and of faults in which messages come more than once, in milliseconds.
const REPEAT_DURATION_MS: Range<u64> = 2500..6000;
/// Memory limits of processes that face crowds, in megabytes: half of a scored day's, and of that.
const CROWD_MEMORY_MB: [u32; 2] = [96, 48];
/// The other limits of these processes.
const CROWD_LIMITS: ProcessLimits = ProcessLimits {
    memory_mb: CROWD_MEMORY_MB[0],
    sockets: 1024,
    slots: 330,
    max_open: 330,
    clients: 12,
};
/// Exclusive upper bound of the drawn target numbers.
const TARGETS: usize = 1000;

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, processes: usize, seconds: u64) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 32 | 0x5eed);
        let count = (seconds as f64 * FAULTS_PER_SECOND) as usize;
        let last_ms = (seconds * 1000)
            .saturating_sub(QUIET_END_MS)
            .max(FIRST_FAULT_MS + 1);
        // Every plan drains an endpoint. With independent draws only, half of the plans would not.
        let mut faults = vec![PlannedFault {
            kind: PlannedFaultKind::Discovery(DiscoveryFault::DrainEndpoint),
            ..draw_fault(&mut rng, last_ms)
        }];
        while faults.len() < count {
            let fault = draw_fault(&mut rng, last_ms);
            faults.extend(triggering_fault(&fault));
            faults.push(fault);
        }
        faults.extend(draw_shutdowns(seed, &faults, last_ms));
        faults.sort_by_key(|fault| fault.from_ms);
        Plan {
            seed,
            processes,
            seconds,
            limits: ProcessLimits::default(),
            faults,
        }
    }
}

impl Plan {
    /// Adds crowds of clients and of unfinished responses, under the limits with which processes have passed their memory
    /// limit. A generator of its own keeps the other faults of the seed independent of these draws.
    #[must_use]
    pub fn with_crowds(mut self) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(self.seed) << 32 | 0xc7_0d);
        self.limits = ProcessLimits {
            memory_mb: CROWD_MEMORY_MB[rng.random_range(0..CROWD_MEMORY_MB.len())],
            ..CROWD_LIMITS
        };
        let last_ms = (self.seconds * 1000).saturating_sub(QUIET_END_MS);
        // All crowds come at the same time, so that their memory adds up.
        let window = draw_repeat(&mut rng, PlannedFaultKind::Replace, 0, last_ms);
        for process in 0..self.processes {
            let crowd = choose(&mut rng, CROWDS);
            let target = process + self.processes * rng.random_range(0..TARGETS);
            let kinds = [crowd, ClientFault::Burst, ClientFault::Flood];
            let kinds = kinds.map(PlannedFaultKind::Clients);
            self.faults.extend(kinds.map(|kind| PlannedFault {
                kind,
                target,
                ..window
            }));
            // Two processes of an instance share its memory.
            self.faults.push(PlannedFault {
                from_ms: window.from_ms + rng.random_range(0..window.duration_ms),
                target,
                ..window
            });
        }
        self.faults
            .extend((0..DESTINATIONS).map(|target| PlannedFault {
                kind: PlannedFaultKind::Endpoint(EndpointFault::HalfBody),
                target,
                ..window
            }));
        self.faults.sort_by_key(|fault| fault.from_ms);
        self
    }

    /// Adds bursts of requests, and messages that come more than once. A generator of its own keeps the other faults of the
    /// seed independent of these draws.
    #[must_use]
    pub fn with_repeats(mut self) -> Plan {
        let mut rng = Pcg64Mcg::new(u128::from(self.seed) << 32 | 0x7e_9e);
        let last_ms = (self.seconds * 1000).saturating_sub(QUIET_END_MS);
        for process in 0..self.processes {
            let burst = PlannedFaultKind::Clients(ClientFault::Burst);
            let target = process + self.processes * rng.random_range(0..TARGETS);
            self.faults
                .push(draw_repeat(&mut rng, burst, target, last_ms));
        }
        for _ in 0..REPEAT_FAULTS {
            let kind = PlannedFaultKind::Repeat(choose(&mut rng, REPEATS));
            let target = rng.random_range(0..TARGETS);
            self.faults
                .push(draw_repeat(&mut rng, kind, target, last_ms));
        }
        for destination in 0..DESTINATIONS {
            let kind = PlannedFaultKind::Repeat(RepeatFault::Responses);
            self.faults
                .push(draw_repeat(&mut rng, kind, destination, last_ms));
        }
        self.faults.sort_by_key(|fault| fault.from_ms);
        self
    }
}

fn draw_repeat(
    rng: &mut Pcg64Mcg,
    kind: PlannedFaultKind,
    target: usize,
    last_ms: u64,
) -> PlannedFault {
    PlannedFault {
        from_ms: rng.random_range(FIRST_FAULT_MS..last_ms.max(FIRST_FAULT_MS + 1)),
        duration_ms: rng.random_range(REPEAT_DURATION_MS),
        target,
        amount: rng.random_range(COPY_DELAY_MS),
        kind,
    }
}

/// Draws the faults that coincide with the shutdowns of a plan: signals around each SIGTERM, and in some plans many idle
/// connections. A generator of its own keeps the other faults of the seed independent of these draws.
fn draw_shutdowns(seed: u64, faults: &[PlannedFault], last_ms: u64) -> Vec<PlannedFault> {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 32 | 0x51_6e);
    let is_shutdown = |fault: &&PlannedFault| fault.kind == PlannedFaultKind::Terminate;
    let mut shutdowns: Vec<PlannedFault> = faults.iter().filter(is_shutdown).copied().collect();
    let mut drawn = Vec::new();
    if shutdowns.is_empty() {
        let fault = PlannedFault {
            kind: PlannedFaultKind::Terminate,
            ..draw_fault(&mut rng, last_ms)
        };
        shutdowns.push(fault);
        drawn.push(fault);
    }
    for shutdown in &shutdowns {
        for _ in 0..rng.random_range(1..=MAX_SHUTDOWN_SIGNALS) {
            drawn.push(PlannedFault {
                from_ms: (shutdown.from_ms + rng.random_range(0..SHUTDOWN_SIGNALS_MS))
                    .saturating_sub(SHUTDOWN_SIGNALS_LEAD_MS),
                kind: choose(&mut rng, SHUTDOWN_SIGNALS),
                ..*shutdown
            });
        }
    }
    if rng.random_bool(IDLE_CONNECTIONS_PROBABILITY) {
        let shutdown = choose(&mut rng, &shutdowns);
        drawn.push(PlannedFault {
            from_ms: shutdown.from_ms.saturating_sub(IDLE_CONNECTIONS_LEAD_MS),
            duration_ms: IDLE_CONNECTIONS_MS,
            kind: PlannedFaultKind::Clients(ClientFault::IdleConnections),
            ..shutdown
        });
    }
    drawn
}

fn draw_fault(rng: &mut Pcg64Mcg, last_ms: u64) -> PlannedFault {
    let kind = draw_kind(rng);
    let amount = draw_amount(rng, kind);
    let duration_ms = draw_duration_ms(rng, kind);
    PlannedFault {
        from_ms: rng.random_range(FIRST_FAULT_MS..last_ms),
        duration_ms,
        target: rng.random_range(0..TARGETS),
        amount,
        kind,
    }
}

fn draw_amount(rng: &mut Pcg64Mcg, kind: PlannedFaultKind) -> i64 {
    match kind.system_fault() {
        Some(FaultKind::WallClockStepped) => {
            CLOCK_STEPS_MS[rng.random_range(0..CLOCK_STEPS_MS.len())]
        }
        Some(FaultKind::TornWriteAndKill) => TORN_WRITE_SHARE,
        // High shares, since few calls are made that these faults affect.
        Some(
            FaultKind::ConnectNoAddress | FaultKind::ConnectUnreachable | FaultKind::LockFails,
        ) => rng.random_range(700..1000),
        Some(FaultKind::ReceiveTimedOut | FaultKind::SendUnreachable) => rng.random_range(30..90),
        Some(FaultKind::DiskFull | FaultKind::DiskError) => [300, 1000][rng.random_range(0..2)],
        _ => rng.random_range(200..800),
    }
}

fn draw_duration_ms(rng: &mut Pcg64Mcg, kind: PlannedFaultKind) -> u64 {
    match kind {
        PlannedFaultKind::Endpoint(fault) if fault.is_outage() => rng.random_range(5000..8000),
        PlannedFaultKind::System(_) => rng.random_range(1200..4500),
        _ => rng.random_range(400..3500),
    }
}

/// Returns a fault that makes a process issue the system calls that the given fault affects, if it needs one. Files are
/// opened and locked at a start and at a takeover; connections are opened after a start.
fn triggering_fault(fault: &PlannedFault) -> Option<PlannedFault> {
    let kind = match fault.kind.system_fault()? {
        FaultKind::OpenNoFiles if fault.target.is_multiple_of(2) => PlannedFaultKind::Replace,
        FaultKind::LockFails => PlannedFaultKind::Replace,
        FaultKind::DiskFull
        | FaultKind::DiskError
        | FaultKind::SocketNoFiles
        | FaultKind::SocketNoBuffers
        | FaultKind::ConnectNoAddress
        | FaultKind::ConnectUnreachable
        | FaultKind::OpenNoFiles
        | FaultKind::WallClockStepped => PlannedFaultKind::Kill,
        FaultKind::AcceptAborted
        | FaultKind::AcceptNoFiles
        | FaultKind::AcceptNoBuffers
        | FaultKind::AcceptInterrupted => PlannedFaultKind::Clients(ClientFault::LeaveEarly),
        _ => return None,
    };
    // The process must restart while the fault is active.
    let lead_ms = if kind == PlannedFaultKind::Kill {
        KILL_LEAD_MS
    } else {
        0
    };
    Some(PlannedFault {
        from_ms: fault.from_ms.saturating_sub(lead_ms),
        kind,
        ..*fault
    })
}

fn draw_kind(rng: &mut Pcg64Mcg) -> PlannedFaultKind {
    match rng.random_range(0..20) {
        0..=1 => PlannedFaultKind::Terminate,
        2..=3 => PlannedFaultKind::Kill,
        4 => PlannedFaultKind::Replace,
        5 => PlannedFaultKind::Suspend,
        6 => PlannedFaultKind::Reload,
        7..=11 => PlannedFaultKind::System(SystemFault(choose(rng, FaultKind::ALL))),
        12..=13 => PlannedFaultKind::Endpoint(choose(rng, ENDPOINT_FAULTS)),
        14..=15 => PlannedFaultKind::Proxy(choose(rng, PROXY_FAULTS)),
        16..=17 => PlannedFaultKind::Discovery(choose(rng, DISCOVERY_FAULTS)),
        _ => PlannedFaultKind::Clients(choose(rng, CLIENT_FAULTS)),
    }
}

fn choose<T: Copy>(rng: &mut Pcg64Mcg, all: &[T]) -> T {
    all[rng.random_range(0..all.len())]
}

const ENDPOINT_FAULTS: &[EndpointFault] = &[
    EndpointFault::Hang,
    EndpointFault::Down,
    EndpointFault::InternalError,
    EndpointFault::RejectAll,
    EndpointFault::RetryAfter,
    EndpointFault::Slow,
];

const PROXY_FAULTS: &[ProxyFault] = &[
    ProxyFault::Refuse,
    ProxyFault::Blackhole,
    ProxyFault::Delay,
    ProxyFault::CutResponses,
    ProxyFault::ResetAfterRequest,
    ProxyFault::CloseIdle,
    ProxyFault::ByteByByte,
];

const DISCOVERY_FAULTS: &[DiscoveryFault] = &[
    DiscoveryFault::Down,
    DiscoveryFault::SilentWatches,
    DiscoveryFault::DrainEndpoint,
    DiscoveryFault::RemoveEndpoint,
];

const CLIENT_FAULTS: &[ClientFault] = &[
    ClientFault::HalfRequests,
    ClientFault::LeaveEarly,
    ClientFault::SilentConnections,
    ClientFault::Garbage,
];

const CROWDS: &[ClientFault] = &[
    ClientFault::LargeHalfRequests,
    ClientFault::LargeHalfRequests,
    ClientFault::ManyFields,
];

const REPEATS: &[RepeatFault] = &[
    RepeatFault::Responses,
    RepeatFault::ResponseHalves,
    RepeatFault::Acknowledgements,
    RepeatFault::Lists,
    RepeatFault::Requests,
];

const SHUTDOWN_SIGNALS: &[PlannedFaultKind] = &[
    PlannedFaultKind::Terminate,
    PlannedFaultKind::Reload,
    PlannedFaultKind::Replace,
    PlannedFaultKind::Suspend,
];
