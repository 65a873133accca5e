//! The names of the standard header fields that this program reads or writes. Lookups of fields ignore case.

/// Options of the connection; `close` if the sender closes the connection after this message.
pub const CONNECTION: &str = "Connection";
/// The length of the body in bytes.
pub const CONTENT_LENGTH: &str = "Content-Length";
/// The media type of the body.
pub const CONTENT_TYPE: &str = "Content-Type";
/// The time at which the message was written.
pub const DATE: &str = "Date";
/// The client's expectation of the server; `100-continue` if the client awaits a response before it sends the body.
pub const EXPECT: &str = "Expect";
/// The host that a request is addressed to.
pub const HOST: &str = "Host";
/// The key by which a receiver detects a repeated request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The time after which the client may retry, in seconds or as a date.
pub const RETRY_AFTER: &str = "Retry-After";
/// The transfer coding of the body.
pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
