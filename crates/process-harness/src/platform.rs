//! The client side of the platform's protocol, and the configuration of instances on the platform.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::headers;
use crate::http::{ExchangeError, Message, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// The path at which messages are submitted.
pub const SUBMIT_PATH: &str = "/api";
/// The path at which an instance reports whether it is ready.
pub const READY_PATH: &str = "/ready";
/// The text in an instance's log that precedes the address at which it listens for clients of the platform.
pub const LISTENING_MARKER: &str = "listens at ";

/// Environment variable with the path of the configuration file of an instance.
pub const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable with the path of the state folder of an instance.
pub const STATE_VARIABLE: &str = "RELAY_STATE";
/// Environment variable with the address of discovery.
pub const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// A message to be submitted.
#[derive(Clone, Copy, Debug)]
pub struct PlatformMessage<'a> {
    /// The id of the message.
    pub id: &'a str,
    /// The name of the message's class.
    pub class: &'a str,
    /// Time to live in milliseconds, as the text of the header field.
    pub budget_ms: &'a str,
    /// The number of the destination.
    pub destination: usize,
    /// The idempotency key; empty if the message has none.
    pub idempotency_key: &'a str,
    /// The body of the message.
    pub body: &'a [u8],
}

impl PlatformMessage<'_> {
    /// Returns the request that submits the message.
    pub fn to_request(&self) -> Request {
        Request::post(SUBMIT_PATH)
            .header(headers::CALL_ID, self.id)
            .header(headers::CALL_CLASS, self.class)
            .header(headers::BUDGET_MS, self.budget_ms)
            .header(headers::ENVELOPE, &format!("dest={}", self.destination))
            .optional_header(headers::IDEMPOTENCY_KEY, self.idempotency_key)
            .body(self.body)
    }

    /// Submits the message and returns the response.
    ///
    /// # Errors
    /// A step of the exchange fails or exceeds `timeout`.
    pub fn submit(&self, address: SocketAddr, timeout: Duration) -> Result<Message, ExchangeError> {
        self.to_request().send(address, timeout)
    }
}

/// Returns whether an instance reports that it is ready.
pub fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    let response = Request::get(READY_PATH).send(address, timeout);
    response.is_ok_and(|response| response.status() == 200)
}

/// The configuration of an instance on the platform.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// The name of the instance.
    pub name: String,
    /// The address at which the instance listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the instance's random draws, as a hexadecimal number.
    pub seed: String,
    /// Memory limit in megabytes.
    pub memory_mb: u32,
    /// Maximum number of open descriptors.
    pub sockets: usize,
    /// The endpoints that the instance knows at its start.
    pub endpoints: Vec<ListedEndpoint>,
    /// The settings of the instance as JSON.
    pub settings: String,
}

/// The revision of the endpoint list in a configuration.
const CONFIGURED_REVISION: u64 = 41;

impl InstanceConfig {
    /// Returns the text of the configuration file, whose path is the value of [`CONFIG_VARIABLE`].
    pub fn to_json(&self) -> String {
        let known = EndpointList {
            revision: CONFIGURED_REVISION,
            is_complete: true,
            endpoints: self.endpoints.clone(),
        };
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{}",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{},"disk_mb":3}},
            "known":{},"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.seed,
            self.memory_mb,
            self.sockets,
            known.to_json(),
            self.settings,
        )
    }
}
