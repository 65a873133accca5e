//! The platform's protocol, as clients of an instance speak it.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::headers;
use crate::http::{ExchangeError, Message, Request};
use std::net::SocketAddr;
use std::time::Duration;

/// Where messages are submitted.
pub const SUBMIT_PATH: &str = "/api";
/// Where an instance reports whether it is ready.
pub const READY_PATH: &str = "/ready";
/// What an instance logs before the address at which it listens for clients of the platform.
pub const LISTENING_MARKER: &str = "listens at ";

/// Environment variable with the path of an instance's configuration.
pub const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable with the path of an instance's state folder.
pub const STATE_VARIABLE: &str = "RELAY_STATE";
/// Environment variable with the address of discovery.
pub const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// A message.
#[derive(Clone, Copy, Debug)]
pub struct PlatformMessage<'a> {
    /// Its id.
    pub id: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// How many milliseconds it may take, as the header has it.
    pub budget_ms: &'a str,
    /// The number of its destination.
    pub destination: usize,
    /// Its idempotency key; empty for none.
    pub idempotency_key: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl PlatformMessage<'_> {
    /// The request that submits it.
    pub fn to_request(&self) -> Request {
        Request::post(SUBMIT_PATH)
            .header(headers::CALL_ID, self.id)
            .header(headers::CALL_CLASS, self.class)
            .header(headers::BUDGET_MS, self.budget_ms)
            .header(headers::ENVELOPE, &format!("dest={}", self.destination))
            .optional_header(headers::IDEMPOTENCY_KEY, self.idempotency_key)
            .body(self.body)
    }

    /// Submits it, and returns the response.
    ///
    /// # Errors
    /// No response is received, or not within a timeout.
    pub fn submit(&self, address: SocketAddr, timeout: Duration) -> Result<Message, ExchangeError> {
        self.to_request().send(address, timeout)
    }
}

/// Whether an instance reports that it is ready.
pub fn is_ready(address: SocketAddr, timeout: Duration) -> bool {
    let response = Request::get(READY_PATH).send(address, timeout);
    response.is_ok_and(|response| response.status() == 200)
}

/// The configuration of an instance on the platform.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// The address of its discovery.
    pub discovery: SocketAddr,
    /// The seed of its random draws, as a hexadecimal number.
    pub seed: String,
    /// Memory that it may take, in megabytes.
    pub memory_mb: u32,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// The endpoints that it starts with.
    pub endpoints: Vec<ListedEndpoint>,
    /// Its settings as JSON.
    pub settings: String,
}

/// The revision of the endpoints in a configuration.
const CONFIGURED_REVISION: u64 = 41;

impl InstanceConfig {
    /// The text of the file that [`CONFIG_VARIABLE`] names.
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
