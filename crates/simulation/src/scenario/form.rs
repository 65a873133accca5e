//! The form of a scenario's file: its tables and keys, before anything is looked at for its meaning.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use toml::Value;

/// A number, or a range from which each seed draws its own.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged, expecting = "a number or { from = LEAST, to = MOST }")]
pub(super) enum Number {
    Exact(f64),
    Range { from: f64, to: f64 },
}

/// A curve of time, or a number.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number, { from, to }, or a curve of t in quotes"
)]
pub(super) enum Rate {
    Number(Number),
    Curve(String),
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Form {
    #[serde(default, rename = "include")]
    pub(super) _include: Option<Value>,
    pub(super) title: Option<String>,
    pub(super) seconds: Option<Number>,
    /// All loads are multiplied by it.
    pub(super) load_times: Option<Number>,
    #[serde(default)]
    pub(super) couriers: CouriersForm,
    #[serde(default)]
    pub(super) rules: RulesForm,
    #[serde(default)]
    pub(super) network: NetworkForm,
    #[serde(default)]
    pub(super) class: BTreeMap<String, ClassForm>,
    #[serde(default)]
    pub(super) partner: BTreeMap<String, PartnerForm>,
    #[serde(default)]
    pub(super) load: Vec<LoadForm>,
    #[serde(default)]
    pub(super) news: Vec<NewsForm>,
    #[serde(default)]
    pub(super) crash: Vec<CrashForm>,
    #[serde(default)]
    pub(super) partition: Vec<PartitionForm>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CouriersForm {
    pub(super) count: Option<Number>,
    pub(super) slots: Option<Number>,
    pub(super) max_open: Option<Number>,
    pub(super) max_attempts: Option<Number>,
    /// How long couriers are told that idle connections last.
    pub(super) conn_idle_s: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesForm {
    pub(super) cold_from: Option<Number>,
    pub(super) cold_s: Option<Number>,
    pub(super) fall_multiple: Option<Number>,
    pub(super) tip_after_s: Option<Number>,
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
    pub(super) repeats: Option<Repeats>,
    pub(super) window_s: Option<Number>,
    pub(super) worth: Option<Number>,
    pub(super) wanted_s: Option<Number>,
    pub(super) give_up_s: Option<Number>,
    pub(super) late_value: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Repeats {
    Free,
    Keyed,
    Never,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PartnerForm {
    pub(super) count: Option<Number>,
    pub(super) endpoints: Option<Number>,
    pub(super) service_ms: Option<Number>,
    pub(super) shape: Option<ShapeForm>,
    /// Standard deviation of the logarithm, or exponent of the power law.
    pub(super) spread: Option<Number>,
    pub(super) servers: Option<Number>,
    pub(super) queue: Option<Number>,
    pub(super) rate: Option<Number>,
    pub(super) burst: Option<Number>,
    pub(super) window_calls: Option<Number>,
    pub(super) window_s: Option<Number>,
    pub(super) tells_wait: Option<bool>,
    pub(super) counts_refused: Option<bool>,
    pub(super) refuses: Option<Number>,
    pub(super) listed: Option<Number>,
    pub(super) topples: Option<bool>,
    pub(super) stays_down_s: Option<Number>,
    /// Connections that each endpoint holds.
    pub(super) connections: Option<Number>,
    pub(super) idle_close_s: Option<Number>,
    pub(super) connect_ms: Option<Number>,
    #[serde(default)]
    pub(super) outage: Vec<OutageForm>,
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
    pub(super) kind: TroubleForm,
    pub(super) from_s: Number,
    pub(super) for_s: Number,
    pub(super) part: Option<Number>,
    /// Comes again after so many seconds ...
    pub(super) every_s: Option<Number>,
    /// ... so many times in all.
    pub(super) times: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum TroubleForm {
    Refuse,
    Reset,
    Hang,
    Fail,
    Shut,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadForm {
    pub(super) class: String,
    pub(super) partner: String,
    pub(super) rate: Option<Rate>,
    /// A CSV file with a head and a time in s first in each line.
    pub(super) trace: Option<PathBuf>,
    pub(super) arrivals: Option<ArrivalsForm>,
    pub(super) clump: Option<Number>,
    pub(super) retries: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ArrivalsForm {
    Even,
    Poisson,
    Clumps,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NewsForm {
    pub(super) partner: String,
    pub(super) endpoint: Option<Number>,
    pub(super) at_s: Number,
    pub(super) state: StateForm,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum StateForm {
    On,
    Draining,
    Gone,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CrashForm {
    pub(super) courier: Option<Number>,
    pub(super) at_s: Number,
    pub(super) back_after_s: Option<Number>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PartitionForm {
    pub(super) partner: String,
    pub(super) from_s: Number,
    pub(super) for_s: Number,
}
