//! The time between the first signal to a process and its kill, as its clients may know it.

use marblefall_process_harness::Micros;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;

/// Stands for no shutdown.
const NONE: Micros = 0;

/// Whether a process is being shut down, and until when it may take.
#[derive(Clone, Debug, Default)]
pub struct ShutdownWindow(Arc<AtomicI64>);

impl ShutdownWindow {
    /// The process got SIGTERM, and is killed at a time.
    pub fn begin(&self, kill_at: Micros) {
        self.0.store(kill_at, Ordering::SeqCst);
    }

    /// The process has ended.
    pub fn end(&self) {
        self.0.store(NONE, Ordering::SeqCst);
    }

    /// When the process is killed, if it is being shut down.
    pub fn kill_at(&self) -> Option<Micros> {
        Some(self.0.load(Ordering::SeqCst)).filter(|at| *at != NONE)
    }
}
