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
        let class = |class: &Class| p::Class {
            worth: class.importance,
            promise: p::Span::from_ms(class.promise_ms),
            give_up: p::Span::from_ms(class.give_up_ms),
            late_value: class.late_value,
            effect: match class.effect {
                Effect::Pure => p::Effect::Pure,
                Effect::Unsafe => p::Effect::SideEffect,
                Effect::Token => p::Effect::Token {
                    scope: match class.dedup_scope {
                        Scope::All => p::Scope::All,
                        Scope::Zone => p::Scope::Zone,
                        Scope::Cell => p::Scope::Endpoint,
                    },
                    window: p::Span::from_ms(class.window_ms),
                },
            },
            ordered: class.fifo_by_key,
        };
        let domain = &boot.domain;
        let kind = |number: usize| p::Kind {
            apart: domain.kind_apart.get(number).copied().unwrap_or(false),
            per_call: domain.per_call.get(number).map_or(1, |&most| most as usize),
        };
        let (caps, rules) = (&boot.caps, &boot.rules);
        p::Settings {
            classes: boot.classes.iter().map(class).collect(),
            tenants: boot.customers.iter().map(|t| p::Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_share_worth: boot.over_share_worth,
            kinds: (0..boot.host_types.len()).map(kind).collect(),
            tolls: domain.toll.clone(),
            late: match domain.late {
                Late::Line => p::LateForm::Line,
                Late::Halves => p::LateForm::Halves,
            },
            caps: p::Caps {
                slots: domain.workers as usize,
                max_open: caps.max_open as usize,
                max_attempts: caps.max_attempts,
                streams_per_conn: caps.streams_per_conn as usize,
                conn_idle: p::Span::from_ms(caps.conn_idle_ms),
                max_retry_after: p::Span::from_ms(caps.max_retry_after_ms),
                may_cancel: caps.may_cancel,
                probes: caps.probes,
            },
            rules: p::Rules {
                cold_from: rules.cold_from,
                cold: p::Span::from_ms(rules.cold_ms),
                fall_multiple: rules.fall_multiple,
                tip_after: p::Span::from_ms(rules.tip_after_ms),
                order_pause: p::Span::from_ms(rules.order_pause_ms),
                must_ask: p::Span::from_ms(rules.must_ask_in_ms),
            },
            discovery: match boot.registry_mode {
                RegistryMode::Automatic => p::Discovery::Automatic,
                RegistryMode::Subscribe => p::Discovery::Subscribe,
            },
            weights: match boot.weights {
                Weights::Nominal => p::Weights::Nominal,
                Weights::Rough => p::Weights::Rough,
                Weights::Off => p::Weights::Off,
            },
            couriers: boot.peers_total as usize,
            tick: p::Span::from_ms(boot.tick_ms),
        }
    }
}
