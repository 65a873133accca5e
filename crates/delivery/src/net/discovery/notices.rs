//! Delivery of notices of final outcomes to the platform. Each notice is sent again until it is acknowledged.
//!
//! Each request has a connection of its own. On a reused one, a copy of an earlier acknowledgement would be taken for that
//! of a request which discovery has not received. The connection is opened before there are notices, as they are due soon.

use super::{next_backoff, DiscoveryEndpoint, MAX_HEAD_LEN, MIN_BACKOFF, NOTICES_PATH};
use crate::core::engine::EngineEvent;
use crate::core::{FinalOutcome, MessageId};
use crate::log_line;
use crate::net::connection::{with_deadline, Connection, ReadError};
use crate::net::http::{self, header, status, HeadWriter};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time-out of the first response. Discovery responds at once, so a connection without a response is likely to be
/// broken. Notices are idempotent: sending a notice again early is harmless, while a notice that arrives late counts as
/// lost.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum response time-out. The time-out doubles with each missing response up to this value.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of notices in one request.
const MAX_BATCH_LEN: usize = 200;

/// A notice that awaits delivery.
#[derive(Debug)]
pub struct PendingNotice {
    /// The id of the message in the engine.
    pub message_id: MessageId,
    /// The message's identity, which the client has chosen.
    pub identity: Vec<u8>,
    /// The final outcome of the message.
    pub outcome: FinalOutcome,
}

/// A function that encodes a message's identity and final outcome as a notice of one line.
pub type EncodeNotice = fn(&[u8], FinalOutcome) -> String;

/// Delivers the notices of the `pending` queue until the queue is closed. Sends an event to the engine for each notice
/// that is acknowledged.
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
            None => {
                sender.unused_connection = None;
                sender.reset();
            }
        }
    }
}

/// The result of sending a batch.
enum BatchResult {
    Acknowledged,
    /// The batch must be sent again. The backoff has already passed.
    NotAcknowledged,
    /// The queue of notices is closed.
    QueueClosed,
}

/// A notice in the encoding in which it is sent.
struct EncodedNotice {
    message_id: MessageId,
    line: String,
}

/// Sends one batch of notices at a time.
struct NoticeSender {
    /// A connection that has carried no request yet.
    unused_connection: Option<Connection>,
    /// The delay after the next failure.
    backoff: Duration,
    response_timeout: Duration,
    /// The notices that are sent and not acknowledged yet.
    batch: Vec<EncodedNotice>,
    pending: Receiver<PendingNotice>,
    encode: EncodeNotice,
}

impl NoticeSender {
    fn new(pending: Receiver<PendingNotice>, encode: EncodeNotice) -> NoticeSender {
        NoticeSender {
            unused_connection: None,
            backoff: MIN_BACKOFF,
            response_timeout: MIN_RESPONSE_TIMEOUT,
            batch: Vec::new(),
            pending,
            encode,
        }
    }

    /// Sets the delays to their minimum, after an acknowledgement or for a new address of discovery.
    fn reset(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.response_timeout = MIN_RESPONSE_TIMEOUT;
    }

    /// Sends the unacknowledged notices and those that are queued, in one request. Waits for a notice if there is none.
    async fn send_batch(&mut self, address: SocketAddr) -> BatchResult {
        if self.fill_batch(address).await.is_err() {
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
                self.reset();
                return BatchResult::Acknowledged;
            }
            Some(Ok(status)) => status.to_string(),
            Some(Err(error)) => error.code().to_owned(),
            None => ReadError::TimedOut.code().to_owned(),
        };
        log_line!(
            code = %code,
            "discovery {address}: {} notices not taken",
            self.batch.len()
        );
        if posted.is_none() {
            // The time-out replaces the backoff.
            self.response_timeout = (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
        } else {
            Timer::after(self.backoff).await;
            self.backoff = next_backoff(self.backoff);
        }
        BatchResult::NotAcknowledged
    }

    /// Waits for a notice if the batch is empty, and adds queued notices up to [`MAX_BATCH_LEN`].
    async fn fill_batch(&mut self, address: SocketAddr) -> Result<(), async_channel::RecvError> {
        if self.batch.is_empty() {
            let pending = self.pending.clone();
            let notice = future::or(pending.recv(), self.open_connection(address)).await?;
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

    /// Opens the connection of the next request. Never returns.
    async fn open_connection<T>(&mut self, address: SocketAddr) -> T {
        if self.unused_connection.is_none() {
            // After an error, the next request opens its connection itself.
            self.unused_connection = Connection::connect_with_retry(address).await.ok();
        }
        future::pending().await
    }

    fn add(&mut self, notice: PendingNotice) {
        self.batch.push(EncodedNotice {
            message_id: notice.message_id,
            line: (self.encode)(&notice.identity, notice.outcome),
        });
    }

    /// Posts notices over a connection that has carried no request. Returns the status of the response.
    async fn post(&mut self, address: SocketAddr, body: &str) -> Result<u16, ReadError> {
        let unused = self.unused_connection.take();
        let mut connection = match unused.filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => Connection::connect_with_retry(address)
                .await
                .map_err(ReadError::Io)?,
        };
        let head = HeadWriter::request("POST", NOTICES_PATH)
            .field(header::HOST, address.to_string())
            .field(header::CONNECTION, "close")
            .field(header::CONTENT_LENGTH, body.len().to_string())
            .finish();
        connection
            .write(&head, body.as_bytes())
            .await
            .map_err(ReadError::Io)?;
        let head_len = connection.read_head(MAX_HEAD_LEN).await?;
        Ok(http::parse_response(&connection.bytes()[..head_len])?.status)
    }
}

#[cfg(test)]
mod tests;
