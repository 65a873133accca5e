//! The platform's discovery: a watch on the endpoint list, and notices of final outcomes.
//!
//! Discovery may move while the instance runs: each task holds a [`DiscoveryEndpoint`], starts over at the new address,
//! and abandons what is under way at the old one.

mod endpoint_list;
mod fetch;
mod notices;
mod poll_schedule;
#[cfg(test)]
mod test_lists;
mod watch;

pub use endpoint_list::{EndpointList, NameIndex};
pub use fetch::fetch_list;
pub use notices::{deliver_notices, PendingNotice};
pub use poll_schedule::PollSchedule;
pub use watch::{watch_endpoints, ListWatch};

use crate::log_line;
use async_channel::Receiver;
use futures_lite::future;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest head of a response.
const MAX_HEAD: usize = 16 * 1024;
/// The wait after a first failure ...
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// ... which doubles with each further one, up to this.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).min(MAX_BACKOFF)
}

/// Where discovery is, and where changes of its address come from.
pub struct DiscoveryEndpoint {
    /// Where it is now.
    pub address: SocketAddr,
    /// Where it is from now on.
    pub changes: Receiver<SocketAddr>,
}

impl DiscoveryEndpoint {
    /// Awaits a future, unless discovery moves meanwhile: nothing that is under way at the old address is worth waiting
    /// for, as that one no longer responds.
    async fn unless_moved<T>(&mut self, future: impl future::Future<Output = T>) -> Option<T> {
        let moved = async {
            loop {
                match self.changes.recv().await {
                    // The configuration was read again, and says the same: what is under way goes on.
                    Ok(address) if address == self.address => {}
                    Ok(address) => return Err(address),
                    Err(_) => return future::pending().await,
                }
            }
        };
        match future::or(moved, async { Ok(future.await) }).await {
            Ok(output) => Some(output),
            Err(address) => {
                log_line!(
                    code = "moved",
                    "discovery {}: connection ended, moved to {address}",
                    self.address
                );
                self.address = address;
                None
            }
        }
    }
}
