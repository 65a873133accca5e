//! Execution of one run: starts endpoints, proxies, discoveries, processes and clients, and checks what they recorded.

use crate::client::Clients;
use crate::discovery::{planned_list_changes, ProcessDiscovery};
use crate::endpoint::{Destinations, DESTINATIONS, ENDPOINTS};
use crate::oracle::{Oracle, Violation};
use crate::plan::{DiscoveryFault, Plan, PlannedFault, PlannedFaultKind, SystemFault};
use crate::process::{shim_seed, MemoryUse, ProcessOwner, ShutdownWindow};
use crate::proxy;
use crate::record::{ClientResult, Period, ProcessEventKind, Record, Request, SharedRecord};
use crate::schedule::{Interval, Schedule};
use marblefall_fault_plan::{Counts, FaultKind};
use marblefall_process_harness::discovery::Discovery;
use marblefall_process_harness::fault_shim::FaultShim;
use marblefall_process_harness::network::reserve_addresses;
use marblefall_process_harness::{monotonic_micros, HarnessError, Micros, MILLISECOND};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time between the start of the processes and the start of the plan.
const START_DELAY: Micros = 500 * MILLISECOND;
/// Time after the last request in which every pending message reaches its final outcome.
const SETTLING_TIME: Duration = Duration::from_millis(6500);
/// Time after the end of its fault in which a silent watch may still withhold changes from a process.
const SILENT_WATCH_GAP: Micros = 6000 * MILLISECOND;

/// Paths of the files that a run uses.
#[derive(Clone, Debug)]
pub struct RunFiles {
    /// Program under test.
    pub program: PathBuf,
    /// Library of the fault shim.
    pub shim: PathBuf,
    /// Folder of the run, which holds the folders of its processes.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Number of requests of correct clients.
    pub requests: usize,
    /// Number of these requests that were accepted.
    pub accepted: usize,
    /// Number of calls that endpoints read.
    pub calls: usize,
    /// Number of notices that discovery received.
    pub notices: usize,
    /// Seen calls and injected faults of all shims, for each kind of system call fault.
    pub counts: Counts,
    /// Names of planned system call faults that were never injected, about which the run is inconclusive.
    pub idle_faults: Vec<&'static str>,
    /// Number of requests of correct clients between the first SIGTERM to a process and its end.
    pub requests_in_shutdown: usize,
    /// Largest amount of memory that a process and its successor used together, in kilobytes.
    pub max_memory_kb: u64,
    /// Number of messages that were written again, if the plan has such faults.
    pub copies: Option<usize>,
}

impl Report {
    /// Returns whether each planned system call fault was injected, some request was sent during a shutdown, and some message
    /// was written again if this was planned.
    pub fn is_conclusive(&self) -> bool {
        self.idle_faults.is_empty() && self.requests_in_shutdown > 0 && self.copies != Some(0)
    }
}

/// Runs a plan and checks what was recorded.
///
/// # Errors
/// A port cannot be opened, a folder or file cannot be written, or a process cannot be started or killed.
pub fn run_plan(plan: Plan, files: &RunFiles) -> Result<Report, HarnessError> {
    let schedule = Schedule::new(plan, monotonic_micros() + START_DELAY);
    let record = SharedRecord::default();
    record_planned(&schedule, &record);
    let endpoints = start_endpoints(&schedule, &record)?;
    let stop_clients = Arc::new(AtomicBool::new(false));
    let stop_processes = Arc::new(AtomicBool::new(false));
    let owners = prepare_processes(files, &schedule, &record, &endpoints, &stop_processes)?;
    let mut clients = Vec::new();
    let mut processes = Vec::new();
    for owner in &owners {
        clients.extend(start_clients(owner, &stop_clients));
        let owner = owner.clone();
        processes.push(thread::spawn(move || owner.run()));
    }
    thread::sleep(Duration::from_secs(schedule.plan().seconds));
    stop_clients.store(true, Ordering::SeqCst);
    for client in clients {
        join(client);
    }
    thread::sleep(SETTLING_TIME);
    stop_processes.store(true, Ordering::SeqCst);
    for process in processes {
        join(process)?;
    }
    let report = report(&schedule, &record.lock(), &owners);
    Ok(report)
}

