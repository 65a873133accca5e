//! The opening and closing of watches: a state machine driven by events of the watches and by time.

use super::super::poll_schedule::{PollSchedule, WatchResult};
use super::open_watch::{OpenWatch, WatchEvent};
use super::stream::WatchEnd;
use crate::log_line;
use std::net::SocketAddr;
use std::task::Context;
use std::time::{Duration, Instant};

/// Time without a complete line after which a watch has stalled, even if it receives bytes. Heartbeats are sent every
/// 2 s. An instance must act on a change within 6 s, and another watch receives the list well before then.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time without a complete line after which a candidate is replaced by a new one.
pub(super) const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The active watch, and the candidate that may replace it.
pub(super) struct WatchSet<'a, 'w, F> {
    open: F,
    schedule: &'a mut PollSchedule,
    /// The address of discovery, for log lines.
    address: SocketAddr,
    active: Option<OpenWatch<'w>>,
    candidate: Option<OpenWatch<'w>>,
    /// The time at which a candidate is opened. It replaces an existing candidate, which has received no line.
    next_open_at: Option<Instant>,
}

impl<'a, 'w, F: Fn() -> OpenWatch<'w>> WatchSet<'a, 'w, F> {
    /// Creates a set without watches. The first candidate is opened after `delay`.
    pub(super) fn new(
        open: F,
        schedule: &'a mut PollSchedule,
        address: SocketAddr,
        delay: Duration,
    ) -> WatchSet<'a, 'w, F> {
        WatchSet {
            open,
            schedule,
            address,
            active: None,
            candidate: None,
            next_open_at: Some(Instant::now() + delay),
        }
    }

    /// Polls both watches. Returns whether one of them had an event.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> bool {
        let now = Instant::now();
        if let Some(event) = poll(&mut self.candidate, context) {
            self.handle_candidate(event, now);
            return true;
        }
        if let Some(event) = poll(&mut self.active, context) {
            self.handle_active(event, now);
            return true;
        }
        false
    }

    /// Returns the time of the next time-out if no line is received before it.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let candidate_timeout = self
            .candidate
            .as_ref()
            .map(|watch| watch.progress().last_line_at + FIRST_LINE_TIMEOUT);
        let active_timeout = self
            .active
            .as_ref()
            .map(|watch| watch.progress().last_line_at + STALL_TIMEOUT);
        self.next_open_at.or(candidate_timeout).or(active_timeout)
    }

    /// Schedules the opening of a candidate if a watch has timed out, and opens a candidate if that is due.
    pub(super) fn handle_timeouts(&mut self, now: Instant) {
        if self.next_open_at.is_none() && self.next_timeout().is_some_and(|at| at <= now) {
            let delay = match self.candidate {
                Some(_) => self.schedule.retry_delay(WatchResult::NoList),
                None => self.schedule.reopen_delay(),
            };
            self.next_open_at = Some(now + delay);
        }
        if self.next_open_at.is_some_and(|at| at <= now) {
            self.next_open_at = None;
            if self.candidate.replace((self.open)()).is_some() {
                self.log_ended("no-response");
            }
        }
    }

    fn handle_candidate(&mut self, event: WatchEvent, now: Instant) {
        let candidate = self.candidate.take();
        match event {
            WatchEvent::LineReceived => {
                self.next_open_at = None;
                if std::mem::replace(&mut self.active, candidate).is_some() {
                    self.log_ended("stalled");
                }
            }
            WatchEvent::Ended(end) => self.handle_end(&end, candidate, now),
        }
    }

    fn handle_active(&mut self, event: WatchEvent, now: Instant) {
        match event {
            WatchEvent::LineReceived => {
                self.next_open_at = None;
                if self.candidate.take().is_some() {
                    self.log_ended("not-needed");
                }
            }
            WatchEvent::Ended(end) => {
                let active = self.active.take();
                self.handle_end(&end, active, now);
            }
        }
    }

    fn handle_end(&mut self, end: &WatchEnd, ended: Option<OpenWatch<'w>>, now: Instant) {
        self.log_ended(end.code());
        // If a candidate is being opened already, no other one is needed.
        if self.candidate.is_none() {
            let result = ended.map_or(WatchResult::NoList, |watch| watch.progress().result);
            let retry_at = now + self.schedule.retry_delay(result);
            self.next_open_at.get_or_insert(retry_at);
        }
    }

    fn log_ended(&self, code: &str) {
        log_line!(code, "discovery {}: watch ended", self.address);
    }
}

fn poll(watch: &mut Option<OpenWatch<'_>>, context: &mut Context<'_>) -> Option<WatchEvent> {
    watch.as_mut().and_then(|watch| watch.poll(context))
}
