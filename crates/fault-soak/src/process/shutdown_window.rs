//! The time between SIGTERM to a process and its kill, which the owner of the process shares with its clients.

use marblefall_process_harness::Micros;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;

/// Value that stands for no shutdown.
const NONE: Micros = 0;

/// The shutdown of a process, if one is in progress, and its time limit.
#[derive(Clone, Debug, Default)]
pub struct ShutdownWindow(Arc<AtomicI64>);

impl ShutdownWindow {
    /// Begins a shutdown, which ends with a kill at the given time at the latest.
    pub fn begin(&self, kill_at: Micros) {
        self.0.store(kill_at, Ordering::SeqCst);
    }

    /// Ends the shutdown, after the process has ended.
    pub fn end(&self) {
        self.0.store(NONE, Ordering::SeqCst);
    }

    /// Returns the time of the kill if the process is being shut down.
    pub fn kill_at(&self) -> Option<Micros> {
        Some(self.0.load(Ordering::SeqCst)).filter(|at| *at != NONE)
    }
}
