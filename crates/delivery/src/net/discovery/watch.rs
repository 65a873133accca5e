//! The watch on the endpoint list.
//!
//! [`WatchSet`] keeps the active watch, and a candidate that is opened beside it once it has fallen silent. The silent
//! one is kept until then: it may have been discovery that was silent, and whichever of them receives a line first is
//! the one that counts.

mod line_buffer;
mod stream;

use super::poll_schedule::WatchResult;
use super::{DiscoveryEndpoint, NameIndex, PollSchedule};
use crate::core::engine::EngineEvent;
use crate::log_line;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::{self, Future};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use stream::{follow, StreamRequest};

/// An empty line comes every 2 s while nothing changes: a watch on which no whole line came for so long has fallen silent,
/// however many bytes trickle in. What it misses counts as known 6 s after that, so that another one is requested beside
/// it and has received the list well before then ...
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2600);
/// ... and one that has received nothing for so long is followed by yet another.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What an instance watches.
pub struct ListWatch {
    /// The names that stand for numbers in the settings.
    pub names: NameIndex,
    /// The version of the list that is known already; 0 for none.
    pub since_revision: u64,
}

/// Watches the endpoint list for ever; each watch that ends or falls silent is followed by another.
pub async fn watch_endpoints(
    mut discovery: DiscoveryEndpoint,
    watch: ListWatch,
    mut schedule: PollSchedule,
    engine: Sender<EngineEvent>,
) {
    let since_revision = Cell::new(watch.since_revision);
    // A new incarnation requests at once: what it knows may be old, and changes since count as known to it as soon as to
    // those that watched.
    let mut delay = Duration::ZERO;
    loop {
        let address = discovery.address;
        let request = StreamRequest {
            address,
            names: &watch.names,
            since_revision: &since_revision,
            engine: &engine,
        };
        let open = || OpenWatch::new(|progress| follow(request, progress));
        let watching = WatchSet::new(open, &mut schedule, delay).run(address);
        if discovery.unless_moved(watching).await.is_none() {
            // Versions are the old address's own count: the new one is asked for the whole list.
            since_revision.set(0);
            delay = schedule.first_delay();
        }
    }
}

/// What a watch has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchProgress {
    /// When the last whole line came, or the watch was opened.
    last_line_at: Instant,
    /// Whole lines, empty ones counted.
    lines: u64,
    /// Whether one of them was a list.
    result: WatchResult,
}

/// A watch that is open or being opened.
struct OpenWatch<'a> {
    task: Pin<Box<dyn Future<Output = &'static str> + 'a>>,
    progress: Rc<Cell<WatchProgress>>,
}

enum WatchEvent {
    LineReceived,
    /// For a reason code.
    Ended(&'static str),
}

impl<'a> OpenWatch<'a> {
    fn new<F: Future<Output = &'static str> + 'a>(
        follow: impl FnOnce(Rc<Cell<WatchProgress>>) -> F,
    ) -> OpenWatch<'a> {
        let progress = Rc::new(Cell::new(WatchProgress {
            last_line_at: Instant::now(),
            lines: 0,
            result: WatchResult::NoList,
        }));
        OpenWatch {
            task: Box::pin(follow(progress.clone())),
            progress,
        }
    }

    /// Runs it on; returns what happened, if anything.
    fn poll(&mut self, context: &mut Context<'_>) -> Option<WatchEvent> {
        let lines_before = self.progress.get().lines;
        match self.task.as_mut().poll(context) {
            Poll::Ready(code) => Some(WatchEvent::Ended(code)),
            Poll::Pending => {
                (self.progress.get().lines > lines_before).then_some(WatchEvent::LineReceived)
            }
        }
    }

    fn last_line_at(&self) -> Instant {
        self.progress.get().last_line_at
    }
}

