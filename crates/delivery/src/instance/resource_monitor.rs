//! Reports what an instance uses of its memory and its connections.

use crate::log_line;
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool::Pool;
use crate::net::server::{ClientConnections, PhaseCounts};
use async_io::Timer;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two observations of the resident memory.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two log lines while the resident memory is high.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Resident memory is high from this share of the limit on, in percent.
const HIGH_PERCENT: u64 = 40;
const PERCENT: u64 = 100;
const BYTES_PER_KB: u64 = 1000;
/// The file in which Linux reports the memory of the calling process.
const STATUS_FILE: &str = "/proc/self/status";
/// Unit of the sizes in [`STATUS_FILE`], in bytes.
const STATUS_UNIT: u64 = 1024;

/// What an instance uses of its resources.
#[derive(Debug)]
pub(super) struct ResourceUsage {
    /// Resident memory of the process in kilobytes; `None` if the system does not report it.
    resident_kb: Option<u64>,
    memory_limit_kb: u64,
    clients: PhaseCounts,
    endpoint_connections: usize,
    granted_bytes: usize,
    max_granted_bytes: usize,
    waiting_for_memory: usize,
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "resident_kb={} memory_limit_kb={} endpoint_connections={} granted_bytes={} \
             max_granted_bytes={} waiting_for_memory={} clients: {}",
            self.resident_kb.unwrap_or_default(),
            self.memory_limit_kb,
            self.endpoint_connections,
            self.granted_bytes,
            self.max_granted_bytes,
            self.waiting_for_memory,
            self.clients
        )
    }
}

/// Observes the resources that an instance uses.
pub(super) struct ResourceMonitor {
    pub(super) clients: Rc<ClientConnections>,
    pub(super) pool: Rc<Pool>,
    /// The memory for messages that are being received.
    pub(super) memory: Rc<MemoryBudget>,
    /// Memory limit of the instance in bytes.
    pub(super) memory_limit: u64,
}

impl ResourceMonitor {
    /// Returns the present usage.
    pub(super) fn usage(&self) -> ResourceUsage {
        ResourceUsage {
            resident_kb: resident_bytes().map(|bytes| bytes / BYTES_PER_KB),
            memory_limit_kb: self.memory_limit / BYTES_PER_KB,
            clients: self.clients.phase_counts(),
            endpoint_connections: self.pool.open_connections(),
            granted_bytes: self.memory.granted(),
            max_granted_bytes: self.memory.max_granted(),
            waiting_for_memory: self.memory.waiting(),
        }
    }

    /// Logs the usage when the resident memory becomes high, and at intervals while it stays high. Never returns.
    pub(super) async fn run(self: Rc<Self>) {
        let high_bytes = self.memory_limit / PERCENT * HIGH_PERCENT;
        let mut reported_at: Option<Instant> = None;
        loop {
            Timer::after(OBSERVATION_INTERVAL).await;
            if resident_bytes().is_none_or(|bytes| bytes < high_bytes) {
                reported_at = None;
                continue;
            }
            if reported_at.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
                reported_at = Some(Instant::now());
                log_line!(code = "memory-high", "{}", self.usage());
            }
        }
    }
}

/// Returns the resident memory of this process, or `None` if the system does not report it.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let units: u64 = resident.split_whitespace().next()?.parse().ok()?;
    Some(units * STATUS_UNIT)
}
