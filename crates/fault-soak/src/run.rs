//! One run: stand-ins, proxies, processes and clients, put together, played and judged.

use crate::client::Clients;
use crate::discovery::{phase_of, Agent, Phase};
use crate::endpoint::{self, World, DESTINATIONS, ENDPOINTS_EACH};
use crate::oracle::{Oracle, Violation};
use crate::plan::{DiscoveryTrouble, Plan, SystemFault, TroubleKind};
use crate::process::Keeper;
use crate::proxy;
use crate::record::{DiscoveryGap, ListChange, Micros, Outage, Record, SharedRecord, MS};
use crate::schedule::Schedule;
use marblefall_fault_plan::{Count, FaultKind};
use marblefall_simulation::rig::daemons::ports;
use marblefall_simulation::rig::{micros, Fault as RigFault};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long the processes have before the plan begins.
const WARM_UP: Micros = 500 * MS;
/// What is held after the last request has its outcome by then.
const SETTLE: Duration = Duration::from_millis(6500);
/// Patient clients of each process.
const CLIENTS_EACH: u64 = 2;
const POLL: Duration = Duration::from_millis(5);

/// Where the programs and folders of a run are.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The program under test.
    pub program: PathBuf,
    /// The shim.
    pub shim: PathBuf,
    /// A folder of the run's own.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Requests, calls and notices.
    pub requests: usize,
    /// Requests that were accepted.
    pub accepted: usize,
    /// Calls that endpoints read.
    pub calls: usize,
    /// Notices.
    pub notices: usize,
    /// How often each fault of the shim came and struck.
    pub counts: BTreeMap<FaultKind, Count>,
    /// Faults that the plan had and that came to no call: they prove nothing.
    pub idle_faults: Vec<&'static str>,
}

/// Plays a plan and judges it.
///
/// # Errors
/// The machine refuses a port, a folder or a process.
pub fn play(plan: Plan, setting: &Setting) -> Result<Report, RigFault> {
    let began_at = micros() + WARM_UP;
    let schedule = Schedule::new(plan, began_at);
    let record = SharedRecord::default();
    note_plan(&schedule, &record);
    let endpoints = start_endpoints(&schedule, &record)?;
    let stop_clients = Arc::new(AtomicBool::new(false));
    let stop_processes = Arc::new(AtomicBool::new(false));
    let keepers = keepers(setting, &schedule, &record, &endpoints, &stop_processes)?;
    let mut clients = Vec::new();
    let mut kept: Vec<JoinHandle<Result<(), RigFault>>> = Vec::new();
    for keeper in &keepers {
        let of_process = Clients {
            process: keeper.process,
            processes: keeper.processes,
            address: keeper.listen,
            schedule: schedule.clone(),
            record: record.clone(),
            stop: stop_clients.clone(),
        };
        clients.extend(start_clients(&of_process));
        let keeper = keeper.clone();
        kept.push(thread::spawn(move || keeper.run()));
    }
    let lists = watch_list(&schedule, &record, endpoints.len(), &stop_clients);
    thread::sleep(Duration::from_secs(schedule.plan().seconds));
    stop_clients.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let _ = lists.join();
    thread::sleep(SETTLE);
    stop_processes.store(true, Ordering::SeqCst);
    for keeper in kept {
        if let Ok(ended) = keeper.join() {
            ended?;
        }
    }
    let report = report(&schedule, &record.lock(), &keepers, began_at);
    Ok(report)
}

fn start_endpoints(
    schedule: &Schedule,
    record: &SharedRecord,
) -> Result<Vec<SocketAddr>, RigFault> {
    let world = World::new(schedule.clone(), record.clone());
    let count = DESTINATIONS * ENDPOINTS_EACH;
    (0..count)
        .map(|endpoint| {
            let target = endpoint::start(endpoint, &world)?;
            proxy::start(endpoint, count, target, schedule.clone())
        })
        .collect::<Result<_, _>>()
        .map_err(RigFault::at("an endpoint's port"))
}

