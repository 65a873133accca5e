//! One request for the whole endpoint list, for a process that could not begin when it was started.

use super::{EndpointList, MAX_HEAD};
use crate::log_line;
use crate::net::connection::{before, Connection, ReadError};
use crate::net::http;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the request may take: discovery responds at once, or is down.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The longest list.
const MAX_LIST: usize = 4 << 20;
const OK: u16 = 200;

/// The whole list as discovery has it now; `None` where it does not tell.
pub async fn fetch_list(discovery: SocketAddr) -> Option<EndpointList> {
    let deadline = Instant::now() + TIMEOUT;
    let fetched = before(deadline, fetch(discovery))
        .await
        .unwrap_or(Err(ReadError::TimedOut));
    let code = match fetched {
        Ok(Some(list)) => return Some(list),
        Ok(None) => "no-list",
        Err(error) => error.code(),
    };
    log_line!(
        code,
        "discovery {discovery}: the list of the configuration stays"
    );
    None
}

async fn fetch(discovery: SocketAddr) -> Result<Option<EndpointList>, ReadError> {
    let mut connection = Connection::connect_with_retry(discovery)
        .await
        .map_err(ReadError::Io)?;
    let request =
        format!("GET /v1/endpoints HTTP/1.1\r\nHost: {discovery}\r\nConnection: close\r\n\r\n");
    connection
        .write(request.as_bytes(), b"")
        .await
        .map_err(ReadError::Io)?;
    let head_len = connection.read_head(MAX_HEAD).await?;
    let head = http::response(&connection.bytes()[..head_len])?;
    if head.status != OK {
        return Ok(None);
    }
    let framing = head.framing;
    let body_len = connection.read_body(head_len, framing, MAX_LIST).await?;
    let body = &connection.bytes()[head_len..head_len + body_len];
    Ok(serde_json::from_slice(body).ok())
}
