//! The reads of a connection, as its owner observes them.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The time of a connection's last read, and the memory that was granted to it.
#[derive(Debug)]
pub struct Activity {
    last_read_at: Cell<Instant>,
    granted: Cell<usize>,
}

impl Default for Activity {
    fn default() -> Activity {
        Activity {
            last_read_at: Cell::new(Instant::now()),
            granted: Cell::default(),
        }
    }
}

impl Activity {
    /// Returns the time since the last read.
    pub fn idle_time(&self) -> Duration {
        self.last_read_at.get().elapsed()
    }

    /// Returns the number of bytes that were granted for the message that is being received.
    pub fn granted(&self) -> usize {
        self.granted.get()
    }

    pub(super) fn record_read(&self) {
        self.last_read_at.set(Instant::now());
    }

    pub(super) fn set_granted(&self, granted: usize) {
        self.granted.set(granted);
    }
}
