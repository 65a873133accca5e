//! The simulator's wire as types: what comes in, line by line, and what goes out. Names on the wire are the simulator's;
//! where a field has a better name here, `rename` gives the wire's.

use marblefall_settings::InstanceSettings;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Line {
    /// A batch begins.
    Mark { time_ms: f64 },
    /// A batch ends.
    End {},
    /// An instance starts.
    Begin {
        #[serde(rename = "courier_id")]
        instance: String,
        random_seed: u64,
        boot_info: Box<InstanceSettings>,
    },
    /// An instance ends.
    Halt {
        #[serde(rename = "courier_id")]
        instance: String,
    },
    /// Rows of an endpoint list, for the updates that name its number.
    Sheet {
        #[serde(rename = "buffer")]
        number: u64,
        #[serde(rename = "rows_in")]
        rows: Vec<Row>,
    },
    /// An instance learns of an endpoint list.
    Update {
        #[serde(rename = "courier_id")]
        instance: String,
        /// The list's number; of no meaning, and absent, where `kind` is `Error`.
        #[serde(rename = "buffer", default)]
        number: u64,
        kind: UpdateKind,
    },
    /// A message comes in.
    Accept(Accept),
    /// An instance is shown to be first of its group; of no use here.
    First {
        #[serde(rename = "courier_id")]
        instance: String,
    },
    /// An attempt ended.
    ClosedAttempt(AttemptEnd),
    /// Nobody wants a message any more.
    Gone {
        #[serde(rename = "courier_id")]
        instance: String,
        #[serde(rename = "ref")]
        message: String,
    },
    /// A timer fired.
    Due {
        #[serde(rename = "courier_id")]
        instance: String,
        token: u64,
    },
    /// A health check ended.
    Checked {
        #[serde(rename = "courier_id")]
        instance: String,
        outcome: u64,
        endpoint: String,
        #[serde(rename = "server_stats")]
        rate_limit: Option<RateLimit>,
    },
    /// Another instance sent a note; of no use here.
    NeighbourSays {
        #[serde(rename = "courier_id")]
        instance: String,
    },
}

/// What a list stands for.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum UpdateKind {
    /// Changes.
    Partial,
    /// The whole list.
    Complete,
    /// The whole list as it was stored last.
    Persisted,
    /// The request for it failed.
    Error,
}

/// A row of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    #[serde(rename = "sku")]
    pub kind: String,
    pub destination: f64,
    pub endpoint: String,
    pub availability: Availability,
    #[serde(rename = "share", default)]
    pub advertised_rate: f64,
    #[serde(rename = "area", default)]
    pub zone: String,
}

/// Whether an endpoint may be used.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It may.
    On,
    /// It is draining.
    Fading,
    /// It is removed.
    Off,
}

/// A message that comes in.
#[derive(Debug, Deserialize)]
pub struct Accept {
    #[serde(rename = "courier_id")]
    pub instance: String,
    #[serde(rename = "ref")]
    pub message: String,
    #[serde(rename = "type")]
    pub class: String,
    /// A name, or a number where there are no tenants.
    #[serde(rename = "billing")]
    pub tenant: Option<Value>,
    #[serde(rename = "entity")]
    pub ordering_key: Option<u64>,
    #[serde(rename = "expires_ms")]
    pub deadline_ms: f64,
    pub destination: f64,
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub struct AttemptEnd {
    #[serde(rename = "courier_id")]
    pub instance: String,
    #[serde(rename = "ref")]
    pub message: String,
    #[serde(rename = "copy")]
    pub attempt: u32,
    pub outcome: u64,
    pub duration_ms: f64,
    #[serde(rename = "last", default)]
    pub is_final: bool,
    /// The wait that a rejection asked for; 0 where it asked for none.
    #[serde(rename = "detail", default)]
    pub retry_after_ms: f64,
    #[serde(rename = "server_stats")]
    pub rate_limit: Option<RateLimit>,
}

/// What a response told of the rate limit.
#[derive(Debug, Default, Deserialize)]
pub struct RateLimit {
    /// Share of the quota that remains.
    #[serde(rename = "x0")]
    pub remaining: Option<f64>,
    /// Calls per second that the limit allows.
    #[serde(rename = "x1")]
    pub limit: Option<f64>,
}

/// One line of output.
#[derive(Debug, Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Reply<'a> {
    /// Start an attempt.
    #[serde(rename = "pass_on")]
    Send {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "ref")]
        message: &'a str,
        endpoint: &'a str,
        #[serde(rename = "cut_at_ms")]
        timeout_at_ms: f64,
    },
    /// Stop waiting for an attempt.
    #[serde(rename = "stop_attempt")]
    Cancel {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "ref")]
        message: &'a str,
        #[serde(rename = "copy")]
        attempt: u32,
    },
    /// Reject a message.
    #[serde(rename = "overload_reply")]
    Reject {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "ref")]
        message: &'a str,
        #[serde(rename = "retry_in_ms")]
        retry_after_ms: f64,
    },
    /// Fail a message.
    #[serde(rename = "end_failed")]
    Fail {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "ref")]
        message: &'a str,
    },
    /// Set a timer.
    #[serde(rename = "wake_at")]
    SetTimer {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        at_ms: f64,
        token: u64,
    },
    /// Send a health check.
    HealthCheck {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        endpoint: &'a str,
    },
    /// Close idle connections.
    Close {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        endpoint: &'a str,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename = "tail")]
    Subscribe {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        want: bool,
    },
    /// A log line.
    #[serde(rename = "emit")]
    Log {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// The scheduler panicked.
    Broken {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// The batch is over.
    End,
}
