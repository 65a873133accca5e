//! One watch as a task, and what it has received so far.

use super::super::poll_schedule::WatchResult;
use super::stream::WatchEnd;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// What a watch has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchProgress {
    /// When the last complete line was received, or else the watch was opened.
    pub(super) last_line_at: Instant,
    /// The number of complete lines, heartbeats included.
    pub(super) lines: u64,
    /// Whether one of them was a list.
    pub(super) result: WatchResult,
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
pub(super) struct OpenWatch<'a> {
    task: Pin<Box<dyn Future<Output = WatchEnd> + 'a>>,
    progress: Rc<Cell<WatchProgress>>,
}

/// What happened on a watch.
pub(super) enum WatchEvent {
    /// At least one complete line was received.
    LineReceived,
    Ended(WatchEnd),
}

impl<'a> OpenWatch<'a> {
    /// A watch that is opened when it is first polled.
    pub(super) fn new<F: Future<Output = WatchEnd> + 'a>(
        follow: impl FnOnce(Rc<Cell<WatchProgress>>) -> F,
    ) -> OpenWatch<'a> {
        let progress = Rc::new(Cell::new(WatchProgress::new()));
        OpenWatch {
            task: Box::pin(follow(progress.clone())),
            progress,
        }
    }

    /// Polls the watch; returns its event, if there is one.
    pub(super) fn poll(&mut self, context: &mut Context<'_>) -> Option<WatchEvent> {
        let lines_before = self.progress.get().lines;
        match self.task.as_mut().poll(context) {
            Poll::Ready(end) => Some(WatchEvent::Ended(end)),
            Poll::Pending => {
                (self.progress.get().lines > lines_before).then_some(WatchEvent::LineReceived)
            }
        }
    }

    pub(super) fn progress(&self) -> WatchProgress {
        self.progress.get()
    }
}
