//! The discovery of one process. It sends the endpoint list, receives notices, and fails as the plan specifies.

use crate::endpoint::{destination_of, ENDPOINTS};
use crate::plan::{DiscoveryFault, PlannedFault, PlannedFaultKind, RepeatFault};
use crate::record::{ListChange, Notice, SharedRecord};
use crate::schedule::Schedule;
use marblefall_process_harness::discovery::{
    DiscoverySource, EndpointList, EndpointPhase, ListedEndpoint, Watch,
};
use marblefall_process_harness::response_copies::ResponseCopies;
use marblefall_process_harness::{monotonic_micros, Micros};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a watch sends an empty line while the list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2000);
/// Time for which a silent watch stays open.
const SILENT_WATCH_DURATION: Duration = Duration::from_secs(60);
/// Revision of the complete list, which is higher than that of the list in the configuration.
const FIRST_REVISION: u64 = 42;

/// The discovery of one process.
#[derive(Clone)]
pub struct ProcessDiscovery {
    /// Number of the process.
    pub process: usize,
    /// Count of all processes.
    pub processes: usize,
    /// Addresses of the proxies in front of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Schedule of the faults.
    pub schedule: Schedule,
    /// Record that receives the notices.
    pub record: SharedRecord,
    /// Number of requests with notices.
    pub notice_requests: Arc<AtomicUsize>,
}

/// Returns the phase of an endpoint in the list at a given time.
pub fn phase_at(schedule: &Schedule, endpoint: usize, at: Micros) -> EndpointPhase {
    let changed = schedule.active_at(at, |fault| {
        fault
            .is_for(endpoint, ENDPOINTS)
            .then(|| changed_phase(fault))
            .flatten()
    });
    changed.unwrap_or(EndpointPhase::Serving)
}

/// Returns the phase that a fault gives to its endpoint, or `None` if it does not change the list.
fn changed_phase(fault: &PlannedFault) -> Option<EndpointPhase> {
    match fault.kind {
        PlannedFaultKind::Discovery(DiscoveryFault::DrainEndpoint) => Some(EndpointPhase::Draining),
        PlannedFaultKind::Discovery(DiscoveryFault::RemoveEndpoint) => Some(EndpointPhase::Deleted),
        _ => None,
    }
}

/// Returns all planned changes of the list, in the order of their times.
pub fn planned_list_changes(schedule: &Schedule) -> Vec<ListChange> {
    let mut times: Vec<Micros> = schedule
        .plan()
        .faults
        .iter()
        .filter(|fault| changed_phase(fault).is_some())
        .map(|fault| schedule.interval(fault))
        .flat_map(|interval| [interval.from, interval.until])
        .collect();
    times.sort_unstable();
    let mut phases = [EndpointPhase::Serving; ENDPOINTS];
    let mut changes = Vec::new();
    for at in times {
        for (endpoint, known) in phases.iter_mut().enumerate() {
            let phase = phase_at(schedule, endpoint, at);
            if std::mem::replace(known, phase) != phase {
                changes.push(ListChange {
                    endpoint,
                    is_active: phase == EndpointPhase::Serving,
                    at,
                });
            }
        }
    }
    changes
}

/// Returns the list entry of an endpoint.
pub fn list_entry(
    endpoint: usize,
    address: SocketAddr,
    phase: EndpointPhase,
    rate: f64,
) -> ListedEndpoint {
    let id = format!("s-{endpoint}");
    ListedEndpoint::new(&id, address, destination_of(endpoint), rate).in_phase(phase)
}

impl ProcessDiscovery {
    fn is_fault_active(&self, fault: DiscoveryFault) -> bool {
        let kind = PlannedFaultKind::Discovery(fault);
        self.schedule.is_active(kind, self.process, self.processes)
    }

    /// Returns the delay of copies if a fault of this kind is active for any process that `is_affected` selects.
    fn copy_delay(
        &self,
        kind: RepeatFault,
        is_affected: impl Fn(&PlannedFault) -> bool,
    ) -> Option<Duration> {
        self.schedule.active(|fault| {
            let is_active = fault.kind == PlannedFaultKind::Repeat(kind) && is_affected(fault);
            is_active.then(|| fault.delay())
        })
    }

