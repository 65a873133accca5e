//! Rule for starts: processes become ready in time.

use super::Oracle;
use crate::record::ProcessEventKind;
use marblefall_process_harness::{Micros, MILLISECOND};

/// Maximum time between the start of a process and its readiness.
const MAX_TIME_TO_READY: Micros = 10_000 * MILLISECOND;

impl Oracle<'_> {
    pub(super) fn check_time_to_ready(&mut self) {
        let processes = self.record.process_events.iter().map(|event| event.process);
        let count = processes.max().map_or(0, |last| last + 1);
        for process in 0..count {
            let mut started_at = None;
            for (at, kind) in self.process_events(process) {
                match kind {
                    ProcessEventKind::Started => started_at = Some(at),
                    ProcessEventKind::Ready => {
                        let took = started_at.take().map_or(0, |since| at - since);
                        if took > MAX_TIME_TO_READY {
                            let ms = took / MILLISECOND;
                            self.report("ready", format!("process {process} took {ms} ms"));
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}
