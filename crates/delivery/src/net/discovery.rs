//! The platform's discovery: a watch on the endpoint list, and notices of final outcomes.
//!
//! The address of discovery may change while the instance runs. Each task holds a [`DiscoveryEndpoint`]; on a change it
//! abandons the request to the old address and starts over at the new one.

mod endpoint_list;
mod fetch;
mod notices;
mod poll_schedule;
#[cfg(test)]
mod test_lists;
mod watch;

pub use endpoint_list::{EndpointList, NameIndex, MAX_RATE_PER_S};
pub use fetch::fetch_list;
pub use notices::{deliver_notices, PendingNotice};
pub use poll_schedule::PollSchedule;
pub use watch::{watch_endpoints, ListWatch};

use crate::log_line;
use async_channel::Receiver;
use futures_lite::future;
use std::net::SocketAddr;
use std::time::Duration;

/// The path of the endpoint list.
const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// The path that notices are posted to.
const NOTICES_PATH: &str = "/status";
/// The longest head of a response, in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;
/// The longest endpoint list, in bytes: enough for tens of thousands of endpoints.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;
/// The delay after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The limit of the delay, which doubles with each further failure.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).min(MAX_BACKOFF)
}

/// The address of discovery, and the source of its changes.
pub struct DiscoveryEndpoint {
    /// The current address.
    pub address: SocketAddr,
    /// The addresses that replace it.
    pub changes: Receiver<SocketAddr>,
}

impl DiscoveryEndpoint {
    /// Awaits a future; drops it and returns `None` once the address changes, as the old one may not respond any more.
    async fn unless_moved<T>(&mut self, future: impl future::Future<Output = T>) -> Option<T> {
        let moved = async {
            loop {
                match self.changes.recv().await {
                    // The configuration was reloaded with the same address.
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
