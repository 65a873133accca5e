//! Shutdown of a process by signals, and the choice of the process that runs afterwards.

use super::{DueSignals, ProcessOwner, POLL_INTERVAL, SHUTDOWN_LIMIT, SUSPENSION};
use crate::plan::PlannedFaultKind;
use crate::record::ProcessEventKind;
use marblefall_process_harness::{monotonic_micros, HarnessError, Micros, Process, Signal};
use std::thread;

/// State of a process during its shutdown.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    Ended,
}

impl ProcessOwner {
    pub(super) fn kill(&self, process: &mut Process) -> Result<(), HarnessError> {
        self.record_event(ProcessEventKind::Killed);
        process.kill()
    }

    pub(super) fn suspend(&self, process: &Process) {
        self.record_event(ProcessEventKind::Suspended);
        process.signal(Signal::STOP);
        thread::sleep(SUSPENSION);
        process.signal(Signal::CONT);
    }

    /// Sends SIGTERM, and SIGKILL if the process has not ended in time. Signals of the plan that become due in between are
    /// sent as well. Returns the successor if one was started beside the process.
    pub(super) fn terminate(
        &self,
        process: &mut Process,
        due: &mut DueSignals,
    ) -> Result<Option<Process>, HarnessError> {
        self.record_event(ProcessEventKind::Terminated);
        process.signal(Signal::TERM);
        let kill_at = monotonic_micros() + SHUTDOWN_LIMIT;
        self.shutdown.begin(kill_at);
        let mut successor = None;
        let ended = self.await_end(process, kill_at, due, &mut successor);
        self.shutdown.end();
        ended.map(|()| successor)
    }

    fn await_end(
        &self,
        process: &mut Process,
        kill_at: Micros,
        due: &mut DueSignals,
        successor: &mut Option<Process>,
    ) -> Result<(), HarnessError> {
        while self.end_if_due(process, kill_at)? == ProcessState::Running {
            match due.pop_due() {
                Some(PlannedFaultKind::Kill) => return self.kill(process),
                Some(PlannedFaultKind::Replace) if successor.is_none() => {
                    *successor = Some(self.start_unrecorded()?);
                }
                Some(PlannedFaultKind::Terminate | PlannedFaultKind::Replace) => {
                    process.signal(Signal::TERM);
                }
                Some(PlannedFaultKind::Suspend) => self.suspend(process),
                Some(_) => {
                    process.signal(Signal::HUP);
                }
                None => thread::sleep(POLL_INTERVAL),
            }
        }
        Ok(())
    }

    /// Records the end of a process after SIGTERM. Kills the process if `kill_at` has passed.
    fn end_if_due(
        &self,
        process: &mut Process,
        kill_at: Micros,
    ) -> Result<ProcessState, HarnessError> {
        match process.exit_status() {
            Some(status) if status.success() => self.record_event(ProcessEventKind::Ended),
            Some(_) => self.record_unexpected_end(process),
            None if monotonic_micros() >= kill_at => self.kill(process)?,
            None => return Ok(ProcessState::Running),
        }
        Ok(ProcessState::Ended)
    }

    /// Returns the successor that was started during a shutdown if it still runs, or a restarted process.
    pub(super) fn continue_with(
        &self,
        successor: Option<Process>,
        ended: &Process,
        logs: &mut String,
    ) -> Result<Process, HarnessError> {
        let Some(mut successor) = successor else {
            return self.restart(ended, logs);
        };
        if successor.exit_status().is_some() {
            self.record_unexpected_end(&successor);
            logs.push_str(&successor.log());
            return self.restart(ended, logs);
        }
        logs.push_str(&ended.log());
        self.record_event(ProcessEventKind::Started);
        Ok(successor)
    }
}
