//! A stand-in for the platform's discovery service: it serves the endpoint list and watches of it, and accepts notices.

use crate::http::{response_bytes, start_chunked_response, write_chunk, Message};
use crate::response_copies::ResponseCopies;
use crate::server::{Reply, TestServer};
use crate::HarnessError;
use serde::Serialize;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

const LIST_PATH: &str = "/v1/endpoints";
const NOTICE_PATH: &str = "/status";

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointPhase {
    /// The endpoint accepts calls.
    #[serde(rename = "SERVING")]
    Serving,
    /// The endpoint accepts no new calls.
    #[serde(rename = "DRAINING")]
    Draining,
    /// The endpoint has been removed from the list.
    #[serde(rename = "DELETED")]
    Deleted,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// The id of the endpoint.
    pub id: String,
    /// The address at which the endpoint accepts calls.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// The zone of the endpoint.
    #[serde(rename = "locality")]
    pub zone: &'static str,
    /// The kind of the endpoint.
    #[serde(rename = "flavor")]
    pub kind: &'static str,
    /// The number of the destination that the endpoint belongs to.
    #[serde(rename = "cell")]
    pub destination: usize,
    /// The state of the endpoint.
    pub phase: EndpointPhase,
    /// Maximum calls per second of the destination.
    #[serde(rename = "size")]
    pub rate: f64,
    /// Start time of the endpoint, in milliseconds of Unix time.
    #[serde(rename = "up_since_ms")]
    pub started_at_ms: i64,
}

impl ListedEndpoint {
    /// Creates a serving endpoint with the only zone and the only kind that the settings of the harness define.
    pub fn new(id: &str, address: SocketAddr, destination: usize, rate: f64) -> ListedEndpoint {
        ListedEndpoint {
            id: id.to_owned(),
            address,
            zone: "a",
            kind: "clinic",
            destination,
            phase: EndpointPhase::Serving,
            rate,
            started_at_ms: 0,
        }
    }

    /// Returns the endpoint with its state replaced.
    #[must_use]
    pub fn in_phase(self, phase: EndpointPhase) -> ListedEndpoint {
        ListedEndpoint { phase, ..self }
    }
}

/// The complete endpoint list, or a change to it.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointList {
    /// The revision of the list.
    pub revision: u64,
    /// Whether the list is complete. Otherwise it contains only the endpoints that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// The listed endpoints.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// Returns the list as it is sent, without a line end.
    pub fn to_json(&self) -> String {
        // The serialization of strings and numbers cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The server's side of a client's watch of the endpoint list.
pub struct Watch<'a> {
    stream: &'a mut TcpStream,
}

impl Watch<'_> {
    /// Sends complete lines, each with its line end.
    ///
    /// # Errors
    /// The write to the connection fails.
    pub fn send(&mut self, lines: &[u8]) -> io::Result<()> {
        write_chunk(self.stream, lines)
    }

    /// Sends a complete list or a change to it.
    ///
    /// # Errors
    /// The write to the connection fails.
    pub fn send_list(&mut self, list: &EndpointList) -> io::Result<()> {
        self.send(format!("{}\n", list.to_json()).as_bytes())
    }

    /// Sends an empty line, the heartbeat of a watch without changes.
    ///
    /// # Errors
    /// The write to the connection fails.
    pub fn send_heartbeat(&mut self) -> io::Result<()> {
        self.send(b"\n")
    }
}

/// The behaviour of a [`Discovery`], provided by a test.
pub trait DiscoverySource: Send + Sync + 'static {
    /// Returns the complete list as text, or `None` to close the connection without a response.
    fn complete_list(&self) -> Option<String>;

    /// Blocks until a watch may begin. Returns at once by default.
    fn wait_for_watch(&self) {}

    /// Serves a watch until it ends.
    ///
    /// # Errors
    /// A write to the connection fails.
    fn watch(&self, watch: &mut Watch) -> io::Result<()>;

    /// Receives notices, one per line. Returns `true` to acknowledge them, or `false` to close the connection.
    fn receive_notices(&self, notices: &str) -> bool;

    /// Returns the copies of an acknowledgement of notices. There are none by default.
    fn acknowledgement_copies(&self) -> Option<ResponseCopies> {
        None
    }
}

/// A running stand-in for discovery.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// The HTTP server, which records all requests.
    pub server: TestServer,
}

impl Discovery {
    /// Starts the server on a free port.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(source: Arc<impl DiscoverySource>) -> Result<Discovery, HarnessError> {
        let server = TestServer::start(move |request: &Message| route(request, &source))?;
        Ok(Discovery { server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }
}

fn route(request: &Message, source: &Arc<impl DiscoverySource>) -> Reply {
    let mut words = request.start_line.split(' ');
    let (method, target) = (words.next(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        (Some("GET"), LIST_PATH) if query.is_empty() => match source.complete_list() {
            Some(list) => Reply::Body(list),
            None => Reply::Close,
        },
        (Some("GET"), LIST_PATH) if query.starts_with("follow=1&since=") => {
            let source = Arc::clone(source);
            Reply::Custom(Box::new(move |stream| serve_watch(stream, &*source)))
        }
        (Some("POST"), NOTICE_PATH) => {
            if !source.receive_notices(&String::from_utf8_lossy(&request.body)) {
                return Reply::Close;
            }
            let Some(copies) = source.acknowledgement_copies() else {
                return Reply::status(204);
            };
            let acknowledgement = response_bytes(204, "", b"");
            Reply::Custom(Box::new(move |stream| {
                copies.write(stream, &acknowledgement)
            }))
        }
        _ => Reply::status(404),
    }
}

fn serve_watch(stream: &mut TcpStream, source: &impl DiscoverySource) -> io::Result<()> {
    source.wait_for_watch();
    start_chunked_response(stream)?;
    source.watch(&mut Watch { stream })
}

#[cfg(test)]
mod tests;
