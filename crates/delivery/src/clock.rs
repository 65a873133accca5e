//! The instance's clock: monotonic time as the core counts it, and Unix time that does not step.
//!
//! The machine's wall clock may be set at any moment, by seconds or by an hour. Deadlines, windows and backoffs are spans
//! of real time, also across a restart, so that nothing in the journal may be read off the wall clock. [`SteadyClock`] is
//! Unix time as the wall clock had it once, carried on by the machine's monotonic clock, which all its processes share.
//! What relates the two lasts in the state folder for as long as the machine runs.

use crate::core::Timestamp;
use crate::log_line;
use marblefall_scheduler::Time;
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The file in the state folder.
const FILE: &str = "clock";
/// Names the start of the machine that its monotonic clock counts from.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Unix time that neither jumps nor differs between two processes that share a state folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SteadyClock {
    /// What it shows at the start of the machine's monotonic clock, in milliseconds.
    unix_ms_at_boot: i64,
}

/// What lasts of it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockRecord {
    boot_id: String,
    unix_ms_at_boot: i64,
}

impl SteadyClock {
    /// A clock that shows what the wall clock shows now.
    pub fn from_wall_clock() -> SteadyClock {
        SteadyClock {
            unix_ms_at_boot: wall_unix_ms() - monotonic_ms(),
        }
    }

    /// The clock of a state folder. The first process of the machine that uses the folder sets it by the wall clock.
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

    /// The clock that processes of a state folder count by, for who only reads what they wrote; the wall clock where the
    /// folder has none of this machine's.
    pub fn read_or_wall_clock(folder: &Path) -> SteadyClock {
        let known = read(folder, &boot_id()).ok().flatten();
        known.unwrap_or_else(SteadyClock::from_wall_clock)
    }

    /// What it shows now, as Unix time in milliseconds.
    pub fn unix_ms(self) -> i64 {
        self.unix_ms_at_boot + monotonic_ms()
    }
}

/// What a folder's file says, if it was written since the machine started.
fn read(folder: &Path, boot_id: &str) -> io::Result<Option<SteadyClock>> {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    // One that cannot be parsed was written by nobody who still runs.
    let record = serde_json::from_slice::<ClockRecord>(&bytes).ok();
    let of_this_boot = record.filter(|record| !boot_id.is_empty() && record.boot_id == boot_id);
    Ok(of_this_boot.map(|record| SteadyClock {
        unix_ms_at_boot: record.unix_ms_at_boot,
    }))
}

/// Empty where the system does not tell: then each process sets its own clock.
fn boot_id() -> String {
    fs::read_to_string(BOOT_ID_FILE)
        .map(|text| text.trim().to_owned())
        .unwrap_or_default()
}

/// Milliseconds on the machine's monotonic clock, read by way of the C library as the standard library reads it.
fn monotonic_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map_or(0, |now| now.tv_sec() * 1000 + now.tv_nsec() / 1_000_000)
}

/// The wall clock's Unix time in milliseconds: for dates that others write, and for nothing that is measured.
pub fn wall_unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as i64)
}

/// When a request was read, on both of the instance's Unix clocks, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedAt {
    /// On the steady clock: what the core counts by.
    pub steady_ms: i64,
    /// On the wall clock: what dates in a request relate to.
    pub wall_ms: i64,
}

impl ReceivedAt {
    /// The steady clock's time at a date that was taken from the wall clock.
    pub fn steady_ms_of(self, wall_ms: i64) -> i64 {
        self.steady_ms
            .saturating_add(wall_ms.saturating_sub(self.wall_ms))
    }
}

/// The clocks as the core counts them.
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

    /// The present moment for a request that was just read.
    pub fn received_at(self) -> ReceivedAt {
        ReceivedAt {
            steady_ms: self.steady.unix_ms(),
            wall_ms: wall_unix_ms(),
        }
    }

    /// The instant of a time on this clock; the clock's start for a time before it.
    pub fn instant(self, at: Time) -> Instant {
        self.started_at + Duration::from_micros(at.0.max(0) as u64)
    }
}

#[cfg(test)]
mod tests;
