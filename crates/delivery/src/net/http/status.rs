//! Status codes and their reason phrases (RFC 9110, section 15).

/// The request succeeded.
pub const OK: u16 = 200;
/// The request was accepted for later processing.
pub const ACCEPTED: u16 = 202;
/// The request succeeded. The response has no content.
pub const NO_CONTENT: u16 = 204;
/// The client's copy of the content is still valid. The response has no content.
pub const NOT_MODIFIED: u16 = 304;
/// The request is malformed.
pub const BAD_REQUEST: u16 = 400;
/// The caller must authenticate.
pub const UNAUTHORIZED: u16 = 401;
/// The caller has no permission.
pub const FORBIDDEN: u16 = 403;
/// The path is unknown.
pub const NOT_FOUND: u16 = 404;
/// The path does not support the method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// A proxy requires authentication.
pub const PROXY_AUTHENTICATION_REQUIRED: u16 = 407;
/// The request was not received in time.
pub const REQUEST_TIMEOUT: u16 = 408;
/// The request conflicts with the state of the target.
pub const CONFLICT: u16 = 409;
/// The target is no longer available.
pub const GONE: u16 = 410;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The body's media type is not supported.
pub const UNSUPPORTED_MEDIA_TYPE: u16 = 415;
/// The request is well-formed but cannot be processed.
pub const UNPROCESSABLE_CONTENT: u16 = 422;
/// The target is locked.
pub const LOCKED: u16 = 423;
/// The server does not process a request that might be replayed.
pub const TOO_EARLY: u16 = 425;
/// The caller exceeds its rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;
/// The head is too large.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The server failed.
pub const INTERNAL_SERVER_ERROR: u16 = 500;
/// An upstream server failed.
pub const BAD_GATEWAY: u16 = 502;
/// The server temporarily cannot process requests.
pub const SERVICE_UNAVAILABLE: u16 = 503;
/// An upstream server did not respond in time.
pub const GATEWAY_TIMEOUT: u16 = 504;

/// Returns whether a number is a valid status code.
pub(super) fn is_valid(status: u16) -> bool {
    (100..600).contains(&status)
}

/// Returns whether a status is that of an interim response, which is followed by another response.
pub fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Returns whether a status reports that the request failed.
pub fn is_error(status: u16) -> bool {
    status >= BAD_REQUEST
}

/// Returns whether a response with this status never has a body.
pub(super) fn has_no_body(status: u16) -> bool {
    is_interim(status) || matches!(status, NO_CONTENT | NOT_MODIFIED)
}

/// Returns the reason phrase of a status that this program sends, and `Unknown` for other statuses.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        ACCEPTED => "Accepted",
        NO_CONTENT => "No Content",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        CONTENT_TOO_LARGE => "Content Too Large",
        UNSUPPORTED_MEDIA_TYPE => "Unsupported Media Type",
        UNPROCESSABLE_CONTENT => "Unprocessable Content",
        TOO_MANY_REQUESTS => "Too Many Requests",
        REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        BAD_GATEWAY => "Bad Gateway",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        GATEWAY_TIMEOUT => "Gateway Timeout",
        _ => "Unknown",
    }
}
