//! CloudEvents over HTTP in binary mode, as clients submit them.

use crate::headers;
use crate::http::{ExchangeError, Message, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// The path at which instances accept events, as configured in the manifests of the harness.
pub const EVENTS_PATH: &str = "/events";
/// The `source` attribute of all events.
const SOURCE: &str = "/clinic";

/// A CloudEvent to be submitted.
#[derive(Clone, Copy, Debug)]
pub struct CloudEvent<'a> {
    /// The `id` attribute.
    pub id: &'a str,
    /// The `type` attribute.
    pub event_type: &'a str,
    /// The name of the destination.
    pub destination: &'a str,
    /// The idempotency key; empty if the event has none.
    pub idempotency_key: &'a str,
    /// The event data, sent as the body.
    pub data: &'a [u8],
}

impl CloudEvent<'_> {
    /// Returns the request that submits the event.
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

    /// Submits the event and returns the response, which reports its outcome.
    ///
    /// # Errors
    /// A step of the exchange fails or exceeds `timeout`.
    pub fn submit(&self, address: SocketAddr, timeout: Duration) -> Result<Message, ExchangeError> {
        self.to_request().send(address, timeout)
    }
}
