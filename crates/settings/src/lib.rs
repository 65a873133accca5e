//! The settings of an instance, in the form used by the simulator's first message and by the platform's configuration,
//! and their conversion to the scheduler's settings.
//!
//! The platform defines the keys of the JSON form. They appear only in the `rename` attributes of this package. Absent
//! keys get a cautious default, and unknown keys are ignored.

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
    /// Message classes.
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
    /// Settings for concurrent calls, kinds of destinations, and the value of late deliveries.
    pub domain: DomainSettings,
    /// Parameters of the delivery rules.
    #[serde(default)]
    pub rules: RuleSettings,
    /// The way in which changes of the endpoint list are delivered.
    #[serde(rename = "registry_mode", default)]
    pub discovery: DiscoveryMode,
    /// Meaning of the rates in the endpoint list.
    #[serde(rename = "weights", default)]
    pub rate_hints: RateHints,
    /// Priority weight of a message beyond its tenant's quota, as a fraction of the priority weight of its class.
    #[serde(rename = "over_share_worth", default)]
    pub over_quota_weight: f64,
    /// Number of instances.
    #[serde(rename = "peers_total", default)]
    pub instances: f64,
    /// Minimum time between two batches of events, in milliseconds.
    #[serde(rename = "tick_ms", default)]
    pub min_batch_interval_ms: f64,
}

/// The settings of a tenant.
#[derive(Debug, Deserialize)]
pub struct TenantSettings {
    /// Name of the tenant.
    pub name: String,
    /// The tenant's quota, in messages per second over all instances.
    #[serde(default)]
    pub quota_per_s: f64,
}
