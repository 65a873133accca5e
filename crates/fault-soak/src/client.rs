//! The clients of a process: correct clients, whose requests the oracle checks, and misbehaving clients.

mod flood;
mod keep_alive;

use crate::endpoint::{DESTINATIONS, LARGE_BODY};
use crate::plan::{ClientFault, PlannedFaultKind, RepeatFault, CROWD_CONNECTIONS};
use crate::process::ShutdownWindow;
use crate::record::{self, Class, ClientResult, SharedRecord};
use crate::schedule::Schedule;
use keep_alive::is_open;
use marblefall_process_harness::http::{is_timeout, Request};
use marblefall_process_harness::platform::{PlatformMessage, READY_PATH, SUBMIT_PATH};
use marblefall_process_harness::{headers, monotonic_micros, uninterrupted, Micros, MILLISECOND};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Response timeout of a client. It exceeds the longest budget plus the half second that a process may add.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(3600);
/// Time to live of messages, in milliseconds.
const BUDGET_MS: Range<i64> = 1500..3000;
/// Pauses of a client between two requests, in milliseconds.
const PAUSE_MS: Range<u64> = 40..400;
/// Pauses of a client between two requests of a burst, in milliseconds.
const BURST_PAUSE_MS: Range<u64> = 2..12;
/// Lengths of bodies, in bytes.
const BODY_BYTES: Range<usize> = 0..400;
/// Probability that a client keeps a connection open after a response.
const REUSE_PROBABILITY: f64 = 0.8;
/// Probability that a request is sent in two parts.
const SPLIT_PROBABILITY: f64 = 0.2;
/// Pauses between the two parts of a request, in milliseconds.
const SPLIT_PAUSE_MS: Range<u64> = 1..30;
/// Maximum time until the reset of a closed connection arrives over loopback.
const MAX_RESET_DELAY: Duration = Duration::from_millis(5);
/// Maximum number of connections that misbehaving clients keep open, except for idle connections.
const MAX_OPEN_CONNECTIONS: usize = 60;
/// Number of idle connections of misbehaving clients, which exceeds the connection limit of a process.
const IDLE_CONNECTIONS: usize = 120;
/// Pause between two misbehaving connections.
const MISBEHAVIOUR_PAUSE: Duration = Duration::from_millis(15);
/// Interval at which clients check for active faults and shutdowns.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a write to a process that reads no more may block.
const PARTIAL_WRITE_TIMEOUT: Duration = Duration::from_millis(10);
/// Number of short fields in a head, just below the maximum length of a head.
const SHORT_FIELDS: usize = 3000;
/// Bytes that a client sends under [`ClientFault::Garbage`].
const GARBAGE: [u8; 3000] = [0xff; 3000];

/// The clients of one process.
#[derive(Clone)]
pub struct Clients {
    /// Number of the process.
    pub process: usize,
    /// Count of all processes.
    pub processes: usize,
    /// Address at which the process listens.
    pub address: SocketAddr,
    /// Schedule of the faults.
    pub schedule: Schedule,
    /// Record that receives the requests.
    pub record: SharedRecord,
    /// Set when the clients are to stop.
    pub stop: Arc<AtomicBool>,
    /// Shutdown window of the process.
    pub shutdown: ShutdownWindow,
}

