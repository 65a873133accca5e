//! The simulator's wire as types: the lines of the input and of the output. The wire's own names are written in
//! the `rename` attributes here and nowhere else.

use marblefall_settings::InstanceSettings;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One line of input.
#[derive(Debug, Deserialize)]
#[serde(tag = "msg")]
pub enum Line {
    /// A batch starts.
    #[serde(rename = "mark")]
    BatchStart { time_ms: f64 },
    /// A batch ends.
    #[serde(rename = "end")]
    BatchEnd {},
    /// An instance starts.
    #[serde(rename = "begin")]
    InstanceStarted(StartedInstance),
    /// An instance stops.
    #[serde(rename = "halt")]
    InstanceStopped {
        #[serde(rename = "courier_id")]
        instance: String,
    },
    /// An endpoint list, for the updates with its number.
    #[serde(rename = "sheet")]
    EndpointList {
        #[serde(rename = "buffer")]
        number: u64,
        #[serde(rename = "rows_in")]
        entries: Vec<EndpointEntry>,
    },
    /// An instance receives an endpoint list.
    #[serde(rename = "update")]
    EndpointListUpdate(ListUpdate),
    /// A message was accepted.
    #[serde(rename = "accept")]
    MessageAccepted(AcceptedMessage),
    /// An instance is the leader of its group; not used.
    #[serde(rename = "first")]
    LeaderElected {
        #[serde(rename = "courier_id")]
        instance: String,
    },
    /// An attempt ended.
    #[serde(rename = "closed_attempt")]
    AttemptFinished(FinishedAttempt),
    /// The client withdrew a message.
    #[serde(rename = "gone")]
    MessageCancelled {
        #[serde(rename = "courier_id")]
        instance: String,
        #[serde(rename = "ref")]
        message: String,
    },
    /// A timer fired.
    #[serde(rename = "due")]
    TimerFired {
        #[serde(rename = "courier_id")]
        instance: String,
        token: u64,
    },
    /// A health check ended.
    #[serde(rename = "checked")]
    HealthChecked(FinishedHealthCheck),
    /// A message from another instance; not used.
    #[serde(rename = "neighbour_says")]
    PeerMessage {
        #[serde(rename = "courier_id")]
        instance: String,
    },
}

/// An instance that starts.
#[derive(Debug, Deserialize)]
pub struct StartedInstance {
    /// Its name.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Seed of its random numbers.
    #[serde(rename = "random_seed")]
    pub seed: u64,
    /// Its settings.
    #[serde(rename = "boot_info")]
    pub settings: Box<InstanceSettings>,
}

/// An endpoint list that an instance receives.
#[derive(Debug, Deserialize)]
pub struct ListUpdate {
    /// The instance that receives it.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// The list's number; absent and meaningless if `kind` is [`UpdateKind::Error`].
    #[serde(rename = "buffer", default)]
    pub number: u64,
    /// What the list contains.
    pub kind: UpdateKind,
}

/// What an endpoint list contains.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum UpdateKind {
    /// Changes.
    Partial,
    /// The complete list.
    Complete,
    /// The complete list as it was last stored.
    Persisted,
    /// Nothing: the request for the list failed.
    Error,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// The destination's kind.
    #[serde(rename = "sku")]
    pub kind: String,
    /// The destination.
    pub destination: f64,
    /// The endpoint's address.
    pub endpoint: String,
    /// Whether the endpoint may be used.
    #[serde(rename = "availability")]
    pub status: EndpointStatus,
    /// A rate in calls per second, as the settings define it.
    #[serde(rename = "share", default)]
    pub advertised_rate: f64,
    /// The endpoint's zone.
    #[serde(rename = "area", default)]
    pub zone: String,
}

/// Status of an endpoint in a list.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum EndpointStatus {
    /// It may be used.
    #[serde(rename = "on")]
    Active,
    /// It receives nothing new.
    #[serde(rename = "fading")]
    Draining,
    /// It is removed.
    #[serde(rename = "off")]
    Removed,
}

/// A message that was accepted.
#[derive(Debug, Deserialize)]
pub struct AcceptedMessage {
    /// The instance that accepted it.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Identity of the message.
    #[serde(rename = "ref")]
    pub message: String,
    /// Name of its class.
    #[serde(rename = "type")]
    pub class: String,
    /// Name of its tenant; a number where there are no tenants.
    #[serde(rename = "billing")]
    pub tenant: Option<Value>,
    /// Its ordering key.
    #[serde(rename = "entity")]
    pub ordering_key: Option<u64>,
    /// Its deadline, in ms.
    #[serde(rename = "expires_ms")]
    pub deadline_ms: f64,
    /// Its destination.
    pub destination: f64,
}

/// An attempt that ended.
#[derive(Debug, Deserialize)]
pub struct FinishedAttempt {
    /// The instance that sent it.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// The message of the attempt.
    #[serde(rename = "ref")]
    pub message: String,
    /// Number of the attempt.
    #[serde(rename = "copy")]
    pub attempt: u32,
    /// How it ended.
    pub outcome: OutcomeCode,
    /// How long it was in flight, in ms.
    pub duration_ms: f64,
    /// Whether the outcome is the message's final one.
    #[serde(rename = "last", default)]
    pub is_final: bool,
    /// The `Retry-After` of a rejection, in ms; 0 if it had none.
    #[serde(rename = "detail", default)]
    pub retry_after_ms: f64,
    /// The rate limit that the response reports.
    #[serde(rename = "server_stats")]
    pub rate_limit: Option<RateLimit>,
}

/// A health check that ended.
#[derive(Debug, Deserialize)]
pub struct FinishedHealthCheck {
    /// The instance that sent it.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// How it ended.
    pub outcome: OutcomeCode,
    /// The endpoint that was checked.
    pub endpoint: String,
    /// The rate limit that the response reports.
    #[serde(rename = "server_stats")]
    pub rate_limit: Option<RateLimit>,
}

/// The wire's number of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct OutcomeCode(pub u64);

impl OutcomeCode {
    /// The message was delivered.
    pub const DELIVERED: OutcomeCode = OutcomeCode(0);
    /// The destination responded with an error.
    pub const ERROR: OutcomeCode = OutcomeCode(1);
    /// The destination rejected the message.
    pub const REJECTED: OutcomeCode = OutcomeCode(2);
    /// No response arrived before the time-out.
    pub const TIMED_OUT: OutcomeCode = OutcomeCode(3);
    /// No connection could be established.
    pub const CONNECT_FAILED: OutcomeCode = OutcomeCode(4);
    /// The connection broke.
    pub const RESET: OutcomeCode = OutcomeCode(5);
    /// The instance cancelled the attempt.
    pub const CANCELLED: OutcomeCode = OutcomeCode(6);
    /// The request was never written.
    pub const NOT_SENT: OutcomeCode = OutcomeCode(7);
}

/// The state of a rate limit as a response reports it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
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
#[serde(tag = "msg")]
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
    #[serde(rename = "health_check")]
    HealthCheck {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        endpoint: &'a str,
    },
    /// Close the idle connections to an endpoint.
    #[serde(rename = "close")]
    CloseIdleConnections {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        endpoint: &'a str,
    },
    /// Subscribe to the endpoint list.
    #[serde(rename = "tail")]
    Subscribe {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "want")]
        subscribe: bool,
    },
    /// Write a log line.
    #[serde(rename = "emit")]
    Log {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// The instance's scheduler panicked.
    #[serde(rename = "broken")]
    Panicked {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// The batch ends.
    #[serde(rename = "end")]
    BatchEnd,
}
