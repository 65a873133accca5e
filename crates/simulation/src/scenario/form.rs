//! Tables and keys of a scenario file, before values are validated. Where a key differs from the term used in the code, the
//! field is renamed with serde, so that existing files stay valid.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use toml::Value;

/// A number, or a range from which each seed draws its own value.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged, expecting = "a number or { from = LEAST, to = MOST }")]
pub(super) enum Number {
    Exact(f64),
    Range { from: f64, to: f64 },
}

/// A rate expression, or a number.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number, { from = LEAST, to = MOST }, or an expression of t in quotes"
)]
pub(super) enum Rate {
    Number(Number),
    Expression(String),
}

/// A scenario file, or several merged files.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Form {
    #[serde(default, rename = "include")]
    pub(super) _include: Option<Value>,
    pub(super) title: Option<String>,
    pub(super) seconds: Option<Number>,
    /// Factor by which the rates of all loads are multiplied.
    #[serde(rename = "load_times")]
    pub(super) load_factor: Option<Number>,
    #[serde(default, rename = "couriers")]
    pub(super) instances: InstancesForm,
    #[serde(default)]
    pub(super) rules: RulesForm,
    #[serde(default)]
    pub(super) network: NetworkForm,
    #[serde(default, rename = "class")]
    pub(super) classes: BTreeMap<String, ClassForm>,
    #[serde(default, rename = "partner")]
    pub(super) destinations: BTreeMap<String, DestinationForm>,
    #[serde(default, rename = "load")]
    pub(super) loads: Vec<LoadForm>,
    #[serde(default, rename = "news")]
    pub(super) list_changes: Vec<ListChangeForm>,
    #[serde(default, rename = "crash")]
    pub(super) crashes: Vec<CrashForm>,
    #[serde(default, rename = "partition")]
    pub(super) partitions: Vec<PartitionForm>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct InstancesForm {
    pub(super) count: Option<Number>,
    #[serde(rename = "slots")]
    pub(super) max_in_flight: Option<Number>,
    #[serde(rename = "max_open")]
    pub(super) max_open_messages: Option<Number>,
    pub(super) max_attempts: Option<Number>,
    #[serde(rename = "conn_idle_s")]
    pub(super) idle_timeout_s: Option<Number>,
}

/// Parameters of the recovery ramp.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesForm {
    #[serde(rename = "cold_from")]
    pub(super) ramp_start: Option<Number>,
    #[serde(rename = "cold_s")]
    pub(super) ramp_duration_s: Option<Number>,
    #[serde(rename = "fall_multiple")]
    pub(super) overload_factor: Option<Number>,
    #[serde(rename = "tip_after_s")]
    pub(super) overload_window_s: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NetworkForm {
    pub(super) delay_ms: Option<Number>,
    pub(super) jitter_ms: Option<Number>,
    pub(super) loss: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassForm {
    #[serde(rename = "repeats")]
    pub(super) idempotency: Option<IdempotencyForm>,
    #[serde(rename = "window_s")]
    pub(super) deduplication_window_s: Option<Number>,
    #[serde(rename = "worth")]
    pub(super) priority_weight: Option<Number>,
    #[serde(rename = "wanted_s")]
    pub(super) latency_objective_s: Option<Number>,
    #[serde(rename = "give_up_s")]
    pub(super) deadline_s: Option<Number>,
    pub(super) late_value: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) enum IdempotencyForm {
    #[serde(rename = "free")]
    Idempotent,
    #[serde(rename = "keyed")]
    IdempotencyKey,
    #[serde(rename = "never")]
    NonIdempotent,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DestinationForm {
    pub(super) count: Option<Number>,
    pub(super) endpoints: Option<Number>,
    #[serde(rename = "service_ms")]
    pub(super) service_time_ms: Option<Number>,
    pub(super) shape: Option<ShapeForm>,
    /// Standard deviation of the logarithm (log-normal) or exponent (Pareto) of the service time.
    pub(super) spread: Option<Number>,
    pub(super) servers: Option<Number>,
    pub(super) queue: Option<Number>,
    pub(super) rate: Option<Number>,
    pub(super) burst: Option<Number>,
    pub(super) window_calls: Option<Number>,
    pub(super) window_s: Option<Number>,
    #[serde(rename = "tells_wait")]
    pub(super) sends_retry_after: Option<bool>,
    #[serde(rename = "counts_refused")]
    pub(super) counts_rejected: Option<bool>,
    #[serde(rename = "refuses")]
    pub(super) rejection_rate: Option<Number>,
    #[serde(rename = "listed")]
    pub(super) advertised_rate: Option<Number>,
    #[serde(rename = "topples")]
    pub(super) overloads_on_recovery: Option<bool>,
    #[serde(rename = "stays_down_s")]
    pub(super) overload_downtime_s: Option<Number>,
    #[serde(rename = "connections")]
    pub(super) max_open_connections: Option<Number>,
    pub(super) idle_close_s: Option<Number>,
    pub(super) connect_ms: Option<Number>,
    #[serde(default, rename = "outage")]
    pub(super) outages: Vec<OutageForm>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ShapeForm {
    Constant,
    Exponential,
    Lognormal,
    Pareto,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OutageForm {
    pub(super) kind: OutageKindForm,
    pub(super) from_s: Number,
    pub(super) for_s: Number,
    #[serde(rename = "part")]
    pub(super) share: Option<Number>,
    /// Time from the start of one occurrence to the start of the next, in s.
    pub(super) every_s: Option<Number>,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub(super) occurrences: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) enum OutageKindForm {
    #[serde(rename = "refuse")]
    RefuseConnections,
    #[serde(rename = "reset")]
    ResetConnections,
    #[serde(rename = "hang")]
    Blackhole,
    #[serde(rename = "fail")]
    ReturnErrors,
    #[serde(rename = "shut")]
    RejectAll,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadForm {
    pub(super) class: String,
    #[serde(rename = "partner")]
    pub(super) destination: String,
    pub(super) rate: Option<Rate>,
    /// A CSV file with a header line. The first column of every other line is a time in s.
    pub(super) trace: Option<PathBuf>,
    pub(super) arrivals: Option<ArrivalsForm>,
    #[serde(rename = "clump")]
    pub(super) burst_size: Option<Number>,
    pub(super) retries: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) enum ArrivalsForm {
    #[serde(rename = "even")]
    Even,
    #[serde(rename = "poisson")]
    Poisson,
    #[serde(rename = "clumps")]
    Bursts,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListChangeForm {
    #[serde(rename = "partner")]
    pub(super) destination: String,
    pub(super) endpoint: Option<Number>,
    pub(super) at_s: Number,
    #[serde(rename = "state")]
    pub(super) status: StatusForm,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) enum StatusForm {
    #[serde(rename = "on")]
    Active,
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CrashForm {
    #[serde(rename = "courier")]
    pub(super) instance: Option<Number>,
    pub(super) at_s: Number,
    #[serde(rename = "back_after_s")]
    pub(super) restart_after_s: Option<Number>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PartitionForm {
    #[serde(rename = "partner")]
    pub(super) destination: String,
    pub(super) from_s: Number,
    pub(super) for_s: Number,
}
