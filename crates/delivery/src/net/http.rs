//! The subset of HTTP/1.1 that the delivery of messages needs.
//!
//! Parsers work on the read buffer in place: a parsed head borrows from it, and the chunks of a body are joined within
//! it ([`ChunkedDecoder`]). Callers copy only the data that must outlive the buffer.

mod chunked;
mod fields;
mod head;
mod head_writer;
pub mod header;
mod retry_after;
pub mod status;

pub use chunked::{ChunkedDecoder, DecodeStep};
pub use fields::{Fields, Framing};
pub use head::{
    head_end, parse_request, parse_response, parse_status_line, RequestHead, ResponseHead,
    StatusLine,
};
pub use head_writer::HeadWriter;
pub use retry_after::retry_after;

/// An error of parsing an HTTP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The message is not HTTP/1.1, or its parts contradict each other.
    #[error("malformed HTTP message")]
    Malformed,
    /// The head is longer than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is longer than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
}

impl ParseError {
    /// Returns the status of a server's response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => status::BAD_REQUEST,
            ParseError::HeadTooLarge => status::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::BodyTooLarge => status::CONTENT_TOO_LARGE,
        }
    }

    /// Returns the reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head-too-large",
            ParseError::BodyTooLarge => "body-too-large",
        }
    }
}
