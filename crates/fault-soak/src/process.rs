//! The owner of one process under test. It starts and restarts the process, injects the plan's signals, and records events.

mod memory_use;
mod settings;
mod shutdown;
mod shutdown_window;
mod signals;

pub use memory_use::MemoryUse;
pub use shutdown_window::ShutdownWindow;

use signals::{DueSignal, DueSignals};

use crate::discovery::list_entry;
use crate::plan::{PlannedFault, PlannedFaultKind, ProcessLimits};
use crate::record::{ProcessEvent, ProcessEventKind, SharedRecord};
use crate::schedule::Schedule;
use marblefall_fault_plan::{Counts, Fault, FaultKind};
use marblefall_process_harness::discovery::EndpointPhase;
use marblefall_process_harness::fault_shim::FaultShim;
use marblefall_process_harness::platform::{
    is_ready, InstanceConfig, CONFIG_VARIABLE, LISTENING_MARKER, STATE_VARIABLE,
};
use marblefall_process_harness::{
    monotonic_micros, HarnessError, Micros, Process, Signal, MILLISECOND,
};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time between SIGTERM and SIGKILL.
const SHUTDOWN_LIMIT: Micros = 3700 * MILLISECOND;
/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Maximum time until a process that is started beside the running one listens.
const REPLACE_LIMIT: Micros = 10_000 * MILLISECOND;
/// Time for which a process is suspended.
const SUSPENSION: Duration = Duration::from_millis(100);
/// Interval between checks of the process and of due signals.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time for a process to respond to the readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of last log lines that are reported with a crash.
const CRASH_LOG_LINES: usize = 5;

/// Owner of one process under test.
#[derive(Clone)]
pub struct ProcessOwner {
    /// Number of the process.
    pub process: usize,
    /// Count of all processes.
    pub processes: usize,
    /// Program under test.
    pub program: PathBuf,
    /// Fault shim that is preloaded into the process.
    pub shim: FaultShim,
    /// Folder of the process, which holds its configuration, its log and its state folder.
    pub folder: PathBuf,
    /// Address at which the process listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery that serves the process.
    pub discovery: SocketAddr,
    /// Addresses of the proxies in front of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Schedule of the faults.
    pub schedule: Schedule,
    /// Record that receives the events.
    pub record: SharedRecord,
    /// Set when the process is to end without a restart.
    pub stop: Arc<AtomicBool>,
    /// Shutdown window of the process, which its clients share.
    pub shutdown: ShutdownWindow,
    /// Observed memory of the process's incarnations.
    pub memory: MemoryUse,
}

impl ProcessOwner {
    /// Returns the folder of a process within the folder of a run.
    pub fn folder_of(run_folder: &std::path::Path, process: usize) -> PathBuf {
        run_folder.join(format!("n{process}"))
    }

    /// Returns the state folder within the folder of a process.
    pub fn state_folder(folder: &std::path::Path) -> PathBuf {
        folder.join("state")
    }

