//! One request for the complete endpoint list, for a process that was started long before it becomes active, so that
//! its configured list may be old.

use super::{EndpointList, ENDPOINTS_PATH, MAX_HEAD_LEN, MAX_LIST_LEN};
use crate::log_line;
use crate::net::connection::{with_deadline, Connection, ReadError};
use crate::net::http::{self, header, status, HeadWriter};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum time for the request. Discovery responds at once unless it is down.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Fetches the complete list. Returns `None` if discovery does not return it in time.
pub async fn fetch_list(discovery: SocketAddr) -> Option<EndpointList> {
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let fetched = with_deadline(deadline, fetch(discovery))
        .await
        .unwrap_or(Err(ReadError::TimedOut));
    let code = match fetched {
        Ok(Some(list)) => return Some(list),
        Ok(None) => "no-list",
        Err(error) => error.code(),
    };
    log_line!(
        code,
        "discovery {discovery}: no endpoint list received, using the configured list"
    );
    None
}

async fn fetch(discovery: SocketAddr) -> Result<Option<EndpointList>, ReadError> {
    let mut connection = Connection::connect_with_retry(discovery)
        .await
        .map_err(ReadError::Io)?;
    let request = HeadWriter::request("GET", ENDPOINTS_PATH)
        .field(header::HOST, discovery.to_string())
        .field(header::CONNECTION, "close")
        .finish();
    connection
        .write(&request, b"")
        .await
        .map_err(ReadError::Io)?;
    let head_len = connection.read_head(MAX_HEAD_LEN).await?;
    let head = http::parse_response(&connection.bytes()[..head_len])?;
    if head.status != status::OK {
        return Ok(None);
    }
    let framing = head.framing;
    let body_len = connection
        .read_body(head_len, framing, MAX_LIST_LEN)
        .await?;
    let body = &connection.bytes()[head_len..head_len + body_len];
    Ok(serde_json::from_slice(body).ok())
}
