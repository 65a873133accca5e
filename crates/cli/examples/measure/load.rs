//! Endpoints that count calls, and clients that submit messages.

use crate::Measured;
use marblefall_process_harness::http::Message;
use marblefall_process_harness::platform::PlatformMessage;
use marblefall_process_harness::server::{self, Reply};
use marblefall_process_harness::wait_for;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Pause of a client between a rejection and its next message.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// An endpoint that responds to every call at once, and counts the calls.
pub struct CountingEndpoint {
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl CountingEndpoint {
    /// Starts an endpoint on a free port.
    pub fn start() -> Measured<CountingEndpoint> {
        let calls = Arc::<AtomicUsize>::default();
        let counted = Arc::clone(&calls);
        let address = server::start("an endpoint's port", move |_: &Message| {
            counted.fetch_add(1, Ordering::Relaxed);
            Reply::ok()
        })?;
        Ok(CountingEndpoint { address, calls })
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Waits until the endpoint has received this many calls.
    pub fn wait_for_calls(&self, count: usize) -> Measured<()> {
        Ok(wait_for("all calls", || self.calls() >= count)?)
    }
}

/// A client's use of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// One connection for all messages.
    Kept,
    /// A new connection for each message.
    OnePerMessage,
}

/// A client that submits messages to an instance.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// The client's number, which is part of the ids of its messages.
    pub number: usize,
    /// The address at which the instance listens.
    pub address: SocketAddr,
    /// The number of the destination of the client's messages.
    pub destination: usize,
    /// The client's use of connections.
    pub connections: Connections,
}

impl Client {
    /// Submits messages one after the other until `is_finished` returns true for the number of the next message. Returns the
    /// number of accepted messages.
    pub fn run(&self, is_finished: impl Fn(usize) -> bool) -> Measured<usize> {
        let mut last: Option<BufReader<TcpStream>> = None;
        let mut accepted = 0;
        for number in 0.. {
            if is_finished(number) {
                break;
            }
            let reusable = last
                .take()
                .filter(|_| self.connections == Connections::Kept);
            let mut connection = match reusable {
                Some(connection) => connection,
                None => BufReader::new(TcpStream::connect(self.address)?),
            };
            let id = format!("{}-{}-{number}", self.number, self.destination);
            match submit(&mut connection, &id, self.destination)? {
                202 => accepted += 1,
                429 | 503 => thread::sleep(RETRY_PAUSE),
                status => return Err(format!("responded with {status}").into()),
            }
            last = Some(connection);
        }
        Ok(accepted)
    }
}

fn submit(connection: &mut BufReader<TcpStream>, id: &str, destination: usize) -> Measured<u16> {
    let message = PlatformMessage {
        id,
        class: "status",
        budget_ms: "20000",
        destination,
        idempotency_key: "",
        body: b"body",
    };
    connection
        .get_mut()
        .write_all(&message.to_request().to_bytes())?;
    let response = Message::read(connection).ok_or("the connection was closed")?;
    Ok(response.status())
}

/// Waits for a thread, and returns its result.
pub fn join<T>(thread: thread::JoinHandle<T>) -> Measured<T> {
    thread.join().map_err(|_| "a thread panicked".into())
}
