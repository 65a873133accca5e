//! Delivers notices of final outcomes to the platform, each until it is acknowledged.

use super::{next_backoff, DiscoveryEndpoint, MAX_HEAD, MIN_BACKOFF};
use crate::core::engine::EngineEvent;
use crate::core::{FinalOutcome, MessageId};
use crate::log_line;
use crate::net::connection::{before, Connection, ReadError};
use crate::net::http;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a response is awaited at first. Discovery responds at once, so that a connection which says nothing for longer
/// is broken, and a notice that is sent again does no harm, while one that comes late is lost ...
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// ... which doubles with each further silence, up to this.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most notices in one request.
const MAX_BATCH: usize = 200;
const NO_CONTENT: u16 = 204;

/// A notice to be delivered.
#[derive(Debug)]
pub struct PendingNotice {
    /// The message's id in the engine.
    pub message_id: MessageId,
    /// The identity that its client gave it.
    pub identity: Vec<u8>,
    /// How it ended.
    pub outcome: FinalOutcome,
}

/// Words a notice as one line, given a message's identity and outcome.
pub type EncodeNotice = fn(&[u8], FinalOutcome) -> String;

/// Delivers the notices that come from `pending` until that is closed, and sends the engine an event for each that is
/// acknowledged.
pub async fn deliver_notices(
    mut discovery: DiscoveryEndpoint,
    pending: Receiver<PendingNotice>,
    engine: Sender<EngineEvent>,
    encode: EncodeNotice,
) {
    let mut sender = NoticeSender {
        connection: None,
        backoff: MIN_BACKOFF,
        response_timeout: MIN_RESPONSE_TIMEOUT,
        batch: Vec::new(),
        pending,
        encode,
    };
    loop {
        let sending = sender.send_batch(discovery.address);
        match discovery.unless_moved(sending).await {
            Some(BatchResult::QueueClosed) => return,
            Some(BatchResult::Rejected) => {}
            Some(BatchResult::Acknowledged) => {
                for notice in sender.batch.drain(..) {
                    let acknowledged = EngineEvent::NoticeAcknowledged(notice.message_id);
                    let _ = engine.send(acknowledged).await;
                }
            }
            // The batch goes to the new address, also what the old one may have taken: a notice twice does no harm.
            None => sender.reset(),
        }
    }
}

/// How sending a batch ended.
enum BatchResult {
    Acknowledged,
    /// Not taken; it has been waited for since.
    Rejected,
    /// Nobody sends notices any more.
    QueueClosed,
}

/// A notice as it is sent.
struct EncodedNotice {
    message_id: MessageId,
    line: String,
}

struct NoticeSender {
    /// Kept from one request to the next.
    connection: Option<Connection>,
    backoff: Duration,
    response_timeout: Duration,
    batch: Vec<EncodedNotice>,
    pending: Receiver<PendingNotice>,
    encode: EncodeNotice,
}

impl NoticeSender {
    fn reset(&mut self) {
        self.connection = None;
        self.reset_waits();
    }

    fn reset_waits(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.response_timeout = MIN_RESPONSE_TIMEOUT;
    }

    async fn send_batch(&mut self, address: SocketAddr) -> BatchResult {
        if self.fill_batch().await.is_err() {
            return BatchResult::QueueClosed;
        }
        let body: String = self
            .batch
            .iter()
            .map(|notice| notice.line.as_str())
            .collect();
        let deadline = Instant::now() + self.response_timeout;
        let posted = before(deadline, post(&mut self.connection, address, &body)).await;
        let code = match &posted {
            Some(Ok(NO_CONTENT)) => {
                self.reset_waits();
                return BatchResult::Acknowledged;
            }
            Some(Ok(status)) => status.to_string(),
            Some(Err(error)) => error.code().to_owned(),
            None => ReadError::TimedOut.code().to_owned(),
        };
        self.connection = None;
        log_line!(code = %code, "discovery {address}: {} notices not taken", self.batch.len());
        if posted.is_none() {
            // It has been waited for already.
            self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
        } else {
            Timer::after(self.backoff).await;
            self.backoff = next_backoff(self.backoff);
        }
        BatchResult::Rejected
    }

    /// Waits for a notice if there is none, and takes what else is there.
    async fn fill_batch(&mut self) -> Result<(), async_channel::RecvError> {
        if self.batch.is_empty() {
            let notice = self.pending.recv().await?;
            self.add(notice);
        }
        while self.batch.len() < MAX_BATCH {
            let Ok(notice) = self.pending.try_recv() else {
                break;
            };
            self.add(notice);
        }
        Ok(())
    }

    fn add(&mut self, notice: PendingNotice) {
        self.batch.push(EncodedNotice {
            message_id: notice.message_id,
            line: (self.encode)(&notice.identity, notice.outcome),
        });
    }
}

/// Posts notices over the connection that is kept or a new one, which is kept then if it can be. Returns the status.
async fn post(
    kept: &mut Option<Connection>,
    address: SocketAddr,
    body: &str,
) -> Result<u16, ReadError> {
    let mut connection = match kept.take().filter(Connection::is_reusable) {
        Some(connection) => connection,
        None => Connection::connect_with_retry(address)
            .await
            .map_err(ReadError::Io)?,
    };
    let body_len = body.len();
    let head =
        format!("POST /status HTTP/1.1\r\nHost: {address}\r\nContent-Length: {body_len}\r\n\r\n");
    connection
        .write(head.as_bytes(), body.as_bytes())
        .await
        .map_err(ReadError::Io)?;
    let head_len = connection.read_head(MAX_HEAD).await?;
    let head = http::response(&connection.bytes()[..head_len])?;
    let (status, framing, keep_alive) = (head.status, head.framing, head.keep_alive);
    let body_len = connection.read_body(head_len, framing, MAX_HEAD).await?;
    connection.consume(head_len + body_len);
    *kept = Some(connection).filter(|_| keep_alive);
    Ok(status)
}

#[cfg(test)]
mod tests;
