//! Rule for drains: no new call is sent to an endpoint that drains or was removed from the list.

use super::{Oracle, OBSERVATION_DELAY, SLACK};
use crate::record::{Call, ListChange, ProcessEventKind};
use marblefall_process_harness::{Micros, MILLISECOND};

/// Time after the notification of a drain in which a process may still send calls to the endpoint.
const DRAIN_GRACE: Micros = 250 * MILLISECOND;
/// Maximum time after the start of a discovery gap until a process counts as notified of the changes within the gap.
const MAX_NOTIFICATION_DELAY: Micros = 6000 * MILLISECOND;

impl Oracle<'_> {
    pub(super) fn check_drains(&mut self) {
        for call in &self.record.calls {
            let Some(request) = self.request_of(call) else {
                continue;
            };
            let Some(change) = self.latest_change(call) else {
                continue;
            };
            if change.is_active {
                continue;
            }
            let notified_at = self.notified_at(request.process, change, call.first_byte_at);
            let late_by = call.first_byte_at - (notified_at + DRAIN_GRACE + SLACK);
            if late_by > OBSERVATION_DELAY && !self.was_disturbed(call) {
                let observed = format!(
                    "{} to endpoint {} at {} ms by process {}, notified at {} ms",
                    call.id,
                    call.endpoint,
                    self.ms(call.first_byte_at),
                    request.process,
                    self.ms(notified_at)
                );
                self.report("drain", observed);
            }
        }
    }

    /// Returns the last change of a call's endpoint before the call. The recorded time of the change may be slightly
    /// later than the notification of processes.
    fn latest_change(&self, call: &Call) -> Option<&ListChange> {
        let changes = self.record.list_changes.iter();
        changes
            .filter(|change| change.endpoint == call.endpoint)
            .filter(|change| change.at <= call.first_byte_at + SLACK)
            .max_by_key(|change| change.at)
    }

    /// Returns the time from which a process counts as notified of a change when it sends a call. A new process receives all
    /// earlier changes as it starts.
    fn notified_at(&self, process: usize, change: &ListChange, sent_at: Micros) -> Micros {
        let started_at = self
            .process_events(process)
            .filter(|(at, kind)| *kind == ProcessEventKind::Started && *at <= sent_at)
            .map(|(at, _)| at)
            .max();
        self.notified_by_watch_at(process, change)
            .max(started_at.unwrap_or(0))
    }

    /// Returns the time at which the watch of a process delivers a change, which is later than the change if discovery was
    /// down or the watch silent.
    fn notified_by_watch_at(&self, process: usize, change: &ListChange) -> Micros {
        let gaps = self.record.discovery_gaps.iter();
        gaps.filter(|gap| gap.subject == process)
            .map(|gap| gap.interval)
            .filter(|gap| gap.contains(change.at))
            .map(|gap| {
                let latest = gap.until.min(gap.from + MAX_NOTIFICATION_DELAY);
                latest.max(change.at)
            })
            .max()
            .unwrap_or(change.at)
    }
}