/// Waits for the end of a thread and propagates its panic, which is a bug in this program.
fn join<T>(thread: JoinHandle<T>) -> T {
    thread
        .join()
        .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

/// Starts all endpoints. Returns the addresses of the proxies in front of them.
fn start_endpoints(
    schedule: &Schedule,
    record: &SharedRecord,
) -> Result<Vec<SocketAddr>, HarnessError> {
    let destinations = Destinations::new(schedule.clone(), record.clone());
    (0..ENDPOINTS)
        .map(|endpoint| {
            let target = destinations.start_endpoint(endpoint)?;
            proxy::start(endpoint, target, schedule.clone())
        })
        .collect()
}

fn prepare_processes(
    files: &RunFiles,
    schedule: &Schedule,
    record: &SharedRecord,
    endpoints: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Result<Vec<ProcessOwner>, HarnessError> {
    let Plan {
        seed, processes, ..
    } = *schedule.plan();
    let mut owners = Vec::new();
    for (process, listen) in reserve_addresses(processes)?.into_iter().enumerate() {
        let discovery = Discovery::start(Arc::new(ProcessDiscovery {
            process,
            processes,
            endpoints: endpoints.to_vec(),
            schedule: schedule.clone(),
            record: record.clone(),
            notice_requests: Arc::default(),
        }))?;
        let folder = ProcessOwner::folder_of(&files.folder, process);
        let state = ProcessOwner::state_folder(&folder);
        let owner = ProcessOwner {
            process,
            processes,
            program: files.program.clone(),
            shim: FaultShim::new(&files.shim, &folder, "shim", &state)
                .with_seed(shim_seed(seed, process)),
            folder,
            listen,
            discovery: discovery.address(),
            endpoints: endpoints.to_vec(),
            schedule: schedule.clone(),
            record: record.clone(),
            stop: Arc::clone(stop),
            shutdown: ShutdownWindow::default(),
            memory: MemoryUse::new(state),
        };
        owner.prepare()?;
        owners.push(owner);
    }
    Ok(owners)
}

fn start_clients(owner: &ProcessOwner, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let clients = Clients {
        process: owner.process,
        processes: owner.processes,
        address: owner.listen,
        schedule: owner.schedule.clone(),
        record: owner.record.clone(),
        stop: Arc::clone(stop),
        shutdown: owner.shutdown.clone(),
    };
    let (misbehaving, keep_alive, flood) = (clients.clone(), clients.clone(), clients.clone());
    let mut threads = vec![
        thread::spawn(move || flood.run_flood()),
        thread::spawn(move || misbehaving.run_misbehaving()),
        thread::spawn(move || keep_alive.run_keep_alive()),
    ];
    for number in 0..owner.schedule.plan().limits.clients {
        let correct = clients.clone();
        threads.push(thread::spawn(move || correct.run_correct(number)));
    }
    threads
}

/// Records what the plan alone determines: changes of the endpoint list, and the periods of faults.
fn record_planned(schedule: &Schedule, record: &SharedRecord) {
    let mut record = record.lock();
    record.list_changes = planned_list_changes(schedule);
    let processes = schedule.plan().processes;
    for fault in &schedule.plan().faults {
        let interval = schedule.interval(fault);
        let period = |count: usize| Period {
            subject: fault.target % count,
            interval,
        };
        match fault.kind {
            PlannedFaultKind::Endpoint(kind) if kind.is_outage() => {
                record.outages.push(period(DESTINATIONS));
            }
            PlannedFaultKind::Discovery(DiscoveryFault::Down) => {
                record.discovery_gaps.push(period(processes));
            }
            // A silent watch stays silent after the fault has ended. The next watch sends the changes that it withheld.
            PlannedFaultKind::Discovery(DiscoveryFault::SilentWatches) => {
                record.discovery_gaps.push(Period {
                    interval: Interval {
                        until: interval.until + SILENT_WATCH_GAP,
                        ..interval
                    },
                    ..period(processes)
                });
            }
            PlannedFaultKind::System(SystemFault(
                FaultKind::AcceptAborted | FaultKind::ReceiveTimedOut | FaultKind::SendUnreachable,
            )) => record.broken_processes.push(period(processes)),
            PlannedFaultKind::Proxy(_) => record.disturbed_endpoints.push(period(ENDPOINTS)),
            _ => {}
        }
    }
}

fn report(schedule: &Schedule, record: &Record, owners: &[ProcessOwner]) -> Report {
    let mut counts = Counts::default();
    for owner in owners {
        counts.add(&owner.shim_counts());
    }
    let planned = schedule.plan().faults.iter();
    let planned = planned.filter_map(|fault: &PlannedFault| fault.kind.system_fault());
    let mut idle_faults: Vec<&str> = planned
        .filter(|kind| counts.of(*kind).injected == 0)
        .map(FaultKind::name)
        .collect();
    idle_faults.dedup();
    let accepted = record
        .requests
        .iter()
        .filter(|request| request.result == ClientResult::Response(202));
    Report {
        violations: Oracle::check(record, schedule.started_at(), schedule.plan().rate()),
        requests: record.requests.len(),
        accepted: accepted.count(),
        calls: record.calls.len(),
        notices: record.notices.len(),
        counts,
        idle_faults,
        requests_in_shutdown: requests_in_shutdown(record),
        max_memory_kb: owners
            .iter()
            .map(|owner| owner.memory.max_kb())
            .max()
            .unwrap_or_default(),
        copies: schedule.plan().has_repeats().then_some(record.copies),
    }
}

/// Counts the requests that were sent between the first SIGTERM to a process and its end.
fn requests_in_shutdown(record: &Record) -> usize {
    let in_shutdown = |request: &&Request| {
        let mut events = record.process_events.iter().rev();
        let last_before = events.find(|event| {
            event.process == request.process
                && event.at <= request.sent_at
                && event.kind != ProcessEventKind::Suspended
        });
        last_before.is_some_and(|event| event.kind == ProcessEventKind::Terminated)
    };
    record.requests.iter().filter(in_shutdown).count()
}
