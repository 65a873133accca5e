//! The resource usage of a process, as reported by `/proc`.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The unit of processor time in `/proc`, which is fixed for programs on Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Indexes of the ticks in user mode and in kernel mode among the fields of `/proc/PID/stat` after the program's name.
const TICK_FIELDS: [usize; 2] = [11, 12];

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time since the start of the process.
    pub processor_time: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Maximum of the resident memory since the start of the process, in kilobytes.
    pub peak_resident_kb: u64,
    /// Number of open file descriptors.
    pub open_files: usize,
}

impl ResourceUsage {
    /// Returns the usage of a process, or `None` if it has exited.
    pub fn of_process(pid: u32) -> Option<ResourceUsage> {
        let process = PathBuf::from(format!("/proc/{pid}"));
        Some(ResourceUsage {
            processor_time: processor_time(&process)?,
            resident_kb: status_kb(&process, "VmRSS:")?,
            peak_resident_kb: status_kb(&process, "VmHWM:")?,
            open_files: fs::read_dir(process.join("fd")).map_or(0, Iterator::count),
        })
    }
}

fn processor_time(process: &Path) -> Option<Duration> {
    let stat = fs::read_to_string(process.join("stat")).ok()?;
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let mut ticks = 0;
    for index in TICK_FIELDS {
        ticks += fields.get(index)?.parse::<u32>().ok()?;
    }
    Some(CLOCK_TICK * ticks)
}

/// Returns a value in kilobytes from the status of a process.
fn status_kb(process: &Path, name: &str) -> Option<u64> {
    let status = fs::read_to_string(process.join("status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_whitespace().next()?.parse().ok()
}
