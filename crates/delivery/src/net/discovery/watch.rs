//! The watch on the endpoint list.
//!
//! Discovery sends an empty line as a heartbeat while nothing changes. A watch that receives no line for some time has
//! stalled, and [`WatchSet`] then opens a candidate beside it. Since discovery itself may have stalled, both watches
//! stay open until one of them receives a line. The other watch is then closed.

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

/// The parameters of a watch on the endpoint list.
pub struct ListWatch {
    /// The names of the kinds and zones in the settings.
    pub names: NameIndex,
    /// The revision of the list that the instance has, or 0 if it has none.
    pub since_revision: u64,
}

/// Watches the endpoint list and sends the received lists to the engine. A watch that ends or stalls is replaced by a
/// new one. Never returns.
pub async fn watch_endpoints(
    mut discovery: DiscoveryEndpoint,
    watch: ListWatch,
    mut schedule: PollSchedule,
    engine: Sender<EngineEvent>,
) {
    let since_revision = Cell::new(watch.since_revision);
    // A new incarnation requests the list at once: its list may be old, and it must act on changes as soon as instances
    // that have been watching.
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
            // Each address of discovery counts its own revisions, so the complete list is requested from the new
            // address.
            since_revision.set(0);
            delay = schedule.first_delay();
        }
    }
}

/// Polls watches and handles their time-outs. Never returns.
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
