//! Delivery of notices of final outcomes to the platform; each is sent until it is acknowledged.

use super::{next_backoff, DiscoveryEndpoint, MAX_HEAD_LEN, MIN_BACKOFF, NOTICES_PATH};
use crate::core::engine::EngineEvent;
use crate::core::{FinalOutcome, MessageId};
use crate::log_line;
use crate::net::connection::{with_deadline, Connection, ReadError};
use crate::net::http::{self, header, status, HeadWriter};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long the first response is awaited. Discovery responds at once, so a connection without a response is likely to be
/// broken. Notices are idempotent: sending one again early is harmless, while one that arrives late counts as lost.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// The limit of the response time-out, which doubles with each missing response.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most notices in one request.
const MAX_BATCH_LEN: usize = 200;

/// A notice that awaits delivery.
#[derive(Debug)]
pub struct PendingNotice {
    /// The message's id in the engine.
    pub message_id: MessageId,
    /// The identity that the client gave the message.
    pub identity: Vec<u8>,
    /// The message's final outcome.
    pub outcome: FinalOutcome,
}

/// Encodes a notice as one line, given the message's identity and final outcome.
pub type EncodeNotice = fn(&[u8], FinalOutcome) -> String;

/// Delivers the notices of the `pending` queue until that is closed, and sends the engine an event for each that is
/// acknowledged.
pub async fn deliver_notices(
    mut discovery: DiscoveryEndpoint,
    pending: Receiver<PendingNotice>,
    engine: Sender<EngineEvent>,
    encode: EncodeNotice,
) {
    let mut sender = NoticeSender::new(pending, encode);
    loop {
        let sending = sender.send_batch(discovery.address);
        match discovery.unless_moved(sending).await {
            Some(BatchResult::QueueClosed) => return,
            Some(BatchResult::NotAcknowledged) => {}
            Some(BatchResult::Acknowledged) => {
                for notice in sender.batch.drain(..) {
                    let acknowledged = EngineEvent::NoticeAcknowledged(notice.message_id);
                    let _ = engine.send(acknowledged).await;
                }
            }
            // The batch is sent to the new address, although the old one may have received it.
            None => sender.reset(),
        }
    }
}

/// How sending a batch ended.
enum BatchResult {
    Acknowledged,
    /// The batch must be sent again; the backoff has passed.
    NotAcknowledged,
    /// The queue of notices is closed.
    QueueClosed,
}

/// A notice as it is sent.
struct EncodedNotice {
    message_id: MessageId,
    line: String,
}

/// Sends one batch of notices at a time.
struct NoticeSender {
    /// The connection that is reused for the next request.
    idle_connection: Option<Connection>,
    backoff: Duration,
    response_timeout: Duration,
    batch: Vec<EncodedNotice>,
    pending: Receiver<PendingNotice>,
    encode: EncodeNotice,
}

impl NoticeSender {
    fn new(pending: Receiver<PendingNotice>, encode: EncodeNotice) -> NoticeSender {
        NoticeSender {
            idle_connection: None,
            backoff: MIN_BACKOFF,
            response_timeout: MIN_RESPONSE_TIMEOUT,
            batch: Vec::new(),
            pending,
            encode,
        }
    }

    fn reset(&mut self) {
        self.idle_connection = None;
        self.reset_delays();
    }

    fn reset_delays(&mut self) {
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
        let posted = with_deadline(deadline, self.post(address, &body)).await;
        let code = match &posted {
            Some(Ok(status::NO_CONTENT)) => {
                self.reset_delays();
                return BatchResult::Acknowledged;
            }
            Some(Ok(status)) => status.to_string(),
            Some(Err(error)) => error.code().to_owned(),
            None => ReadError::TimedOut.code().to_owned(),
        };
        self.idle_connection = None;
        log_line!(
            code = %code,
            "discovery {address}: {} notices not taken",
            self.batch.len()
        );
        if posted.is_none() {
            // The time-out has served as the backoff.
            self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
        } else {
            Timer::after(self.backoff).await;
            self.backoff = next_backoff(self.backoff);
        }
        BatchResult::NotAcknowledged
    }

    /// Waits for a notice if the batch is empty, and adds those that are queued.
    async fn fill_batch(&mut self) -> Result<(), async_channel::RecvError> {
        if self.batch.is_empty() {
            let notice = self.pending.recv().await?;
            self.add(notice);
        }
        while self.batch.len() < MAX_BATCH_LEN {
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

    /// Posts notices over the idle connection or a new one; returns the status of the response.
    async fn post(&mut self, address: SocketAddr, body: &str) -> Result<u16, ReadError> {
        let idle = self.idle_connection.take();
        let mut connection = match idle.filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => Connection::connect_with_retry(address)
                .await
                .map_err(ReadError::Io)?,
        };
        let head = HeadWriter::request("POST", NOTICES_PATH)
            .field(header::HOST, address.to_string())
            .field(header::CONTENT_LENGTH, body.len().to_string())
            .finish();
        connection
            .write(&head, body.as_bytes())
            .await
            .map_err(ReadError::Io)?;
        let head_len = connection.read_head(MAX_HEAD_LEN).await?;
        let head = http::parse_response(&connection.bytes()[..head_len])?;
        let (status, framing, keep_alive) = (head.status, head.framing, head.keep_alive);
        let body_len = connection
            .read_body(head_len, framing, MAX_HEAD_LEN)
            .await?;
        connection.consume(head_len + body_len);
        self.idle_connection = Some(connection).filter(|_| keep_alive);
        Ok(status)
    }
}

#[cfg(test)]
mod tests;
