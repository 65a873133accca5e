//! Names of the header fields of the platform's protocol, in clients' requests, attempts and endpoints' responses.
//!
//! The idempotency key has the standard field [`IDEMPOTENCY_KEY`](crate::net::http::header::IDEMPOTENCY_KEY).

/// The identity of a message.
pub const MESSAGE_ID: &str = "X-Call-Id";
/// The class of a message.
pub const CLASS: &str = "X-Call-Class";
/// The time to live of a message in whole milliseconds; in an attempt, the time for which its response is awaited.
pub const TIME_TO_LIVE_MS: &str = "X-Budget-Ms";
/// The envelope of a message, which names its destination.
pub const ENVELOPE: &str = "X-Envelope";
/// Present in a response with status 503 if there was no free slot of this instance for the attempt.
pub const NO_SLOT: &str = "X-No-Slot";
/// An endpoint's report of its rate limit.
pub const LOAD_REPORT: &str = "X-Load-Report";

/// The key of the destination's number in [`ENVELOPE`].
pub const ENVELOPE_DESTINATION: &str = "dest";
