//! Names of header fields on the wire.

/// The platform: id of a message.
pub const CALL_ID: &str = "X-Call-Id";
/// The platform: class of a message.
pub const CALL_CLASS: &str = "X-Call-Class";
/// The platform: how many milliseconds a message may still take.
pub const BUDGET_MS: &str = "X-Budget-Ms";
/// The platform: destination of a message, as `dest=NUMBER`.
pub const ENVELOPE: &str = "X-Envelope";
/// Key by which receivers drop repeated messages.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Seconds to wait before the next request.
pub const RETRY_AFTER: &str = "Retry-After";
/// Length of a body in bytes.
pub const CONTENT_LENGTH: &str = "Content-Length";
/// Media type of a body.
pub const CONTENT_TYPE: &str = "Content-Type";
/// Whether a connection stays open.
pub const CONNECTION: &str = "Connection";
/// CloudEvents: version of the specification.
pub const EVENT_SPEC_VERSION: &str = "ce-specversion";
/// CloudEvents: id of an event.
pub const EVENT_ID: &str = "ce-id";
/// CloudEvents: source of an event.
pub const EVENT_SOURCE: &str = "ce-source";
/// CloudEvents: type of an event.
pub const EVENT_TYPE: &str = "ce-type";
/// CloudEvents: extension attribute that names the destination in the manifests of the harness.
pub const EVENT_DESTINATION: &str = "ce-clinic";
