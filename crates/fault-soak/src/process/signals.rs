//! Queue of the planned signals to one process.

use crate::plan::PlannedFaultKind;
use marblefall_process_harness::{monotonic_micros, Micros};
use std::collections::VecDeque;

/// A process fault of the plan and its start time.
pub(super) struct DueSignal {
    pub(super) at: Micros,
    pub(super) kind: PlannedFaultKind,
}

/// Signals of the plan that have not been sent yet, in the order of their times.
#[derive(Default)]
pub(super) struct DueSignals(pub(super) VecDeque<DueSignal>);

impl DueSignals {
    /// Removes and returns the next signal if it is due.
    pub(super) fn pop_due(&mut self) -> Option<PlannedFaultKind> {
        let next = self.0.front()?;
        if next.at > monotonic_micros() {
            return None;
        }
        self.0.pop_front().map(|signal| signal.kind)
    }
}
