//! The entries of a manifest, as operators write them and as they are stored in the applied manifest. `#[serde(rename)]`
//! preserves the keys of earlier versions.

use marblefall_delivery::frontend::cloudevents::event::ContentMode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Seconds in a day.
const DAY_S: u64 = 24 * 3600;
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// Default rate of a destination, in attempts per second.
const DEFAULT_RATE: f64 = 1.0;
const DEFAULT_POLL_INTERVAL_MS: u64 = 2000;
const DEFAULT_MAX_LIST_KIB: usize = 8192;
const DEFAULT_MAX_LOST: f64 = 0.5;
const BYTES_PER_KIB: usize = 1024;

/// The effect of a repeated attempt at the receivers of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencySpec {
    /// A repeated attempt has no further effect. An event may always be sent again.
    #[serde(rename = "free")]
    Idempotent,
    /// Receivers drop a repeated attempt by its idempotency key, within the class's deduplication window.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// A repeated attempt is executed again. An event is sent again only if it certainly was not executed.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// A class of events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The effect of a repeated attempt.
    #[serde(rename = "repeats")]
    pub idempotency: IdempotencySpec,
    /// The deduplication window in milliseconds, in which receivers drop repeats. Required for
    /// [`IdempotencySpec::IdempotencyKey`], and `None` for the others.
    #[serde(default, rename = "window_ms")]
    pub deduplication_window_ms: Option<u64>,
    /// The value of an event that is delivered within the latency objective.
    #[serde(default = "default_weight", rename = "worth")]
    pub priority_weight: f64,
    /// Time in milliseconds within which a delivered event has its full value.
    #[serde(rename = "wanted_ms")]
    pub latency_objective_ms: u64,
    /// Time to live in milliseconds of an event without an `expirytime`.
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: u64,
    /// Proportion of its value, 0 to 1, that an event still has at the deadline.
    #[serde(default)]
    pub late_value: f64,
    /// Time in seconds after the completion of an event during which a repeat is recognised.
    #[serde(default = "default_remember_s")]
    pub remember_s: u64,
}

fn default_weight() -> f64 {
    DEFAULT_PRIORITY_WEIGHT
}

fn default_remember_s() -> u64 {
    DAY_S
}

/// An endpoint of a destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The endpoint's name, which identifies it even if its address changes.
    pub name: String,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// Whether the endpoint is draining, so that it receives no new attempts.
    #[serde(default)]
    pub draining: bool,
}

/// A destination: the system of a partner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationSpec {
    /// The content mode in which events are sent to the destination.
    #[serde(default, rename = "mode")]
    pub content_mode: ContentMode,
    /// The request path at the destination's endpoints.
    #[serde(default = "root_path")]
    pub path: String,
    /// Approximate rate that the destination accepts from all instances together, in attempts per second.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// The destination's endpoints; empty if they come from endpoint lists.
    #[serde(default)]
    pub endpoints: Vec<EndpointSpec>,
}

fn root_path() -> String {
    "/".to_owned()
}

fn default_rate() -> f64 {
    DEFAULT_RATE
}

/// The resources that an instance may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InstanceLimits {
    /// Maximum number of attempts in flight.
    #[serde(rename = "slots")]
    pub max_in_flight: usize,
    /// Maximum number of open messages.
    pub max_open: usize,
    /// Maximum number of attempts for a message.
    pub max_attempts: u32,
    /// Maximum number of file descriptors.
    #[serde(rename = "sockets")]
    pub max_sockets: usize,
    /// Maximum memory in megabytes. A stored manifest contains it only if it is not the default.
    #[serde(skip_serializing_if = "is_default_memory")]
    pub memory_mb: f64,
    /// Maximum size of the state folder, in megabytes.
    pub disk_mb: f64,
    /// Maximum number of completed events whose repeats are recognised.
    #[serde(rename = "remember")]
    pub max_remembered: usize,
    /// Connect timeout, in milliseconds.
    #[serde(rename = "dial_ms")]
    pub connect_timeout_ms: u64,
    /// Time in milliseconds after which endpoints close an idle connection.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// Maximum `Retry-After` in responses to clients, in milliseconds.
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
            memory_mb: DEFAULT_MEMORY_MB,
            disk_mb: 16.0,
            max_remembered: 10_000,
            connect_timeout_ms: 1500,
            idle_timeout_ms: 10_000,
            max_retry_after_ms: 30_000,
        }
    }
}

/// Maximum memory of an instance whose manifest names none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 128.0;

fn is_default_memory(memory_mb: &f64) -> bool {
    memory_mb.to_bits() == DEFAULT_MEMORY_MB.to_bits()
}

/// The CloudEvents frontend of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventsFrontendSpec {
    /// The address at which partners connect.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The path at which events are accepted.
    #[serde(default = "root_path")]
    pub path: String,
    /// Name of the event attribute that contains the destination.
    pub destination_attribute: String,
    /// Class names by event type.
    #[serde(rename = "types")]
    pub class_by_type: BTreeMap<String, String>,
}

/// The platform's frontend of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFrontendSpec {
    /// The address at which clients connect.
    #[serde(rename = "listen")]
    pub listen_address: SocketAddr,
    /// The address to which final outcomes are reported.
    #[serde(rename = "notices")]
    pub notice_address: SocketAddr,
    /// Destination names by the numbers that clients use for them.
    #[serde(rename = "numbers")]
    pub destination_by_number: BTreeMap<String, String>,
}

/// An instance, with its frontends and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSpec {
    /// The CloudEvents frontend; `None` if it is disabled.
    #[serde(default)]
    pub events: Option<EventsFrontendSpec>,
    /// The platform's frontend; `None` if it is disabled.
    #[serde(default, rename = "relay")]
    pub platform: Option<PlatformFrontendSpec>,
    /// The instance's limits; `None` to use the manifest's limits.
    #[serde(default)]
    pub limits: Option<InstanceLimits>,
}

/// The source of the endpoint lists, and the limits on their changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListSource {
    /// The path of an endpoint list, or of a folder of endpoint lists.
    pub path: PathBuf,
    /// Interval in milliseconds at which the lists are polled.
    #[serde(default = "default_poll_interval_ms", rename = "poll_ms")]
    pub poll_interval_ms: u64,
    /// Maximum size of a list, in units of 1,024 bytes.
    #[serde(default = "default_max_kib", rename = "max_kb")]
    pub max_kib: usize,
    /// Maximum proportion of a destination's weight, 0 to 1, that a change may remove without an allowance.
    #[serde(default = "default_max_lost", rename = "most_weight_lost")]
    pub max_weight_lost: f64,
    /// Maximum proportion of a list's endpoints, 0 to 1, that a change may remove without an allowance.
    #[serde(default = "default_max_lost", rename = "most_endpoints_lost")]
    pub max_endpoints_lost: f64,
}

impl EndpointListSource {
    /// Returns the maximum size of a list, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_kib * BYTES_PER_KIB
    }
}

fn default_poll_interval_ms() -> u64 {
    DEFAULT_POLL_INTERVAL_MS
}

fn default_max_kib() -> usize {
    DEFAULT_MAX_LIST_KIB
}

fn default_max_lost() -> f64 {
    DEFAULT_MAX_LOST
}
