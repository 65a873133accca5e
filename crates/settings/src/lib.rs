//! The settings of an instance, as the simulator's first message and the platform's configuration both spell them,
//! and their conversion to the scheduler's settings.
//!
//! The keys of the JSON form are the platform's. They stand in the `rename` attributes here and nowhere else. Absent
//! keys get the careful default; unknown keys are ignored.

#![forbid(unsafe_code)]

mod class;
mod destinations;
mod discovery;
mod limits;
mod rules;
mod scheduler;

pub use class::{ClassSettings, Deduplication, Idempotency};
pub use destinations::{DomainSettings, ValueDecay};
pub use discovery::{DiscoveryMode, RateHints};
pub use limits::LimitSettings;
pub use rules::RuleSettings;

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
    /// Concurrent calls, kinds of destinations, and the value of late deliveries.
    pub domain: DomainSettings,
    /// Parameters of the delivery rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// How the endpoint list arrives.
    #[serde(rename = "registry_mode", default)]
    pub discovery: DiscoveryMode,
    /// Meaning of the rates in the endpoint list.
    #[serde(rename = "weights", default)]
    pub rate_hints: RateHints,
    /// Weight of a message beyond its tenant's quota, as a fraction of its class's weight.
    #[serde(rename = "over_share_worth", default)]
    pub over_quota_weight: f64,
    /// Number of instances.
    #[serde(rename = "peers_total", default)]
    pub instances: f64,
    /// The least time between two batches of events, in milliseconds.
    #[serde(rename = "tick_ms", default)]
    pub min_batch_interval_ms: f64,
}

/// A tenant.
#[derive(Debug, Deserialize)]
pub struct TenantSettings {
    /// Name of the tenant.
    pub name: String,
    /// Messages per second, over all instances, within its quota.
    #[serde(default)]
    pub quota_per_s: f64,
}
