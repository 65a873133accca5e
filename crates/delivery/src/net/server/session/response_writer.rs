//! Writing one response.

use super::AfterResponse;
use crate::net::connection::Connection;
use crate::net::frontend::Response;
use crate::net::http::{header, status, HeadWriter};
use std::io;

/// The content type of response bodies, which are plain text.
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Writes a response. Its head announces whether the connection is closed afterwards.
///
/// # Errors
/// Returns the I/O error of the connection.
pub(super) async fn write_response(
    connection: &mut Connection,
    response: &Response,
    after_response: AfterResponse,
) -> io::Result<()> {
    let head = encode_head(response, after_response);
    connection.write(&head, response.body.as_bytes()).await
}

fn encode_head(response: &Response, after_response: AfterResponse) -> Vec<u8> {
    let mut head = HeadWriter::response(response.status);
    for (name, value) in &response.fields {
        head = head.field(name, value);
    }
    let content_type = (!response.body.is_empty()).then_some(TEXT_CONTENT_TYPE);
    // A 204 response must not have a `Content-Length`.
    let content_length =
        (response.status != status::NO_CONTENT).then(|| response.body.len().to_string());
    let connection = (after_response == AfterResponse::Close).then_some("close");
    head.optional_field(header::CONTENT_TYPE, content_type)
        .optional_field(header::CONTENT_LENGTH, content_length)
        .optional_field(header::CONNECTION, connection)
        .finish()
}
