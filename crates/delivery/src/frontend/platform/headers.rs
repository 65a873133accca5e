//! Names of the header fields of the platform's protocol, on requests of clients, attempts and responses of endpoints.
//!
//! The key is the standard [`IDEMPOTENCY_KEY`](crate::net::http::header::IDEMPOTENCY_KEY).

/// The identity of a message.
pub const MESSAGE_ID: &str = "X-Call-Id";
/// The class of a message.
pub const CLASS: &str = "X-Call-Class";
/// The time to live of a message in whole milliseconds; on an attempt, how long its response is awaited.
pub const TIME_TO_LIVE_MS: &str = "X-Budget-Ms";
/// The envelope of a message, which names its destination.
pub const ENVELOPE: &str = "X-Envelope";
/// Present on a 503 that reports that the attempt found no free slot of this instance.
pub const NO_SLOT: &str = "X-No-Slot";
/// An endpoint's report of its rate limit.
pub const LOAD_REPORT: &str = "X-Load-Report";

/// The key of the destination's number in [`ENVELOPE`].
pub const ENVELOPE_DESTINATION: &str = "dest";
