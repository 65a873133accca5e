//! The simulator's wire as types: what comes in, line by line, and what goes out.

use marblefall_settings::BootInfo;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Line {
    Mark {
        time_ms: f64,
    },
    End {},
    Begin {
        courier_id: String,
        random_seed: u64,
        boot_info: Box<BootInfo>,
    },
    Halt {
        courier_id: String,
    },
    Sheet {
        buffer: u64,
        rows_in: Vec<Row>,
    },
    Update {
        courier_id: String,
        /// Of no meaning, and absent, where `kind` is `Error`.
        #[serde(default)]
        buffer: u64,
        kind: UpdateKind,
    },
    Accept(Accept),
    First {
        courier_id: String,
    },
    ClosedAttempt(ClosedAttempt),
    Gone {
        courier_id: String,
        r#ref: String,
    },
    Due {
        courier_id: String,
        token: u64,
    },
    Checked {
        courier_id: String,
        outcome: u64,
        endpoint: String,
        server_stats: Option<Stats>,
    },
    NeighbourSays {
        courier_id: String,
    },
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub enum UpdateKind {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    pub sku: String,
    pub destination: f64,
    pub endpoint: String,
    pub availability: Availability,
    #[serde(default)]
    pub share: f64,
    #[serde(default)]
    pub area: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    On,
    Fading,
    Off,
}

#[derive(Debug, Deserialize)]
pub struct Accept {
    pub courier_id: String,
    pub r#ref: String,
    pub r#type: String,
    pub billing: Option<Value>,
    pub entity: Option<u64>,
    pub expires_ms: f64,
    pub destination: f64,
}

#[derive(Debug, Deserialize)]
pub struct ClosedAttempt {
    pub courier_id: String,
    pub r#ref: String,
    pub copy: u32,
    pub outcome: u64,
    pub duration_ms: f64,
    #[serde(default)]
    pub last: bool,
    #[serde(default)]
    pub detail: f64,
    pub server_stats: Option<Stats>,
}

#[derive(Debug, Default, Deserialize)]
pub struct Stats {
    pub x0: Option<f64>,
    pub x1: Option<f64>,
}

/// One line of output.
#[derive(Debug, Serialize)]
#[serde(tag = "msg", rename_all = "snake_case")]
pub enum Reply<'a> {
    PassOn {
        courier_id: &'a str,
        r#ref: &'a str,
        endpoint: &'a str,
        cut_at_ms: f64,
    },
    StopAttempt {
        courier_id: &'a str,
        r#ref: &'a str,
        copy: u32,
    },
    #[serde(rename = "overload_reply")]
    Refuse {
        courier_id: &'a str,
        r#ref: &'a str,
        retry_in_ms: f64,
    },
    EndFailed {
        courier_id: &'a str,
        r#ref: &'a str,
    },
    WakeAt {
        courier_id: &'a str,
        at_ms: f64,
        token: u64,
    },
    HealthCheck {
        courier_id: &'a str,
        endpoint: &'a str,
    },
    Close {
        courier_id: &'a str,
        endpoint: &'a str,
    },
    Tail {
        courier_id: &'a str,
        want: bool,
    },
    Emit {
        courier_id: &'a str,
        text: &'a str,
    },
    Broken {
        courier_id: &'a str,
        text: &'a str,
    },
    End,
}
