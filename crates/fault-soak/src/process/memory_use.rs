//! The memory that the incarnations of one process use together, with the files of their state folder.

use marblefall_process_harness::{monotonic_micros, Micros, Process, MILLISECOND};
use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

/// Interval between two observations.
const INTERVAL: Micros = 15 * MILLISECOND;
const KB_PER_MB: u64 = 1000;
const BYTES_PER_KB: u64 = 1000;

#[derive(Debug, Default)]
struct Observed {
    last_at: Micros,
    max_kb: u64,
}

/// Observes the memory of one process and its successors.
#[derive(Clone, Debug)]
pub struct MemoryUse {
    folder: PathBuf,
    observed: Arc<Mutex<Observed>>,
}

impl MemoryUse {
    /// Creates the observation of a process with a state folder, whose files count as memory.
    pub fn new(state_folder: PathBuf) -> MemoryUse {
        MemoryUse {
            folder: state_folder,
            observed: Arc::default(),
        }
    }

    /// Observes the processes that run now, unless the last observation is recent.
    pub fn observe(&self, running: &[&Process]) {
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let now = monotonic_micros();
        if now - observed.last_at < INTERVAL {
            return;
        }
        observed.last_at = now;
        let usages = running
            .iter()
            .filter_map(|process| process.resource_usage());
        let resident_kb: u64 = usages.map(|usage| usage.resident_kb).sum();
        observed.max_kb = observed.max_kb.max(resident_kb + self.files_kb());
    }

    fn files_kb(&self) -> u64 {
        let files = fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let bytes: u64 = files
            .filter_map(|file| file.metadata().ok())
            .map(|metadata| metadata.len())
            .sum();
        bytes / BYTES_PER_KB
    }

    /// Returns the largest amount of memory that was observed, in kilobytes.
    pub fn max_kb(&self) -> u64 {
        let observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        observed.max_kb
    }

    /// Returns the description of a memory limit that was exceeded.
    pub fn problem(&self, limit_mb: u32) -> Option<String> {
        let max_kb = self.max_kb();
        let exceeds = max_kb > u64::from(limit_mb) * KB_PER_MB;
        exceeds.then(|| format!("used {max_kb} KB of memory, of {limit_mb} MB"))
    }
}
