//! The clocks of an instance: the monotonic time of the core, and Unix time that does not step.
//!
//! The machine's wall clock may be stepped at any moment, by seconds or by an hour. Deadlines, windows and backoffs are
//! spans of real time, also across a restart, so the times in the journal are not times of the wall clock.
//!
//! [`SteadyClock`] is Unix time that is read from the wall clock once and then advanced by the machine's monotonic clock,
//! which all processes of the machine share. The offset between the two is stored in the state folder and is valid until
//! the machine restarts.

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

/// Name of the clock file in the state folder.
const FILE_NAME: &str = "clock";
/// System file that identifies the last boot of the machine, from which the monotonic clock counts.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Unix time that neither jumps nor differs between two processes that share a state folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SteadyClock {
    /// Unix time in milliseconds at the zero point of the machine's monotonic clock.
    unix_ms_at_boot: i64,
}

/// The content of the clock file.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockRecord {
    boot_id: String,
    unix_ms_at_boot: i64,
}

impl SteadyClock {
    /// Creates a clock that is set to the current time of the wall clock.
    pub fn from_wall_clock() -> SteadyClock {
        SteadyClock {
            unix_ms_at_boot: wall_unix_ms() - monotonic_ms(),
        }
    }

    /// Opens the clock of a state folder. The first process that uses the folder after a boot of the machine sets the clock
    /// to the time of the wall clock.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<SteadyClock> {
        let boot_id = boot_id();
        if let Some(clock) = read(folder, &boot_id)? {
            let ahead_ms = wall_unix_ms() - clock.unix_ms();
            log_line!(
                code = "clock-carried-on",
                "the wall clock is {ahead_ms} ms ahead of the stored clock of this folder, which stays in use"
            );
            return Ok(clock);
        }
        let clock = SteadyClock::from_wall_clock();
        let record = ClockRecord {
            boot_id,
            unix_ms_at_boot: clock.unix_ms_at_boot,
        };
        let text = serde_json::to_vec(&record)?;
        let temporary = folder.join(format!("{FILE_NAME}.{}", std::process::id()));
        let written = fs::write(&temporary, text)
            .and_then(|()| fs::rename(&temporary, folder.join(FILE_NAME)));
        if let Err(error) = written {
            let _ = fs::remove_file(&temporary);
            return Err(error);
        }
        Ok(clock)
    }

    /// Reads the clock of a state folder without writing one. Returns a clock set to the wall clock if none was stored since
    /// the last boot of the machine.
    pub fn read_or_wall_clock(folder: &Path) -> SteadyClock {
        let stored = read(folder, &boot_id()).ok().flatten();
        stored.unwrap_or_else(SteadyClock::from_wall_clock)
    }

    /// Returns the current Unix time in milliseconds.
    pub fn unix_ms(self) -> i64 {
        self.unix_ms_at_boot + monotonic_ms()
    }
}

/// Reads the clock of a folder, if it was written since the last boot of the machine.
fn read(folder: &Path, boot_id: &str) -> io::Result<Option<SteadyClock>> {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    // A file that cannot be parsed is ignored, as no running process has written it.
    let record = serde_json::from_slice::<ClockRecord>(&bytes).ok();
    let of_this_boot = record.filter(|record| !boot_id.is_empty() && record.boot_id == boot_id);
    Ok(of_this_boot.map(|record| SteadyClock {
        unix_ms_at_boot: record.unix_ms_at_boot,
    }))
}

/// Returns the identifier of the machine's last boot. It is empty if the system does not provide one; each process then
/// has its own clock.
fn boot_id() -> String {
    fs::read_to_string(BOOT_ID_FILE)
        .map(|text| text.trim().to_owned())
        .unwrap_or_default()
}

/// Returns the time of the machine's monotonic clock in milliseconds. The clock is read through the C library, as in the
/// standard library.
fn monotonic_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |now| {
        now.tv_sec() * MS_PER_SECOND + now.tv_nsec() / NANOS_PER_MS
    })
}

/// Returns the wall clock's Unix time in milliseconds. It is only compared with dates from other machines, and never used
/// to measure time.
pub fn wall_unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as i64)
}

/// The time at which a request was read, on both Unix clocks of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAt {
    /// Time on the steady clock, which the core uses, in milliseconds.
    pub steady_ms: i64,
    /// Time on the wall clock, which dates in a request refer to, in milliseconds.
    pub wall_ms: i64,
}

impl ReceivedAt {
    /// Converts a time of the wall clock to the steady clock, both in milliseconds.
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
    /// Creates a clock whose monotonic time starts now.
    pub fn start(steady: SteadyClock) -> Clock {
        Clock {
            started_at: Instant::now(),
            steady,
        }
    }

    /// Returns the current time.
    pub fn now(self) -> Timestamp {
        Timestamp {
            monotonic: Time(self.started_at.elapsed().as_micros() as i64),
            unix_ms: self.steady.unix_ms(),
        }
    }

    /// Returns the current time as the time at which a request was read.
    pub fn received_at(self) -> ReceivedAt {
        ReceivedAt {
            steady_ms: self.steady.unix_ms(),
            wall_ms: wall_unix_ms(),
        }
    }

    /// Converts a monotonic time to an instant. A time before the start of the clock becomes its start.
    pub fn instant(self, at: Time) -> Instant {
        self.started_at + Duration::from_micros(at.0.max(0) as u64)
    }
}

#[cfg(test)]
mod tests;
