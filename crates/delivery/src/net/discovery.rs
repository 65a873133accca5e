//! What the courier has with discovery: the watch of the list, and the notices of ends.

mod notices;
mod watch;

pub use notices::notices;
pub use watch::{watch, Asking};

use super::pool::MOST_RATE;
use crate::core::endpoint::ListedEndpoint;
use crate::core::engine::EngineEvent;
use crate::log_line;
use async_channel::Receiver;
use futures_lite::future;
use marblefall_scheduler::{DestinationId, EndpointStatus, KindId, ZoneId};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

const HEAD: usize = 16 * 1024;
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// The list, or changes to it.
#[derive(Debug, Deserialize)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Its entries. One that cannot be read must not keep the others from being taken.
    #[serde(default)]
    pub members: Vec<Box<RawValue>>,
}

/// One entry of the list.
#[derive(Debug, Deserialize)]
struct Member<'a> {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default, borrow)]
    size: Option<&'a RawValue>,
}

impl Member<'_> {
    /// The rate that it tells; 0 where that is none.
    fn rate(&self) -> f64 {
        let told = self.size.and_then(|size| size.get().parse::<f64>().ok());
        told.filter(|rate| (0.0..=MOST_RATE).contains(rate))
            .unwrap_or(0.0)
    }
}

/// The names that stand for numbers in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl List {
    /// The same as the core takes it.
    pub fn input(self, names: &Names) -> EngineEvent {
        let place = |all: &[String], name: &str| all.iter().position(|have| have == name);
        let host = |member: Member<'_>| ListedEndpoint {
            destination: DestinationId(member.cell),
            kind: KindId(place(&names.kinds, &member.flavor).unwrap_or(usize::MAX)),
            zone: ZoneId(place(&names.zones, &member.locality).unwrap_or(usize::MAX)),
            status: match member.phase.as_str() {
                "SERVING" => EndpointStatus::Active,
                "DELETED" => EndpointStatus::Removed,
                // What is not known to be served gets nothing new.
                _ => EndpointStatus::Draining,
            },
            advertised_rate: member.rate(),
            weight: None,
            name: member.id,
            address: member.host_port,
        };
        let read = |entry: &RawValue| match serde_json::from_str::<Member<'_>>(entry.get()) {
            Ok(member) => Some(host(member)),
            Err(error) => {
                log_line!(
                    code = "entry-malformed",
                    "an entry of the list is left out: {error}"
                );
                None
            }
        };
        let hosts = self
            .members
            .iter()
            .filter_map(|entry| read(entry))
            .collect();
        if self.complete {
            EngineEvent::EndpointsReplaced(hosts)
        } else {
            EngineEvent::EndpointsUpdated(hosts)
        }
    }
}

/// Where discovery is: an address, and where news of another one comes from.
pub struct Home {
    /// Where it is now.
    pub address: SocketAddr,
    /// Where it is from now on.
    pub moves: Receiver<SocketAddr>,
}

impl Home {
    /// Waits for something, unless discovery moves meanwhile: nothing that is under way at the old address is
    /// worth waiting for, as that one no longer answers.
    async fn unless_moved<T>(&mut self, what: impl future::Future<Output = T>) -> Option<T> {
        let moved = async {
            match self.moves.recv().await {
                Ok(to) => Err(to),
                Err(_) => future::pending().await,
            }
        };
        match future::or(moved, async { Ok(what.await) }).await {
            Ok(done) => Some(done),
            Err(to) => {
                log_line!(
                    code = "moved",
                    "discovery {}: connection ended, moved to {to}",
                    self.address
                );
                self.address = to;
                None
            }
        }
    }
}
