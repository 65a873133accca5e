//! The watch on the endpoint list.
//!
//! Discovery sends an empty line as a heartbeat while nothing changes; a watch that receives no line for some time has
//! stalled. [`WatchSet`] then opens a candidate beside the active watch. Since discovery itself may have stalled, both
//! stay open until one of them receives a line; the other is closed then.

mod line_buffer;
mod open_watch;
mod stream;
mod watch_set;

use super::{DiscoveryEndpoint, NameIndex, PollSchedule};
use crate::core::engine::EngineEvent;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::{self, Future};
use open_watch::OpenWatch;
use std::cell::Cell;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};
use stream::{follow, StreamRequest};
use watch_set::WatchSet;

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
        let watching = run(WatchSet::new(open, &mut schedule, address, delay));
        if discovery.unless_moved(watching).await.is_none() {
            // Revisions are counted per address, so the complete list is requested from the new one.
            since_revision.set(0);
            delay = schedule.first_delay();
        }
    }
}

/// Drives watches for ever.
async fn run<'w>(mut watches: WatchSet<'_, 'w, impl Fn() -> OpenWatch<'w>>) {
    loop {
        watches.handle_timeouts(Instant::now());
        let mut timer = watches.next_timeout().map_or_else(Timer::never, Timer::at);
        future::poll_fn(|context| {
            if watches.poll(context) {
                return Poll::Ready(());
            }
            Pin::new(&mut timer).poll(context).map(drop)
        })
        .await;
    }
}

#[cfg(test)]
mod tests;
