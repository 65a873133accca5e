//! The entries of a manifest. Operators write them, and they are stored as part of what is applied: `#[serde(rename)]`
//! keeps the keys of earlier versions.

use marblefall_delivery::frontend::cloudevents::event::ContentMode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

const DAY_S: u64 = 24 * 3600;

/// What a repeated attempt does at a class's receivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencySpec {
    /// Nothing: an event may be sent again freely.
    #[serde(rename = "free")]
    Idempotent,
    /// It is dropped by its key, for the class's window.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// It has a second effect: an event is sent again only if it surely was not executed.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// A class of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// What a repeated attempt does.
    #[serde(rename = "repeats")]
    pub idempotency: IdempotencySpec,
    /// For how long receivers drop repeats, in milliseconds; for [`IdempotencySpec::IdempotencyKey`] only.
    #[serde(default, rename = "window_ms")]
    pub deduplication_window_ms: Option<u64>,
    /// The value of one event that is delivered in time.
    #[serde(default = "default_weight", rename = "worth")]
    pub priority_weight: f64,
    /// Time within which it has the full value, in milliseconds.
    #[serde(rename = "wanted_ms")]
    pub latency_objective_ms: u64,
    /// How long an event without an `expirytime` may be delivered, in milliseconds.
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: u64,
    /// The part of the value, 0 to 1, that is left at the deadline.
    #[serde(default)]
    pub late_value: f64,
    /// How long a finished event is recognised, in seconds.
    #[serde(default = "default_remember_s")]
    pub remember_s: u64,
}

fn default_weight() -> f64 {
    1.0
}

fn default_remember_s() -> u64 {
    DAY_S
}

/// An endpoint of a destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// A name that stays the same when its address changes.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// It finishes what it has, and gets nothing new.
    #[serde(default)]
    pub draining: bool,
}

/// A destination: a partner's system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationSpec {
    /// The content mode in which it wants events.
    #[serde(default, rename = "mode")]
    pub content_mode: ContentMode,
    /// The path at its endpoints.
    #[serde(default = "root_path")]
    pub path: String,
    /// Attempts a second that it takes from all instances together, as far as known.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// Its endpoints; none where endpoint lists give them.
    #[serde(default)]
    pub endpoints: Vec<EndpointSpec>,
}

fn root_path() -> String {
    "/".to_owned()
}

fn default_rate() -> f64 {
    1.0
}

/// What an instance may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstanceLimits {
    /// Attempts in flight at once.
    #[serde(rename = "slots")]
    pub max_in_flight: usize,
    /// Messages open at once.
    pub max_open: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Descriptors of the instance.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Size of its folder, in megabytes.
    pub disk_mb: f64,
    /// Finished events that are recognised at most.
    #[serde(rename = "remember")]
    pub max_remembered: usize,
    /// A connection that takes longer to open has failed, in milliseconds.
    #[serde(rename = "dial_ms")]
    pub connect_timeout_ms: u64,
    /// Endpoints close a connection that has been idle for so long, in milliseconds.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// The longest `Retry-After` that a client is given, in milliseconds.
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: u64,
}

impl Default for InstanceLimits {
    fn default() -> InstanceLimits {
        InstanceLimits {
            max_in_flight: 16,
            max_open: 128,
            max_attempts: 8,
            max_sockets: 512,
            disk_mb: 16.0,
            max_remembered: 10_000,
            connect_timeout_ms: 1500,
            idle_timeout_ms: 10_000,
            max_retry_after_ms: 30_000,
        }
    }
}

/// The CloudEvents frontend of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsFrontendSpec {
    /// Where partners connect.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The path at which events are accepted.
    #[serde(default = "root_path")]
    pub path: String,
    /// The attribute that names an event's destination.
    pub destination_attribute: String,
    /// The class of each type of event.
    #[serde(rename = "types")]
    pub class_by_type: BTreeMap<String, String>,
}

/// The platform's frontend of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFrontendSpec {
    /// Where clients connect.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// Where final outcomes are notified.
    #[serde(rename = "notices")]
    pub notice_address: SocketAddr,
    /// The destinations by the numbers that clients know them by.
    #[serde(rename = "numbers")]
    pub destination_by_number: BTreeMap<String, String>,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// The CloudEvents frontend, if it is on.
    #[serde(default)]
    pub events: Option<EventsFrontendSpec>,
    /// The platform's frontend, if it is on.
    #[serde(default, rename = "relay")]
    pub platform: Option<PlatformFrontendSpec>,
    /// What it may use; the manifest's limits where left out.
    #[serde(default)]
    pub limits: Option<InstanceLimits>,
}

/// Where endpoint lists are, and what they must keep to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListSource {
    /// An endpoint list, or a folder of them.
    pub path: PathBuf,
    /// How often the lists are polled, in milliseconds.
    #[serde(default = "default_poll_interval_ms", rename = "poll_ms")]
    pub poll_interval_ms: u64,
    /// The largest list, in units of 1,024 bytes.
    #[serde(default = "default_max_kib", rename = "max_kb")]
    pub max_kib: usize,
    /// The part of a destination's weight, 0 to 1, that one change may remove without an allowance.
    #[serde(default = "default_max_lost", rename = "most_weight_lost")]
    pub max_weight_lost: f64,
    /// The part of a list's endpoints, 0 to 1, that one change may remove without an allowance.
    #[serde(default = "default_max_lost", rename = "most_endpoints_lost")]
    pub max_endpoints_lost: f64,
}

impl EndpointListSource {
    /// The largest list, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_kib * 1024
    }
}

fn default_poll_interval_ms() -> u64 {
    2000
}

fn default_max_kib() -> usize {
    8192
}

fn default_max_lost() -> f64 {
    0.5
}
