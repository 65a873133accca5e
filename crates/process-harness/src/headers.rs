//! Names of HTTP header fields.

/// Platform: id of a message.
pub const CALL_ID: &str = "X-Call-Id";
/// Platform: class of a message.
pub const CALL_CLASS: &str = "X-Call-Class";
/// Platform: remaining time to live of a message, in milliseconds.
pub const BUDGET_MS: &str = "X-Budget-Ms";
/// Platform: destination of a message, as `dest=NUMBER`.
pub const ENVELOPE: &str = "X-Envelope";
/// Key by which receivers recognise and drop duplicates of a message.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Time to wait before the next request, in seconds.
pub const RETRY_AFTER: &str = "Retry-After";
/// Length of a body in bytes.
pub const CONTENT_LENGTH: &str = "Content-Length";
/// Media type of a body.
pub const CONTENT_TYPE: &str = "Content-Type";
/// Connection options: whether the connection stays open after a response.
pub const CONNECTION: &str = "Connection";
/// CloudEvents: version of the specification.
pub const EVENT_SPEC_VERSION: &str = "ce-specversion";
/// CloudEvents: id of an event.
pub const EVENT_ID: &str = "ce-id";
/// CloudEvents: source of an event.
pub const EVENT_SOURCE: &str = "ce-source";
/// CloudEvents: type of an event.
pub const EVENT_TYPE: &str = "ce-type";
/// CloudEvents: extension attribute with the destination's name, as configured in the manifests of the harness.
pub const EVENT_DESTINATION: &str = "ce-clinic";