impl Clients {
    /// Runs a correct client until it is stopped. `number` is unique among the clients of the process.
    pub fn run_correct(&self, number: u64) {
        let mut rng = self.client_rng(number);
        let mut reusable_connection: Option<TcpStream> = None;
        let mut count = 0;
        while !self.stop.load(Ordering::SeqCst) {
            let pauses_ms = match self.burst_destination() {
                Some(_) => BURST_PAUSE_MS,
                None => PAUSE_MS,
            };
            thread::sleep(Duration::from_millis(rng.random_range(pauses_ms)));
            count += 1;
            let id = format!("{}-{number}-{count}", self.process);
            let stream = match reusable_connection.take() {
                Some(stream) => stream,
                None => match TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT) {
                    Ok(stream) => stream,
                    // The process refuses connections while it restarts.
                    Err(_) => continue,
                },
            };
            let is_reused = rng.random_bool(REUSE_PROBABILITY);
            // If the connection breaks before the whole request was sent, there is no request to check.
            let submitted = self.submit(stream, &id, &mut rng).ok().flatten();
            reusable_connection = submitted.filter(|_| is_reused);
        }
    }

    /// Returns the random generator of a client.
    fn client_rng(&self, number: u64) -> Pcg64Mcg {
        let seed = self.schedule.plan().seed;
        Pcg64Mcg::new(u128::from(seed << 16 | number) << 8 | self.process as u128)
    }

    /// Sends one message, waits for its response, and records the request. Returns the connection if it can be reused.
    fn submit(
        &self,
        mut stream: TcpStream,
        id: &str,
        rng: &mut Pcg64Mcg,
    ) -> io::Result<Option<TcpStream>> {
        let class = Class::ALL[rng.random_range(0..Class::ALL.len())];
        let drawn_destination = rng.random_range(0..DESTINATIONS);
        let destination = self.burst_destination().unwrap_or(drawn_destination);
        let budget_ms = rng.random_range(BUDGET_MS);
        let body_len = rng.random_range(BODY_BYTES);
        let bytes = request_bytes(id, class, destination, budget_ms, body_len);
        let started_at = monotonic_micros();
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        send(&mut stream, &bytes, rng)?;
        let sent_at = monotonic_micros();
        let received = receive(&mut stream);
        self.record.lock().requests.push(record::Request {
            id: id.to_owned(),
            process: self.process,
            class,
            destination,
            sent_at,
            expires_at: started_at + budget_ms as Micros * MILLISECOND,
            result: received.result,
            ended_at: received.ended_at,
        });
        if let Some(delay) = self.copy_delay().filter(|_| received.is_reusable) {
            thread::sleep(delay);
            // Fails if the process has closed the connection.
            let _ = stream.write_all(&bytes);
            self.record.lock().copies += 1;
        }
        Ok(received.is_reusable.then_some(stream))
    }

    /// Returns the delay of copies if requests are written twice.
    fn copy_delay(&self) -> Option<Duration> {
        self.schedule.active(|fault| {
            let is_active = fault.kind == PlannedFaultKind::Repeat(RepeatFault::Requests)
                && fault.is_for(self.process, self.processes);
            is_active.then(|| fault.delay())
        })
    }

    /// Returns the destination of a burst, if there is one.
    fn burst_destination(&self) -> Option<usize> {
        self.schedule.active(|fault| {
            let is_active = fault.kind == PlannedFaultKind::Clients(ClientFault::Burst)
                && fault.is_for(self.process, self.processes);
            is_active.then(|| fault.target / self.processes % DESTINATIONS)
        })
    }

    fn active_fault(&self) -> Option<ClientFault> {
        self.schedule.active(|fault| match fault.kind {
            PlannedFaultKind::Clients(ClientFault::Burst | ClientFault::Flood) => None,
            PlannedFaultKind::Clients(kind) if fault.is_for(self.process, self.processes) => {
                Some(kind)
            }
            _ => None,
        })
    }

    /// Runs clients that misbehave while a client fault is active, until they are stopped.
    pub fn run_misbehaving(&self) {
        let mut open: Vec<TcpStream> = Vec::new();
        let mut count = 0;
        while !self.stop.load(Ordering::SeqCst) {
            let Some(fault) = self.active_fault() else {
                open.clear();
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            count += 1;
            if fault == ClientFault::IdleConnections && open.len() >= IDLE_CONNECTIONS {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if fault.is_crowd() && open.len() >= CROWD_CONNECTIONS {
                thread::sleep(POLL_INTERVAL);
                // The process closes connections that it has no place for, and others take their places.
                open.retain(is_open);
                continue;
            }
            if fault != ClientFault::IdleConnections
                && !fault.is_crowd()
                && open.len() > MAX_OPEN_CONNECTIONS
            {
                open.clear();
            }
            // The process may treat these connections in any way, so errors are ignored.
            if let Ok(stream) = self.misbehave(fault, count) {
                open.extend(stream);
            }
            if !fault.is_crowd() {
                thread::sleep(MISBEHAVIOUR_PAUSE);
            }
        }
    }

    /// Opens a connection and misbehaves on it. Returns the connection if it stays open.
    fn misbehave(&self, fault: ClientFault, count: u64) -> io::Result<Option<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT)?;
        match fault {
            ClientFault::SilentConnections | ClientFault::Burst | ClientFault::Flood => {
                Ok(Some(stream))
            }
            ClientFault::LargeHalfRequests => {
                let request = request_bytes("half", Class::Idempotent, 0, 2000, LARGE_BODY);
                write_in_part(stream, &request)
            }
            ClientFault::ManyFields => {
                let fields = "a:b\r\n".repeat(SHORT_FIELDS);
                let head = format!("POST {SUBMIT_PATH} HTTP/1.1\r\n{fields}\r\n");
                write_in_part(stream, head.as_bytes())
            }
            ClientFault::IdleConnections => {
                stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
                stream.write_all(&Request::get(READY_PATH).to_bytes())?;
                receive(&mut stream);
                Ok(Some(stream))
            }
            ClientFault::HalfRequests => {
                let length = headers::CONTENT_LENGTH;
                let half = format!("POST {SUBMIT_PATH} HTTP/1.1\r\n{length}: 50\r\n\r\nhalf");
                stream.write_all(half.as_bytes())?;
                Ok(Some(stream))
            }
            ClientFault::Garbage => {
                stream.write_all(&GARBAGE)?;
                Ok(None)
            }
            ClientFault::LeaveEarly => {
                let id = format!("left-{}-{count}", self.process);
                stream.write_all(&request_bytes(&id, Class::Idempotent, 0, 2000, 10))?;
                thread::sleep(Duration::from_millis(count % 4));
                Ok(None)
            }
        }
    }
}

