//! A stand-in of the platform's discovery: it serves the endpoint list, watches of it, and notices.

use crate::http::{start_chunked_response, write_chunk, Message};
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
    /// It takes calls.
    #[serde(rename = "SERVING")]
    Serving,
    /// It takes no new calls.
    #[serde(rename = "DRAINING")]
    Draining,
    /// It has left the list.
    #[serde(rename = "DELETED")]
    Deleted,
}

/// An endpoint in the list.
#[derive(Clone, Debug, Serialize)]
pub struct ListedEndpoint {
    /// Its id.
    pub id: String,
    /// Its address.
    #[serde(rename = "host_port")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "locality")]
    pub zone: &'static str,
    /// Its kind.
    #[serde(rename = "flavor")]
    pub kind: &'static str,
    /// The number of its destination.
    #[serde(rename = "cell")]
    pub destination: usize,
    /// Its state.
    pub phase: EndpointPhase,
    /// Calls per second that its destination takes.
    #[serde(rename = "size")]
    pub rate: f64,
    /// When it was started, in milliseconds of Unix time.
    #[serde(rename = "up_since_ms")]
    pub started_at_ms: i64,
}

impl ListedEndpoint {
    /// An endpoint in the one zone and of the one kind that the settings of the harness have.
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

    /// The same in another state.
    #[must_use]
    pub fn in_phase(self, phase: EndpointPhase) -> ListedEndpoint {
        ListedEndpoint { phase, ..self }
    }
}

/// The endpoint list, or a change of it.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointList {
    /// Its revision.
    pub revision: u64,
    /// Whether it holds all endpoints, and not only those that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// The endpoints.
    #[serde(rename = "members")]
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// Its text on the wire, without a line end.
    pub fn to_json(&self) -> String {
        // A structure of strings and numbers always has a text.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A watch of the endpoint list.
pub struct Watch<'a> {
    stream: &'a mut TcpStream,
}

impl Watch<'_> {
    /// Sends lines, each with its end.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn send(&mut self, lines: &[u8]) -> io::Result<()> {
        write_chunk(self.stream, lines)
    }

    /// Sends a list or a change of it.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn send_list(&mut self, list: &EndpointList) -> io::Result<()> {
        self.send(format!("{}\n", list.to_json()).as_bytes())
    }

    /// Sends an empty line, which says that nothing has changed.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn send_heartbeat(&mut self) -> io::Result<()> {
        self.send(b"\n")
    }
}

/// What discovery serves.
pub trait DiscoverySource: Send + Sync + 'static {
    /// The complete list as text; `None` to close the connection without a response.
    fn complete_list(&self) -> Option<String>;

    /// Waits until a watch may begin.
    fn wait_for_watch(&self) {}

    /// Serves a watch until it ends.
    ///
    /// # Errors
    /// The connection is broken.
    fn watch(&self, watch: &mut Watch) -> io::Result<()>;

    /// Receives notices, one a line. Returns whether they are acknowledged; otherwise the connection is closed.
    fn receive_notices(&self, notices: &str) -> bool;
}

/// A running discovery.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Its server, which records all requests.
    pub server: TestServer,
}

impl Discovery {
    /// Starts it on a free port.
    ///
    /// # Errors
    /// No port is free.
    pub fn start(source: Arc<impl DiscoverySource>) -> Result<Discovery, HarnessError> {
        let server = TestServer::start(move |request: &Message| route(request, &source))?;
        Ok(Discovery { server })
    }

    /// Where it listens.
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
            if source.receive_notices(&String::from_utf8_lossy(&request.body)) {
                Reply::status(204)
            } else {
                Reply::Close
            }
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
