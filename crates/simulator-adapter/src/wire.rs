//! The simulator's line protocol as types: the lines of input and output. Names that only the protocol uses appear in the
//! `rename` attributes of this module and nowhere else.

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
    /// An endpoint list, to which later updates refer by its number.
    #[serde(rename = "sheet")]
    EndpointList {
        #[serde(rename = "buffer")]
        number: u64,
        #[serde(rename = "rows_in")]
        entries: Vec<EndpointEntry>,
    },
    /// An instance receives an endpoint list, or its request for one failed.
    #[serde(rename = "update")]
    EndpointListUpdate(ListUpdate),
    /// A message was accepted.
    #[serde(rename = "accept")]
    MessageAccepted(AcceptedMessage),
    /// An instance was elected leader of its group. The batch then includes the instance, without an event.
    #[serde(rename = "first")]
    LeaderElected {
        #[serde(rename = "courier_id")]
        instance: String,
    },
    /// An attempt ended.
    #[serde(rename = "closed_attempt")]
    AttemptFinished(FinishedAttempt),
    /// The client cancelled a message.
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
    /// A message from another instance. The batch then includes the instance, without an event.
    #[serde(rename = "neighbour_says")]
    PeerMessage {
        #[serde(rename = "courier_id")]
        instance: String,
    },
}

/// An instance that starts.
#[derive(Debug, Deserialize)]
pub struct StartedInstance {
    /// Name of the instance.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Seed of the random numbers of its scheduler.
    #[serde(rename = "random_seed")]
    pub seed: u64,
    /// Settings of the instance.
    #[serde(rename = "boot_info")]
    pub settings: Box<InstanceSettings>,
}

/// The result of a request for an endpoint list: a list, or an error.
#[derive(Debug, Deserialize)]
pub struct ListUpdate {
    /// Name of the instance that receives the update.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Number of the endpoint list; absent if `kind` is [`UpdateKind::Error`], and ignored then.
    #[serde(rename = "buffer", default)]
    pub number: u64,
    /// Kind of the update.
    pub kind: UpdateKind,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum UpdateKind {
    /// The list contains only entries that changed.
    Partial,
    /// The list is complete.
    Complete,
    /// The list is complete, as it was last stored.
    Persisted,
    /// There is no list: the request for it failed.
    Error,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// Kind of the destination.
    #[serde(rename = "sku")]
    pub kind: String,
    /// Number of the destination.
    pub destination: f64,
    /// Address of the endpoint.
    pub endpoint: String,
    /// Status of the endpoint.
    #[serde(rename = "availability")]
    pub status: EndpointStatus,
    /// Advertised rate, in calls per second; the settings define its meaning.
    #[serde(rename = "share", default)]
    pub advertised_rate: f64,
    /// Zone of the endpoint.
    #[serde(rename = "area", default)]
    pub zone: String,
}

/// Status of an endpoint in an endpoint list.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum EndpointStatus {
    /// The endpoint receives attempts.
    #[serde(rename = "on")]
    Active,
    /// The endpoint receives no new attempts.
    #[serde(rename = "fading")]
    Draining,
    /// The endpoint is removed from the list.
    #[serde(rename = "off")]
    Removed,
}

/// A message that was accepted.
#[derive(Debug, Deserialize)]
pub struct AcceptedMessage {
    /// Name of the instance that accepted the message.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Identifier of the message.
    #[serde(rename = "ref")]
    pub message: String,
    /// Class of the message.
    #[serde(rename = "type")]
    pub class: String,
    /// Name of the tenant; a number if the settings define no tenants.
    #[serde(rename = "billing")]
    pub tenant: Option<Value>,
    /// Ordering key of the message; `None` if it has none.
    #[serde(rename = "entity")]
    pub ordering_key: Option<u64>,
    /// Deadline of the message, in ms on the time scale of [`Line::BatchStart`].
    #[serde(rename = "expires_ms")]
    pub deadline_ms: f64,
    /// Number of the destination.
    pub destination: f64,
}

/// An attempt that ended.
#[derive(Debug, Deserialize)]
pub struct FinishedAttempt {
    /// Name of the instance.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// Identifier of the message.
    #[serde(rename = "ref")]
    pub message: String,
    /// Number of the attempt.
    #[serde(rename = "copy")]
    pub attempt: u32,
    /// The outcome.
    pub outcome: OutcomeCode,
    /// Time for which the attempt was in flight, in ms.
    pub duration_ms: f64,
    /// Whether the outcome is the message's final one.
    #[serde(rename = "last", default)]
    pub is_final: bool,
    /// The `Retry-After` of a rejection, in ms; 0 if it had none.
    #[serde(rename = "detail", default)]
    pub retry_after_ms: f64,
    /// The rate limit that the response reports, if any.
    #[serde(rename = "server_stats")]
    pub rate_limit: Option<RateLimit>,
}

/// A health check that ended.
#[derive(Debug, Deserialize)]
pub struct FinishedHealthCheck {
    /// Name of the instance.
    #[serde(rename = "courier_id")]
    pub instance: String,
    /// The outcome.
    pub outcome: OutcomeCode,
    /// Address of the endpoint that was checked.
    pub endpoint: String,
    /// The rate limit that the response reports, if any.
    #[serde(rename = "server_stats")]
    pub rate_limit: Option<RateLimit>,
}

/// The number of an outcome in the protocol.
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
    /// No response arrived before the timeout.
    pub const TIMED_OUT: OutcomeCode = OutcomeCode(3);
    /// No connection could be established.
    pub const CONNECT_FAILED: OutcomeCode = OutcomeCode(4);
    /// The connection was lost.
    pub const RESET: OutcomeCode = OutcomeCode(5);
    /// The instance cancelled the attempt.
    pub const CANCELLED: OutcomeCode = OutcomeCode(6);
    /// The request was not written to a connection.
    pub const NOT_SENT: OutcomeCode = OutcomeCode(7);
}

/// The state of a rate limit, as reported by a response.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct RateLimit {
    /// Share of the quota that remains.
    #[serde(rename = "x0")]
    pub remaining: Option<f64>,
    /// Rate that the limit allows, in calls per second.
    #[serde(rename = "x1")]
    pub limit: Option<f64>,
}

/// One line of output.
#[derive(Debug, Serialize)]
#[serde(tag = "msg")]
pub enum Reply<'a> {
    /// Send an attempt to an endpoint.
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
    /// Cancel an attempt.
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
    /// End a message with the outcome "failed".
    #[serde(rename = "end_failed")]
    Fail {
        #[serde(rename = "courier_id")]
        instance: &'a str,
        #[serde(rename = "ref")]
        message: &'a str,
    },
    /// Set a timer, which fires with this token.
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
