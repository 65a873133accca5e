//! HTTP/1.1 as far as the delivery of messages needs it.
//!
//! Parsers work on the read buffer in place: a head borrows from it, and a chunked body is joined within it
//! ([`ChunkedDecoder`]). Callers copy only what must outlive the buffer.

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

/// Why a message cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// It is not HTTP/1.1, or contradicts itself.
    #[error("malformed")]
    Malformed,
    /// Its head is longer than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// Its body is longer than allowed.
    #[error("the body is too large")]
    BodyTooLarge,
}

impl ParseError {
    /// The status with which a server responds.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => status::BAD_REQUEST,
            ParseError::HeadTooLarge => status::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::BodyTooLarge => status::CONTENT_TOO_LARGE,
        }
    }

    /// The reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            ParseError::Malformed => "malformed",
            ParseError::HeadTooLarge => "head-too-large",
            ParseError::BodyTooLarge => "body-too-large",
        }
    }
}