    fn wait_while_down(&self) {
        while self.is_fault_active(DiscoveryFault::Down) {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn current_phases(&self) -> Vec<EndpointPhase> {
        let now = monotonic_micros();
        (0..self.endpoints.len())
            .map(|endpoint| phase_at(&self.schedule, endpoint, now))
            .collect()
    }

    fn all_listed(&self, phases: &[EndpointPhase]) -> EndpointList {
        self.list(FIRST_REVISION, true, phases, |endpoint| {
            phases[endpoint] != EndpointPhase::Deleted
        })
    }

    fn list(
        &self,
        revision: u64,
        is_complete: bool,
        phases: &[EndpointPhase],
        is_included: impl Fn(usize) -> bool,
    ) -> EndpointList {
        let included = (0..phases.len()).filter(|endpoint| is_included(*endpoint));
        EndpointList {
            revision,
            is_complete,
            endpoints: included
                .map(|endpoint| {
                    let (address, phase) = (self.endpoints[endpoint], phases[endpoint]);
                    list_entry(endpoint, address, phase, self.schedule.plan().rate())
                })
                .collect(),
        }
    }
}

impl DiscoverySource for ProcessDiscovery {
    fn complete_list(&self) -> Option<String> {
        self.wait_while_down();
        let list = self.all_listed(&self.current_phases());
        Some(format!("{}\n", list.to_json()))
    }

    fn wait_for_watch(&self) {
        self.wait_while_down();
    }

    fn watch(&self, watch: &mut Watch) -> io::Result<()> {
        let mut sent = self.current_phases();
        let mut revision = FIRST_REVISION;
        let mut last_sent = self.all_listed(&sent);
        watch.send_list(&last_sent)?;
        let mut sent_at = Instant::now();
        loop {
            thread::sleep(POLL_INTERVAL);
            if self.is_fault_active(DiscoveryFault::SilentWatches) {
                thread::sleep(SILENT_WATCH_DURATION);
                return Ok(());
            }
            if self.is_fault_active(DiscoveryFault::Down) {
                continue;
            }
            let phases = self.current_phases();
            if phases != sent {
                revision += 1;
                let has_changed = |endpoint: usize| phases[endpoint] != sent[endpoint];
                let change = self.list(revision, false, &phases, has_changed);
                watch.send_list(&change)?;
                if let Some(delay) = self.copy_delay(RepeatFault::Lists, |_| true) {
                    thread::sleep(delay);
                    watch.send_list(&last_sent)?;
                    self.record.lock().copies += 1;
                }
                last_sent = change;
                sent = phases;
                sent_at = Instant::now();
            } else if sent_at.elapsed() >= HEARTBEAT_INTERVAL {
                watch.send_heartbeat()?;
                sent_at = Instant::now();
            }
        }
    }

    fn receive_notices(&self, notices: &str) -> bool {
        let is_copied = self.acknowledgement_copies().is_some();
        let number = self.notice_requests.fetch_add(1, Ordering::SeqCst);
        if is_copied && !number.is_multiple_of(2) {
            return false;
        }
        let received_at = monotonic_micros();
        let ids = notices.lines().filter_map(|line| {
            let notice: serde_json::Value = serde_json::from_str(line).ok()?;
            Some(notice["id"].as_str()?.to_owned())
        });
        let notices = ids.map(|id| Notice { id, received_at });
        let mut record = self.record.lock();
        record.notices.extend(notices);
        record.copies += usize::from(is_copied);
        true
    }

    fn acknowledgement_copies(&self) -> Option<ResponseCopies> {
        let is_affected = |fault: &PlannedFault| fault.is_for(self.process, self.processes);
        self.copy_delay(RepeatFault::Acknowledgements, is_affected)
            .map(ResponseCopies::one_after)
    }
}

#[cfg(test)]
mod tests;
