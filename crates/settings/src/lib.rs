//! The settings that an instance is given, as the simulator's first message and a real courier's configuration
//! both spell them, and what the decision module makes of them.

// The fields are the settings' own, under their own names.
#![allow(missing_docs)]

use marblefall_scheduler as p;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
pub struct BootInfo {
    pub classes: Vec<Class>,
    #[serde(default)]
    pub customers: Vec<Customer>,
    pub host_types: Vec<String>,
    #[serde(default)]
    pub zones: Vec<String>,
    pub caps: Caps,
    pub domain: Domain,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub registry_mode: RegistryMode,
    #[serde(default)]
    pub weights: Weights,
    #[serde(default)]
    pub over_share_worth: f64,
    #[serde(default)]
    pub peers_total: f64,
    #[serde(default)]
    pub tick_ms: f64,
}

#[derive(Debug, Deserialize)]
pub struct Class {
    pub name: String,
    pub importance: f64,
    pub promise_ms: f64,
    pub give_up_ms: f64,
    #[serde(default)]
    pub late_value: f64,
    pub effect: Effect,
    #[serde(default)]
    pub dedup_scope: Scope,
    #[serde(default)]
    pub window_ms: f64,
    #[serde(default)]
    pub fifo_by_key: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Pure,
    Token,
    #[serde(rename = "side_effect")]
    Unsafe,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    All,
    Zone,
    #[default]
    #[serde(other)]
    Cell,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RegistryMode {
    #[default]
    Automatic,
    Subscribe,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    Nominal,
    Rough,
    #[default]
    #[serde(other)]
    Off,
}

#[derive(Debug, Deserialize)]
pub struct Customer {
    pub name: String,
    #[serde(default)]
    pub quota_per_s: f64,
}

#[derive(Debug, Deserialize)]
pub struct Caps {
    #[serde(default)]
    pub conn_idle_ms: f64,
    #[serde(default)]
    pub dial_timeout_ms: f64,
    pub max_attempts: u32,
    pub max_open: u64,
    #[serde(default)]
    pub max_retry_after_ms: f64,
    #[serde(default)]
    pub may_cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub streams_per_conn: u64,
}

#[derive(Debug, Deserialize)]
pub struct Domain {
    pub workers: u64,
    #[serde(default)]
    pub kind_apart: Vec<bool>,
    #[serde(default)]
    pub per_call: Vec<u64>,
    #[serde(default)]
    pub late: Late,
    #[serde(default)]
    pub toll: Vec<f64>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Late {
    Line,
    #[default]
    Halves,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Rules {
    pub cold_from: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub tip_after_ms: f64,
    pub order_pause_ms: f64,
    pub must_ask_in_ms: f64,
}

impl BootInfo {
    /// The same as the decision module takes it.
    pub fn settings(&self) -> p::Settings {
        let boot = self;
        let class = |class: &Class| p::MessageClass {
            priority_weight: class.importance,
            latency_objective: p::Span::from_ms(class.promise_ms),
            deadline: p::Span::from_ms(class.give_up_ms),
            late_value: class.late_value,
            idempotency: match class.effect {
                Effect::Pure => p::Idempotency::Idempotent,
                Effect::Unsafe => p::Idempotency::NonIdempotent,
                Effect::Token => p::Idempotency::IdempotencyKey {
                    scope: match class.dedup_scope {
                        Scope::All => p::DeduplicationScope::All,
                        Scope::Zone => p::DeduplicationScope::Zone,
                        Scope::Cell => p::DeduplicationScope::Endpoint,
                    },
                    window: p::Span::from_ms(class.window_ms),
                },
            },
            ordered: class.fifo_by_key,
        };
        let domain = &boot.domain;
        let kind = |number: usize| p::DestinationKind {
            separate_routes: domain.kind_apart.get(number).copied().unwrap_or(false),
            max_batch: domain.per_call.get(number).map_or(1, |&most| most as usize),
        };
        let (caps, rules) = (&boot.caps, &boot.rules);
        p::Settings {
            classes: boot.classes.iter().map(class).collect(),
            tenants: boot
                .customers
                .iter()
                .map(|t| p::Tenant {
                    quota_per_s: t.quota_per_s,
                })
                .collect(),
            over_quota_weight: boot.over_share_worth,
            kinds: (0..boot.host_types.len()).map(kind).collect(),
            zone_fees: domain.toll.clone(),
            value_decay: match domain.late {
                Late::Line => p::ValueDecay::Linear,
                Late::Halves => p::ValueDecay::Halving,
            },
            limits: p::Limits {
                max_in_flight: domain.workers as usize,
                max_pending: caps.max_open as usize,
                max_attempts: caps.max_attempts,
                streams_per_connection: caps.streams_per_conn as usize,
                idle_timeout: p::Span::from_ms(caps.conn_idle_ms),
                max_retry_after: p::Span::from_ms(caps.max_retry_after_ms),
                cancellation_allowed: caps.may_cancel,
                health_checks_allowed: caps.probes,
            },
            rules: p::Rules {
                ramp_start: rules.cold_from,
                ramp_duration: p::Span::from_ms(rules.cold_ms),
                overload_factor: rules.fall_multiple,
                overload_window: p::Span::from_ms(rules.tip_after_ms),
                ordering_pause: p::Span::from_ms(rules.order_pause_ms),
                max_poll_interval: p::Span::from_ms(rules.must_ask_in_ms),
            },
            discovery: match boot.registry_mode {
                RegistryMode::Automatic => p::DiscoveryMode::Push,
                RegistryMode::Subscribe => p::DiscoveryMode::Subscribe,
            },
            rate_hints: match boot.weights {
                Weights::Nominal => p::RateHints::Exact,
                Weights::Rough => p::RateHints::Approximate,
                Weights::Off => p::RateHints::Absent,
            },
            instances: boot.peers_total as usize,
            min_batch_interval: p::Span::from_ms(boot.tick_ms),
        }
    }
}