    /// Writes the files that the process reads.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn prepare(&self) -> Result<(), HarnessError> {
        let subject = || HarnessError::io(self.folder.display().to_string());
        fs::create_dir_all(ProcessOwner::state_folder(&self.folder)).map_err(subject())?;
        fs::write(self.config_path(), self.config().to_json()).map_err(subject())?;
        self.shim.write_plan(&self.system_faults())
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    fn planned_faults(&self) -> impl Iterator<Item = &PlannedFault> + '_ {
        let faults = self.schedule.plan().faults.iter();
        faults.filter(|fault| fault.is_for(self.process, self.processes))
    }

    fn system_faults(&self) -> Vec<Fault> {
        let system_fault = |fault: &PlannedFault| {
            let interval = self.schedule.interval(fault);
            Some(Fault {
                kind: fault.kind.system_fault()?,
                from_ms: interval.from / MILLISECOND,
                until_ms: interval.until / MILLISECOND,
                amount: fault.amount,
            })
        };
        self.planned_faults().filter_map(system_fault).collect()
    }

    fn config(&self) -> InstanceConfig {
        let endpoints = self.endpoints.iter().enumerate();
        let rate = self.schedule.plan().rate();
        InstanceConfig {
            name: format!("n{}", self.process),
            listen: self.listen,
            discovery: self.discovery,
            seed: format!("{:x}", self.shim_seed() + 1),
            memory_mb: self.limits().memory_mb,
            sockets: self.limits().sockets,
            endpoints: endpoints
                .map(|(endpoint, address)| {
                    list_entry(endpoint, *address, EndpointPhase::Serving, rate)
                })
                .collect(),
            settings: settings::settings(self.process, self.processes, self.schedule.plan()),
        }
    }

    /// Returns the seed of the shim's draws.
    fn shim_seed(&self) -> u64 {
        shim_seed(self.schedule.plan().seed, self.process)
    }

    fn record_event(&self, kind: ProcessEventKind) {
        let event = ProcessEvent {
            process: self.process,
            at: monotonic_micros(),
            kind,
        };
        self.record.lock().process_events.push(event);
    }

    fn report_problem(&self, problem: &str) {
        let text = format!("process {}: {problem}", self.process);
        self.record.lock().process_problems.push(text);
    }

    fn limits(&self) -> ProcessLimits {
        self.schedule.plan().limits
    }

    fn start(&self) -> Result<Process, HarnessError> {
        let process = self.start_unrecorded()?;
        self.record_event(ProcessEventKind::Started);
        Ok(process)
    }

    fn start_unrecorded(&self) -> Result<Process, HarnessError> {
        let config = self.config_path().display().to_string();
        let state = ProcessOwner::state_folder(&self.folder);
        let state = state.display().to_string();
        let mut environment = vec![
            (CONFIG_VARIABLE, config.as_str()),
            (STATE_VARIABLE, state.as_str()),
        ];
        environment.extend(self.shim.environment());
        Process::start(&self.program, &[], &environment)
    }

    /// Runs the process, with all restarts, until `stop` is set.
    ///
    /// # Errors
    /// The process cannot be started or killed.
    pub fn run(self) -> Result<(), HarnessError> {
        let mut due = self.due_signals();
        let mut process = self.start()?;
        let mut is_known_ready = false;
        let mut ended_logs = String::new();
        while !self.stop.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
            self.memory.observe(&[&process]);
            if process.exit_status().is_some() {
                self.record_unexpected_end(&process);
                process = self.restart(&process, &mut ended_logs)?;
                is_known_ready = false;
                continue;
            }
            if !is_known_ready && is_ready(self.listen, READY_TIMEOUT) {
                is_known_ready = true;
                self.record_event(ProcessEventKind::Ready);
            }
            let Some(kind) = due.pop_due() else {
                continue;
            };
            process = self.inject(kind, process, &mut due, &mut ended_logs)?;
            if matches!(kind, PlannedFaultKind::Terminate | PlannedFaultKind::Kill) {
                is_known_ready = false;
            }
        }
        self.check_resources(&process);
        if let Some(problem) = self.memory.problem(self.limits().memory_mb) {
            self.report_problem(&problem);
        }
        self.terminate(&mut process, &mut DueSignals::default())?;
        ended_logs.push_str(&process.log());
        self.check_logs(&ended_logs);
        Ok(())
    }

    /// Injects a process fault and returns the process that runs afterwards.
    fn inject(
        &self,
        kind: PlannedFaultKind,
        mut process: Process,
        due: &mut DueSignals,
        logs: &mut String,
    ) -> Result<Process, HarnessError> {
        match kind {
            PlannedFaultKind::Replace => return self.replace(process, logs),
            PlannedFaultKind::Terminate => {
                let successor = self.terminate(&mut process, due)?;
                return self.continue_with(successor, &process, logs);
            }
            PlannedFaultKind::Kill => {
                self.kill(&mut process)?;
                return self.restart(&process, logs);
            }
            PlannedFaultKind::Suspend => self.suspend(&process),
            _ => {
                process.signal(Signal::HUP);
            }
        }
        Ok(process)
    }

    fn due_signals(&self) -> DueSignals {
        let signals = self
            .planned_faults()
            .filter(|fault| fault.kind.is_process_fault())
            .map(|fault| DueSignal {
                at: self.schedule.interval(fault).from,
                kind: fault.kind,
            });
        DueSignals(signals.collect())
    }

    /// Starts a process beside the running one, and terminates the old process once the new one listens. The rules hold for
    /// both together throughout.
    fn replace(&self, mut old: Process, logs: &mut String) -> Result<Process, HarnessError> {
        let mut new = self.start_unrecorded()?;
        let deadline = monotonic_micros() + REPLACE_LIMIT;
        while !new.log().contains(LISTENING_MARKER) {
            thread::sleep(POLL_INTERVAL);
            self.memory.observe(&[&old, &new]);
            if new.exit_status().is_some() || monotonic_micros() >= deadline {
                // The new process never listened, so the old one continues to serve.
                self.record_unexpected_end(&new);
                self.record_event(ProcessEventKind::Started);
                logs.push_str(&new.log());
                new.kill()?;
                return Ok(old);
            }
        }
        old.signal(Signal::TERM);
        let kill_at = monotonic_micros() + SHUTDOWN_LIMIT;
        while old.exit_status().is_none() {
            if monotonic_micros() >= kill_at {
                self.record_event(ProcessEventKind::Killed);
                old.kill()?;
                self.record_event(ProcessEventKind::Started);
                self.record_event(ProcessEventKind::Ready);
            }
            self.memory.observe(&[&old, &new]);
            thread::sleep(POLL_INTERVAL);
        }
        logs.push_str(&old.log());
        Ok(new)
    }

    /// Records an end that no signal of the plan caused. The shim may have killed the process in the middle of a write; any
    /// other end is a crash.
    fn record_unexpected_end(&self, process: &Process) {
        let is_torn = self.shim.injected(FaultKind::TornWriteAndKill) > 0;
        let log = process.log();
        if is_torn && !log.contains("panicked") {
            return self.record_event(ProcessEventKind::Killed);
        }
        self.record_event(ProcessEventKind::Crashed);
        let last_lines: Vec<&str> = log.lines().rev().take(CRASH_LOG_LINES).collect();
        self.report_problem(&format!("crashed: {last_lines:?}"));
    }

    fn restart(&self, ended: &Process, logs: &mut String) -> Result<Process, HarnessError> {
        logs.push_str(&ended.log());
        thread::sleep(RESTART_DELAY);
        self.start()
    }

    fn check_resources(&self, process: &Process) {
        // A process that has already ended uses no resources.
        let Some(usage) = process.resource_usage() else {
            return;
        };
        if usage.open_files > self.limits().sockets {
            self.report_problem(&format!("has {} open descriptors", usage.open_files));
        }
    }

    fn check_logs(&self, logs: &str) {
        // The stored log is only for people who examine a failing run, so a failure to write it is ignored.
        let _ = fs::write(self.folder.join("log"), logs);
        for line in logs.lines() {
            if line.contains("invariant-violated") || line.contains("panicked") {
                self.report_problem(line);
            }
        }
    }

    /// Returns the counts of the process's shim over all incarnations.
    pub fn shim_counts(&self) -> Counts {
        self.shim.counts()
    }
}

/// Returns the seed of the draws of a process's shim.
pub fn shim_seed(seed: u64, process: usize) -> u64 {
    seed * 1000 + process as u64
}
