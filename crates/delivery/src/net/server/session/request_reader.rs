//! Reading one request into the buffer of its connection.

use crate::net::connection::{Connection, ReadError};
use crate::net::http::{self, header};

/// Maximum length of a request's head in bytes.
pub(in crate::net::server) const MAX_HEAD_LEN: usize = 16 * 1024;
/// Maximum length of a request's body in bytes, which is the limit of the platform's protocol.
pub const MAX_BODY_LEN: usize = 64 * 1024;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The lengths of the head and the body of a request that starts at the first unconsumed byte.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestExtent {
    pub(super) head_len: usize,
    pub(super) body_len: usize,
}

impl RequestExtent {
    /// Returns the total length of the request in bytes.
    pub(super) fn len(self) -> usize {
        self.head_len + self.body_len
    }
}

/// Reads one request. If the client expects `100 Continue` and has not sent body bytes yet, it is sent before the body
/// is read.
pub(super) async fn read_request(connection: &mut Connection) -> Result<RequestExtent, ReadError> {
    let head_len = connection.read_head(MAX_HEAD_LEN).await?;
    let request = http::parse_request(&connection.bytes()[..head_len])?;
    let framing = request.framing;
    let expects_continue = request
        .fields
        .text(header::EXPECT)
        .is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
    if expects_continue && connection.bytes().len() == head_len {
        connection
            .write(CONTINUE_RESPONSE, b"")
            .await
            .map_err(ReadError::Io)?;
    }
    let body_len = connection
        .read_body(head_len, framing, MAX_BODY_LEN)
        .await?;
    Ok(RequestExtent { head_len, body_len })
}
