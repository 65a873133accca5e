//! Limits of the deployment.

use serde::Deserialize;

/// Limits of the deployment. Times are in milliseconds; 0 if there is none.
#[derive(Debug, Deserialize)]
pub struct LimitSettings {
    /// Time for which an idle connection stays open.
    #[serde(rename = "conn_idle_ms", default)]
    pub idle_timeout_ms: f64,
    /// Time within which a connection must be established.
    #[serde(rename = "dial_timeout_ms", default)]
    pub connect_timeout_ms: f64,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Maximum number of messages without a final outcome.
    #[serde(rename = "max_open")]
    pub max_open_messages: u64,
    /// The longest `Retry-After` that clients honour.
    #[serde(default)]
    pub max_retry_after_ms: f64,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel", default)]
    pub cancellation_allowed: bool,
    /// Whether endpoints may be sent health checks.
    #[serde(rename = "probes", default)]
    pub health_checks_allowed: bool,
    /// Whether rejected clients receive a `Retry-After`.
    #[serde(rename = "retry_after", default)]
    pub sends_retry_after: bool,
    /// Maximum number of concurrent calls on one connection.
    #[serde(rename = "streams_per_conn", default)]
    pub streams_per_connection: u64,
}