/// Writes a request but for its last byte, as far as the process reads it.
fn write_in_part(mut stream: TcpStream, request: &[u8]) -> io::Result<Option<TcpStream>> {
    stream.set_write_timeout(Some(PARTIAL_WRITE_TIMEOUT))?;
    let _ = stream.write_all(&request[..request.len() - 1]);
    Ok(Some(stream))
}

fn request_bytes(
    id: &str,
    class: Class,
    destination: usize,
    budget_ms: i64,
    body_len: usize,
) -> Vec<u8> {
    let message = PlatformMessage {
        id,
        class: class.name(),
        budget_ms: &budget_ms.to_string(),
        destination,
        idempotency_key: &format!("key-{id}"),
        body: &vec![b'x'; body_len],
    };
    message.to_request().to_bytes()
}

/// Sends a request, sometimes in two parts, as a network may split it.
fn send(stream: &mut TcpStream, bytes: &[u8], rng: &mut Pcg64Mcg) -> io::Result<()> {
    if !rng.random_bool(SPLIT_PROBABILITY) {
        return stream.write_all(bytes);
    }
    let cut = rng.random_range(1..bytes.len());
    stream.write_all(&bytes[..cut])?;
    thread::sleep(Duration::from_millis(rng.random_range(SPLIT_PAUSE_MS)));
    stream.write_all(&bytes[cut..])
}

/// Result of waiting for a response.
struct Received {
    result: ClientResult,
    ended_at: Micros,
    /// Whether the connection can be reused.
    is_reusable: bool,
}

fn receive(stream: &mut TcpStream) -> Received {
    let mut response = Vec::new();
    let mut buffer = [0; 2048];
    loop {
        let read = uninterrupted(|| stream.read(&mut buffer));
        let ended_at = monotonic_micros();
        let without_response = |result| Received {
            result,
            ended_at,
            is_reusable: false,
        };
        match read {
            Ok(0) if response.is_empty() => return without_response(closed_or_reset(stream)),
            Err(error) if response.is_empty() && is_timeout(&error) => {
                return without_response(ClientResult::TimedOut)
            }
            Err(_) if response.is_empty() => return without_response(ClientResult::Reset),
            Ok(0) | Err(_) => return without_response(ClientResult::Closed),
            Ok(len) => response.extend_from_slice(&buffer[..len]),
        }
        let text = String::from_utf8_lossy(&response);
        if text.contains("\r\n\r\n") {
            let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
            return Received {
                result: ClientResult::Response(status.unwrap_or(0)),
                ended_at,
                is_reusable: !text.contains("Connection: close"),
            };
        }
    }
}

/// Determines how a connection without a response ended. If the process closed the connection before the request arrived,
/// the request triggers a reset: nothing of it was read, and the client may send it again. If the process closed the
/// connection after it had read the request, there is no reset.
fn closed_or_reset(stream: &TcpStream) -> ClientResult {
    thread::sleep(MAX_RESET_DELAY);
    match stream.take_error() {
        Ok(None) => ClientResult::Closed,
        Ok(Some(_)) | Err(_) => ClientResult::Reset,
    }
}
