//! CloudEvents over HTTP, as clients submit them in binary mode.

use crate::headers;
use crate::http::{ExchangeError, Message, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// The path that the manifests of the harness give to events.
pub const EVENTS_PATH: &str = "/events";
/// The source of all events.
const SOURCE: &str = "/clinic";

/// An event.
#[derive(Clone, Copy, Debug)]
pub struct CloudEvent<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its type.
    pub event_type: &'a str,
    /// The name of its destination.
    pub destination: &'a str,
    /// Its idempotency key; empty for none.
    pub idempotency_key: &'a str,
    /// Its data.
    pub data: &'a [u8],
}

impl CloudEvent<'_> {
    /// The request that submits it.
    pub fn to_request(&self) -> Request {
        Request::post(EVENTS_PATH)
            .header(headers::EVENT_SPEC_VERSION, "1.0")
            .header(headers::EVENT_ID, self.id)
            .header(headers::EVENT_SOURCE, SOURCE)
            .header(headers::EVENT_TYPE, self.event_type)
            .header(headers::EVENT_DESTINATION, self.destination)
            .header(headers::CONTENT_TYPE, "application/json")
            .optional_header(headers::IDEMPOTENCY_KEY, self.idempotency_key)
            .body(self.data)
    }

    /// Submits it, and waits for its outcome.
    ///
    /// # Errors
    /// No response is received, or not within a timeout.
    pub fn submit(&self, address: SocketAddr, timeout: Duration) -> Result<Message, ExchangeError> {
        self.to_request().send(address, timeout)
    }
}