fn keepers(
    setting: &Setting,
    schedule: &Schedule,
    record: &SharedRecord,
    endpoints: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Result<Vec<Keeper>, RigFault> {
    let processes = schedule.plan().processes;
    let listens = ports(processes)?;
    let mut keepers = Vec::new();
    for (process, listen) in listens.into_iter().enumerate() {
        let agent = Agent {
            process,
            processes,
            endpoints: endpoints.to_vec(),
            schedule: schedule.clone(),
            record: record.clone(),
        };
        let keeper = Keeper {
            process,
            processes,
            program: setting.program.clone(),
            shim: setting.shim.clone(),
            folder: setting.folder.join(format!("n{process}")),
            listen,
            discovery: agent.start().map_err(RigFault::at("an agent's port"))?,
            endpoints: endpoints.to_vec(),
            schedule: schedule.clone(),
            record: record.clone(),
            stop: stop.clone(),
        };
        keeper.prepare()?;
        keepers.push(keeper);
    }
    Ok(keepers)
}

fn start_clients(clients: &Clients) -> Vec<JoinHandle<()>> {
    let misbehaving = clients.clone();
    let mut started = vec![thread::spawn(move || misbehaving.run_misbehaving())];
    for number in 0..CLIENTS_EACH {
        let patient = clients.clone();
        started.push(thread::spawn(move || patient.run_patient(number)));
    }
    started
}

/// Writes down when the list changes.
fn watch_list(
    schedule: &Schedule,
    record: &SharedRecord,
    endpoints: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (schedule, record, stop) = (schedule.clone(), record.clone(), stop.clone());
    thread::spawn(move || {
        let mut known = vec![Phase::Serving; endpoints];
        while !stop.load(Ordering::SeqCst) {
            for (endpoint, known) in known.iter_mut().enumerate() {
                let phase = phase_of(&schedule, endpoint, endpoints);
                if std::mem::replace(known, phase) != phase {
                    record.lock().list_changes.push(ListChange {
                        endpoint,
                        is_active: phase == Phase::Serving,
                        at: micros(),
                    });
                }
            }
            thread::sleep(POLL);
        }
    })
}

/// Writes down what the plan itself says of outages, gaps of discovery and disturbed connections.
fn note_plan(schedule: &Schedule, record: &SharedRecord) {
    let mut record = record.lock();
    let processes = schedule.plan().processes;
    for trouble in &schedule.plan().troubles {
        let (from, until) = schedule.span(trouble);
        match trouble.kind {
            TroubleKind::Endpoint(kind) if kind.is_outage() => record.outages.push(Outage {
                destination: trouble.target % DESTINATIONS,
                from,
                until,
            }),
            TroubleKind::Discovery(
                kind @ (DiscoveryTrouble::Down | DiscoveryTrouble::SilentWatches),
            ) => {
                // A silent watch stays silent: what it misses is told by the next one.
                let is_down = kind == DiscoveryTrouble::Down;
                let more = if is_down { 0 } else { 6000 * MS };
                record.gaps.push(DiscoveryGap {
                    process: trouble.target % processes,
                    from,
                    until: until + more,
                });
            }
            TroubleKind::System(SystemFault(
                FaultKind::AcceptAborted | FaultKind::ReceiveTimedOut | FaultKind::SendUnreachable,
            )) => record
                .broken
                .push((trouble.target % processes, from, until)),
            TroubleKind::Proxy(_) => record.disturbed.push((
                trouble.target % (DESTINATIONS * ENDPOINTS_EACH),
                from,
                until,
            )),
            _ => {}
        }
    }
}

fn report(schedule: &Schedule, record: &Record, keepers: &[Keeper], began_at: Micros) -> Report {
    let mut counts: BTreeMap<FaultKind, Count> = BTreeMap::new();
    for (kind, count) in keepers.iter().flat_map(Keeper::counts) {
        let all = counts.entry(kind).or_default();
        all.seen += count.seen;
        all.injected += count.injected;
    }
    let planned = schedule.all(|kind| match kind {
        TroubleKind::System(fault) => Some(fault.0),
        _ => None,
    });
    let mut idle_faults: Vec<&str> = planned
        .filter(|(_, kind, _)| counts[kind].injected == 0)
        .map(|(_, kind, _)| kind.name())
        .collect();
    idle_faults.dedup();
    let accepted = record.requests.iter().filter(|request| {
        matches!(
            request.heard,
            crate::record::Heard::Answer { status: 202, .. }
        )
    });
    Report {
        violations: Oracle::judge(record, began_at),
        requests: record.requests.len(),
        accepted: accepted.count(),
        calls: record.calls.len(),
        notices: record.notices.len(),
        counts,
        idle_faults,
    }
}
