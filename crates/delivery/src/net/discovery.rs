//! Clients of the platform's discovery: a watch on the endpoint list, and the delivery of notices of final outcomes.
//!
//! The address of discovery may change while the instance runs. Each task holds a [`DiscoveryEndpoint`]. When the
//! address changes, the task abandons its request to the old address and starts again at the new one.

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
/// Maximum length of a response's head in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;
/// Maximum length of an endpoint list in bytes. It is enough for tens of thousands of endpoints.
const MAX_LIST_LEN: usize = 4 * 1024 * 1024;
/// Backoff after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff. The backoff doubles with each further failure up to this value.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Returns the backoff after another failure.
fn next_backoff(backoff: Duration) -> Duration {
    (backoff * 2).min(MAX_BACKOFF)
}

/// The address of discovery, and the source of its changes.
pub struct DiscoveryEndpoint {
    /// The current address.
    pub address: SocketAddr,
    /// The receiver of new addresses.
    pub changes: Receiver<SocketAddr>,
}

impl DiscoveryEndpoint {
    /// Awaits a future. If the address changes first, drops the future and returns `None`, since discovery may no
    /// longer respond at the old address.
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
