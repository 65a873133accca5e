//! One watch as a future, and the watch's progress.

use super::super::poll_schedule::WatchResult;
use super::stream::WatchEnd;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// The progress of a watch: a summary of the lines that it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchProgress {
    /// The time at which the last complete line was received, or the watch was opened if it has received none.
    pub(super) last_line_at: Instant,
    /// The number of complete lines, heartbeats included.
    pub(super) lines: u64,
    /// Whether any of the lines was a list.
    pub(super) result: WatchResult,
}

impl WatchProgress {
    /// Creates the progress of a watch that is opened now.
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

/// An event on a watch.
pub(super) enum WatchEvent {
    /// At least one complete line was received.
    LineReceived,
    Ended(WatchEnd),
}

impl<'a> OpenWatch<'a> {
    /// Creates a watch, which is opened when it is first polled.
    pub(super) fn new<F: Future<Output = WatchEnd> + 'a>(
        follow: impl FnOnce(Rc<Cell<WatchProgress>>) -> F,
    ) -> OpenWatch<'a> {
        let progress = Rc::new(Cell::new(WatchProgress::new()));
        OpenWatch {
            task: Box::pin(follow(progress.clone())),
            progress,
        }
    }

    /// Polls the watch. Returns its event, if there is one.
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
