//! Names of the standard header fields that this program reads or writes. Lookups ignore case.

/// Whether the sender closes the connection after this message.
pub const CONNECTION: &str = "Connection";
/// The length of the body in bytes.
pub const CONTENT_LENGTH: &str = "Content-Length";
/// The media type of the body.
pub const CONTENT_TYPE: &str = "Content-Type";
/// When the message was written.
pub const DATE: &str = "Date";
/// What the client expects before it sends the body.
pub const EXPECT: &str = "Expect";
/// The host that a request is addressed to.
pub const HOST: &str = "Host";
/// The key by which a receiver recognises a repeated request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// When the client may retry: seconds, or a date.
pub const RETRY_AFTER: &str = "Retry-After";
/// How the body is encoded for the transfer.
pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
