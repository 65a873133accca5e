//! The settings that an instance is given, as the simulator's first message and the platform's configuration both spell
//! them, and what the scheduler makes of them.
//!
//! The keys of the JSON form are the platform's; where a field has a better name here, `rename` gives the key. Absent
//! keys have the careful default; keys that are not known are ignored.

#![forbid(unsafe_code)]

mod class;
mod scheduler;

pub use class::{ClassSettings, Deduplication, Idempotency};

use serde::Deserialize;

/// The settings of one instance.
#[derive(Debug, Deserialize)]
pub struct InstanceSettings {
    /// Classes of messages.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be absent.
    #[serde(rename = "customers", default)]
    pub tenants: Vec<TenantSettings>,
    /// Names of the kinds of destinations.
    #[serde(rename = "host_types")]
    pub kinds: Vec<String>,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Limits of the deployment.
    #[serde(rename = "caps")]
    pub limits: LimitSettings,
    /// Slots, kinds and value.
    pub domain: DomainSettings,
    /// Figures of the delivery rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// How the endpoint list arrives.
    #[serde(rename = "registry_mode", default)]
    pub discovery: DiscoveryMode,
    /// What the list's rates mean.
    #[serde(rename = "weights", default)]
    pub rate_hints: RateHints,
    /// Weight of a message beyond its tenant's quota, as a part of its class's.
    #[serde(rename = "over_share_worth", default)]
    pub over_quota_weight: f64,
    /// Instances there are.
    #[serde(rename = "peers_total", default)]
    pub instances: f64,
    /// The least time between two batches of events, in milliseconds.
    #[serde(rename = "tick_ms", default)]
    pub min_batch_interval_ms: f64,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    /// Pushed without a request.
    #[default]
    #[serde(rename = "automatic")]
    Push,
    /// Only after a subscription was requested.
    Subscribe,
}

/// What the rates of the endpoint list mean.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum RateHints {
    /// Calls per second from all instances together.
    #[serde(rename = "nominal")]
    Exact,
    /// The same, up to half too high or too low.
    #[serde(rename = "rough")]
    Approximate,
    /// Nothing; so does every other word.
    #[default]
    #[serde(other)]
    Absent,
}

/// A tenant.
#[derive(Debug, Deserialize)]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// Messages per second, over all instances, within its quota.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// Limits of the deployment. Times are in milliseconds; 0 stands for none.
#[derive(Debug, Deserialize)]
pub struct LimitSettings {
    /// Idle connections are closed after this time.
    #[serde(rename = "conn_idle_ms", default)]
    pub idle_timeout_ms: f64,
    /// A connection that takes longer to come up has failed.
    #[serde(rename = "dial_timeout_ms", default)]
    pub connect_timeout_ms: f64,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Open messages at once.
    #[serde(rename = "max_open")]
    pub max_open_messages: u64,
    /// The longest `Retry-After` that clients honour.
    #[serde(default)]
    pub max_retry_after_ms: f64,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel", default)]
    pub cancellation_allowed: bool,
    /// Whether endpoints may be sent health checks.
    #[serde(rename = "probes", default)]
    pub health_checks_allowed: bool,
    /// Whether clients are told how long to wait.
    #[serde(rename = "retry_after", default)]
    pub sends_retry_after: bool,
    /// Calls that one connection carries at once.
    #[serde(rename = "streams_per_conn", default)]
    pub streams_per_connection: u64,
}

/// Slots, kinds of destinations and the value of late deliveries.
#[derive(Debug, Deserialize)]
pub struct DomainSettings {
    /// Calls in flight at once.
    #[serde(rename = "workers")]
    pub max_in_flight: u64,
    /// For each kind of destination, whether its endpoints are separate routes.
    #[serde(rename = "kind_apart", default)]
    pub separate_routes: Vec<bool>,
    /// For each kind of destination, messages in one call at most.
    #[serde(rename = "per_call", default)]
    pub max_batch: Vec<u64>,
    /// How value falls after the latency objective.
    #[serde(rename = "late", default)]
    pub value_decay: ValueDecay,
    /// For each zone, the fee of a separate route there.
    #[serde(rename = "toll", default)]
    pub zone_fees: Vec<f64>,
}

/// How value falls after the latency objective.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub enum ValueDecay {
    /// Linearly.
    #[serde(rename = "line")]
    Linear,
    /// By half with each further latency objective.
    #[default]
    #[serde(rename = "halves")]
    Halving,
}

/// Figures of the delivery rules. Times are in milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RuleSettings {
    /// Share of its capacity that a route has when it recovers.
    #[serde(rename = "cold_from")]
    pub ramp_start: f64,
    /// Time from recovery to full capacity.
    #[serde(rename = "cold_ms")]
    pub ramp_duration_ms: f64,
    /// A route that is sent more than this multiple of its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// ... for this long fails again.
    #[serde(rename = "tip_after_ms")]
    pub overload_window_ms: f64,
    /// How long an ordering key rests after an attempt that may still be running.
    #[serde(rename = "order_pause_ms")]
    pub ordering_pause_ms: f64,
    /// An instance that has not asked for the list for this long counts as informed.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
}