/// The active watch, and the candidate that is to replace it.
struct WatchSet<'a, 'w, F> {
    open: F,
    schedule: &'a mut PollSchedule,
    active: Option<OpenWatch<'w>>,
    candidate: Option<OpenWatch<'w>>,
    /// When another candidate is opened, in place of one that is still waiting for its first line.
    next_open_at: Option<Instant>,
}

impl<'a, 'w, F: Fn() -> OpenWatch<'w>> WatchSet<'a, 'w, F> {
    fn new(open: F, schedule: &'a mut PollSchedule, delay: Duration) -> WatchSet<'a, 'w, F> {
        WatchSet {
            open,
            schedule,
            active: None,
            candidate: None,
            next_open_at: Some(Instant::now() + delay),
        }
    }

    async fn run(mut self, address: SocketAddr) {
        loop {
            self.handle_timeouts(Instant::now(), address);
            let mut timer = self.next_timeout().map_or_else(Timer::never, Timer::at);
            future::poll_fn(|context| {
                if self.poll_watches(context, address) {
                    return Poll::Ready(());
                }
                Pin::new(&mut timer).poll(context).map(drop)
            })
            .await;
        }
    }

    /// Runs both watches on; returns whether one of them had an event.
    fn poll_watches(&mut self, context: &mut Context<'_>, address: SocketAddr) -> bool {
        let now = Instant::now();
        if let Some(event) = poll_watch(&mut self.candidate, context) {
            self.handle_candidate(event, now, address);
            return true;
        }
        if let Some(event) = poll_watch(&mut self.active, context) {
            self.handle_active(event, now, address);
            return true;
        }
        false
    }

    /// When something is due even if nothing is received.
    fn next_timeout(&self) -> Option<Instant> {
        let candidate_late = self
            .candidate
            .as_ref()
            .map(|watch| watch.last_line_at() + FIRST_LINE_TIMEOUT);
        let active_silent = self
            .active
            .as_ref()
            .map(|watch| watch.last_line_at() + SILENCE_TIMEOUT);
        self.next_open_at.or(candidate_late).or(active_silent)
    }

    fn handle_timeouts(&mut self, now: Instant, address: SocketAddr) {
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
                log_line!(code = "no-response", "discovery {address}: watch ended");
            }
        }
    }

    fn handle_candidate(&mut self, event: WatchEvent, now: Instant, address: SocketAddr) {
        let candidate = self.candidate.take();
        match event {
            WatchEvent::LineReceived => {
                self.next_open_at = None;
                if std::mem::replace(&mut self.active, candidate).is_some() {
                    log_line!(code = "silent", "discovery {address}: watch ended");
                }
            }
            WatchEvent::Ended(code) => self.handle_end(code, candidate, now, address),
        }
    }

    fn handle_active(&mut self, event: WatchEvent, now: Instant, address: SocketAddr) {
        match event {
            WatchEvent::LineReceived => {
                self.next_open_at = None;
                if self.candidate.take().is_some() {
                    log_line!(code = "not-needed", "discovery {address}: watch ended");
                }
            }
            WatchEvent::Ended(code) => {
                let active = self.active.take();
                self.handle_end(code, active, now, address);
            }
        }
    }

    fn handle_end(
        &mut self,
        code: &str,
        ended: Option<OpenWatch<'w>>,
        now: Instant,
        address: SocketAddr,
    ) {
        log_line!(code, "discovery {address}: watch ended");
        // A candidate that is being opened is as good as another.
        if self.candidate.is_none() {
            let result = ended.map_or(WatchResult::NoList, |watch| watch.progress.get().result);
            let retry_at = now + self.schedule.retry_delay(result);
            self.next_open_at.get_or_insert(retry_at);
        }
    }
}

fn poll_watch(watch: &mut Option<OpenWatch<'_>>, context: &mut Context<'_>) -> Option<WatchEvent> {
    watch.as_mut().and_then(|watch| watch.poll(context))
}

#[cfg(test)]
mod tests;
