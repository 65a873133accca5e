//! The instance's clock: the monotonic time of the core, and Unix time that does not step.
//!
//! The machine's wall clock may be set at any moment, by seconds or by an hour. Deadlines, windows and backoffs are spans
//! of real time, also across a restart, so the times in the journal are not those of the wall clock. [`SteadyClock`] is
//! Unix time that was read from the wall clock once and is advanced by the machine's monotonic clock, which all its
//! processes share. The offset between the two is stored in the state folder and is valid until the machine restarts.

use crate::core::Timestamp;
use crate::log_line;
use marblefall_scheduler::Time;
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MS_PER_SECOND: i64 = 1000;
const NANOS_PER_MS: i64 = 1_000_000;

/// The name of the file in the state folder.
const FILE: &str = "clock";
/// The system's file that identifies the machine's last start, from which its monotonic clock counts.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Unix time that neither jumps nor differs between two processes that share a state folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SteadyClock {
    /// Its time at the start of the machine's monotonic clock, as Unix time in milliseconds.
    unix_ms_at_boot: i64,
}

/// The content of the file.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockRecord {
    boot_id: String,
    unix_ms_at_boot: i64,
}

impl SteadyClock {
    /// A clock that starts with the present time of the wall clock.
    pub fn from_wall_clock() -> SteadyClock {
        SteadyClock {
            unix_ms_at_boot: wall_unix_ms() - monotonic_ms(),
        }
    }

    /// The clock of a state folder. The first process that uses the folder after a start of the machine sets it by the
    /// wall clock.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<SteadyClock> {
        let boot_id = boot_id();
        if let Some(clock) = read(folder, &boot_id)? {
            let ahead_ms = wall_unix_ms() - clock.unix_ms();
            log_line!(
                code = "clock-carried-on",
                "the wall clock is {ahead_ms} ms ahead of what it was set to when this folder was first used"
            );
            return Ok(clock);
        }
        let clock = SteadyClock::from_wall_clock();
        let record = ClockRecord {
            boot_id,
            unix_ms_at_boot: clock.unix_ms_at_boot,
        };
        let text = serde_json::to_vec(&record)?;
        let temporary = folder.join(format!("{FILE}.{}", std::process::id()));
        let written =
            fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, folder.join(FILE)));
        if let Err(error) = written {
            let _ = fs::remove_file(&temporary);
            return Err(error);
        }
        Ok(clock)
    }

    /// The clock of a state folder that is only read; the wall clock where the folder has none since the machine started.
    pub fn read_or_wall_clock(folder: &Path) -> SteadyClock {
        let stored = read(folder, &boot_id()).ok().flatten();
        stored.unwrap_or_else(SteadyClock::from_wall_clock)
    }

    /// The present Unix time in milliseconds.
    pub fn unix_ms(self) -> i64 {
        self.unix_ms_at_boot + monotonic_ms()
    }
}

/// Reads a folder's clock, if it was written since the machine started.
fn read(folder: &Path, boot_id: &str) -> io::Result<Option<SteadyClock>> {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    // No running process has written a file that cannot be parsed.
    let record = serde_json::from_slice::<ClockRecord>(&bytes).ok();
    let of_this_boot = record.filter(|record| !boot_id.is_empty() && record.boot_id == boot_id);
    Ok(of_this_boot.map(|record| SteadyClock {
        unix_ms_at_boot: record.unix_ms_at_boot,
    }))
}

/// Identifies the machine's last start. Empty where the system does not provide it: each process then has its own clock.
fn boot_id() -> String {
    fs::read_to_string(BOOT_ID_FILE)
        .map(|text| text.trim().to_owned())
        .unwrap_or_default()
}

/// The machine's monotonic clock in milliseconds. It is read through the C library, as the standard library does.
fn monotonic_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |now| {
        now.tv_sec() * MS_PER_SECOND + now.tv_nsec() / NANOS_PER_MS
    })
}

/// The wall clock's Unix time in milliseconds. It is only compared with dates from outside, never used to measure time.
pub fn wall_unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as i64)
}

/// When a request was read, on both Unix clocks of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAt {
    /// On the steady clock, which the core uses, in milliseconds.
    pub steady_ms: i64,
    /// On the wall clock, which dates in a request refer to, in milliseconds.
    pub wall_ms: i64,
}

impl ReceivedAt {
    /// The steady clock's time at a date of the wall clock, both in milliseconds.
    pub fn steady_ms_of(self, wall_ms: i64) -> i64 {
        self.steady_ms
            .saturating_add(wall_ms.saturating_sub(self.wall_ms))
    }
}

/// The clocks that the core uses.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    steady: SteadyClock,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start(steady: SteadyClock) -> Clock {
        Clock {
            started_at: Instant::now(),
            steady,
        }
    }

    /// The present moment.
    pub fn now(self) -> Timestamp {
        Timestamp {
            monotonic: Time(self.started_at.elapsed().as_micros() as i64),
            unix_ms: self.steady.unix_ms(),
        }
    }

    /// The present moment as the time of a request that was just read.
    pub fn received_at(self) -> ReceivedAt {
        ReceivedAt {
            steady_ms: self.steady.unix_ms(),
            wall_ms: wall_unix_ms(),
        }
    }

    /// The instant of a monotonic time; the clock's start for an earlier time.
    pub fn instant(self, at: Time) -> Instant {
        self.started_at + Duration::from_micros(at.0.max(0) as u64)
    }
}

#[cfg(test)]
mod tests;
