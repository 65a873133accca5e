//! The watch on the endpoint list.
//!
//! Discovery sends an empty line as a heartbeat while nothing changes; a watch that receives no line for some time has
//! stalled. [`WatchSet`] then opens a candidate beside the active watch. Since discovery itself may have stalled, both
//! stay open until one of them receives a line; the other is closed then.

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
use stream::{follow, StreamRequest, WatchEnd};

/// A watch that receives no complete line for this long has stalled, even if it receives bytes; heartbeats are sent every
/// 2 s. An instance must act on a change within 6 s, and another watch has received the list well before then.
const STALL_TIMEOUT: Duration = Duration::from_millis(2600);
/// A candidate that receives no complete line for this long is replaced by another one.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a watch needs to know of the instance.
pub struct ListWatch {
    /// The names of kinds and zones.
    pub names: NameIndex,
    /// The revision of the list that the instance has; 0 for none.
    pub since_revision: u64,
}

/// Watches the endpoint list for ever; each watch that ends or stalls is followed by another.
pub async fn watch_endpoints(
    mut discovery: DiscoveryEndpoint,
    watch: ListWatch,
    mut schedule: PollSchedule,
    engine: Sender<EngineEvent>,
) {
    let since_revision = Cell::new(watch.since_revision);
    // A new incarnation requests at once: its list may be old, and it must act on changes as soon as instances that have
    // been watching.
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
            // Revisions are counted per address, so the complete list is requested from the new one.
            since_revision.set(0);
            delay = schedule.first_delay();
        }
    }
}

/// What a watch has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WatchProgress {
    /// When the last complete line was received, or else the watch was opened.
    last_line_at: Instant,
    /// The number of complete lines, heartbeats included.
    lines: u64,
    /// Whether one of them was a list.
    result: WatchResult,
}

impl WatchProgress {
    /// The progress of a watch that is opened now.
    fn new() -> WatchProgress {
        WatchProgress {
            last_line_at: Instant::now(),
            lines: 0,
            result: WatchResult::NoList,
        }
    }
}

/// A watch that is open or being opened.
struct OpenWatch<'a> {
    task: Pin<Box<dyn Future<Output = WatchEnd> + 'a>>,
    progress: Rc<Cell<WatchProgress>>,
}

enum WatchEvent {
    LineReceived,
    Ended(WatchEnd),
}

impl<'a> OpenWatch<'a> {
    fn new<F: Future<Output = WatchEnd> + 'a>(
        follow: impl FnOnce(Rc<Cell<WatchProgress>>) -> F,
    ) -> OpenWatch<'a> {
        let progress = Rc::new(Cell::new(WatchProgress::new()));
        OpenWatch {
            task: Box::pin(follow(progress.clone())),
            progress,
        }
    }

    /// Polls the watch; returns its event, if there is one.
    fn poll(&mut self, context: &mut Context<'_>) -> Option<WatchEvent> {
        let lines_before = self.progress.get().lines;
        match self.task.as_mut().poll(context) {
            Poll::Ready(end) => Some(WatchEvent::Ended(end)),
            Poll::Pending => {
                (self.progress.get().lines > lines_before).then_some(WatchEvent::LineReceived)
            }
        }
    }

    fn last_line_at(&self) -> Instant {
        self.progress.get().last_line_at
    }
}

/// The active watch, and the candidate that may replace it.
struct WatchSet<'a, 'w, F> {
    open: F,
    schedule: &'a mut PollSchedule,
    active: Option<OpenWatch<'w>>,
    candidate: Option<OpenWatch<'w>>,
    /// When another candidate is opened; it replaces one that has received no line.
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

    /// Polls both watches; returns whether one of them had an event.
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

    /// When the next step is due if nothing is received.
    fn next_timeout(&self) -> Option<Instant> {
        let candidate_timeout = self
            .candidate
            .as_ref()
            .map(|watch| watch.last_line_at() + FIRST_LINE_TIMEOUT);
        let active_timeout = self
            .active
            .as_ref()
            .map(|watch| watch.last_line_at() + STALL_TIMEOUT);
        self.next_open_at.or(candidate_timeout).or(active_timeout)
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
                    log_line!(code = "stalled", "discovery {address}: watch ended");
                }
            }
            WatchEvent::Ended(end) => self.handle_end(&end, candidate, now, address),
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
            WatchEvent::Ended(end) => {
                let active = self.active.take();
                self.handle_end(&end, active, now, address);
            }
        }
    }

    fn handle_end(
        &mut self,
        end: &WatchEnd,
        ended: Option<OpenWatch<'w>>,
        now: Instant,
        address: SocketAddr,
    ) {
        log_line!(code = end.code(), "discovery {address}: watch ended");
        // A candidate that is being opened makes another one unnecessary.
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
