//! The endpoints of destinations: they execute calls, record each, and misbehave as the plan says.

use crate::plan::{EndpointFault, PlannedFaultKind};
use crate::record::{Call, CallResult, SharedRecord};
use crate::schedule::Schedule;
use marblefall_process_harness::http::{is_timeout, write_response, Message};
use marblefall_process_harness::server::{self, Reply, RequestHandler};
use marblefall_process_harness::{headers, monotonic_micros, HarnessError, Micros, MILLISECOND};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Destinations of a run.
pub const DESTINATIONS: usize = 4;
/// Endpoints of each destination.
pub const ENDPOINTS_PER_DESTINATION: usize = 2;
/// Endpoints of a run.
pub const ENDPOINTS: usize = DESTINATIONS * ENDPOINTS_PER_DESTINATION;
/// Calls per second that a destination takes from all processes together, as the endpoint list says.
pub const RATE: f64 = 30.0;
/// The span in which calls are counted against [`RATE`].
const RATE_WINDOW: Micros = 1000 * MILLISECOND;
/// Retry-After of a call above [`RATE`], in milliseconds.
const RATE_RETRY_AFTER_MS: i64 = 300;
/// The shortest Retry-After of an endpoint fault, in milliseconds.
const MIN_RETRY_AFTER_MS: i64 = 200;
/// How long a call takes.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// How long a call takes at a slow endpoint.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(700);
/// How often an endpoint checks whether its caller has closed the connection.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(3);
/// How often an idle connection looks at the plan.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the destination that an endpoint belongs to.
pub fn destination_of(endpoint: usize) -> usize {
    endpoint / ENDPOINTS_PER_DESTINATION
}

/// What all endpoints share.
#[derive(Clone)]
pub struct Destinations {
    schedule: Schedule,
    record: SharedRecord,
    /// For each destination, when it accepted its last calls.
    accepted_at: Arc<Mutex<Vec<Vec<Micros>>>>,
}

impl Destinations {
    /// Destinations that have accepted no calls.
    pub fn new(schedule: Schedule, record: SharedRecord) -> Destinations {
        Destinations {
            schedule,
            record,
            accepted_at: Arc::new(Mutex::new(vec![Vec::new(); DESTINATIONS])),
        }
    }

    /// Starts an endpoint, and returns where it listens.
    ///
    /// # Errors
    /// No port is free.
    pub fn start_endpoint(&self, number: usize) -> Result<SocketAddr, HarnessError> {
        let destinations = self.clone();
        server::start(
            "an endpoint's port",
            Endpoint {
                number,
                destinations,
            },
        )
    }

    /// Whether a destination accepts one more call now, which then is counted.
    fn accept_call(&self, destination: usize) -> bool {
        let now = monotonic_micros();
        let mut all = self
            .accepted_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let accepted_at = &mut all[destination];
        accepted_at.retain(|at| now - at < RATE_WINDOW);
        let is_accepted = (accepted_at.len() as f64) < RATE;
        if is_accepted {
            accepted_at.push(now);
        }
        is_accepted
    }
}

/// One endpoint.
#[derive(Clone)]
struct Endpoint {
    number: usize,
    destinations: Destinations,
}

impl RequestHandler for Endpoint {
    fn handle(&self, request: &Message) -> Reply {
        let last_byte_at = monotonic_micros();
        let reading = request.received_at.map(|at| at.elapsed());
        let first_byte_at = last_byte_at - reading.unwrap_or_default().as_micros() as Micros;
        let id = request.header(headers::CALL_ID).unwrap_or_default();
        let (endpoint, id) = (self.clone(), id.to_owned());
        Reply::Custom(Box::new(move |stream| {
            let result = endpoint.execute(stream);
            endpoint.destinations.record.lock().calls.push(Call {
                id,
                endpoint: endpoint.number,
                first_byte_at,
                last_byte_at,
                ended_at: monotonic_micros(),
                result,
            });
            match result {
                CallResult::Response { .. } => Ok(()),
                CallResult::Broken => Err(io::ErrorKind::ConnectionAborted.into()),
            }
        }))
    }

    fn poll_interval(&self) -> Option<Duration> {
        Some(IDLE_POLL_INTERVAL)
    }

    fn is_down(&self) -> bool {
        self.is_fault_active(EndpointFault::Down)
    }
}

/// How a wait beside an open connection ended.
enum WaitResult {
    ConditionEnded,
    CallerGone,
}

impl Endpoint {
    fn destination(&self) -> usize {
        destination_of(self.number)
    }

    fn is_fault_active(&self, fault: EndpointFault) -> bool {
        matches!(self.active_fault(), Some((active, _)) if active == fault)
    }

    /// The active fault of its destination, with its amount.
    fn active_fault(&self) -> Option<(EndpointFault, i64)> {
        self.destinations.schedule.active(|fault| match fault.kind {
            PlannedFaultKind::Endpoint(kind) if fault.is_for(self.destination(), DESTINATIONS) => {
                Some((kind, fault.amount))
            }
            _ => None,
        })
    }

    /// Executes a call that was read.
    fn execute(&self, stream: &mut TcpStream) -> CallResult {
        match self.active_fault() {
            Some((EndpointFault::Hang, _)) => {
                wait_while(stream, || self.is_fault_active(EndpointFault::Hang));
                CallResult::Broken
            }
            Some((EndpointFault::Down, _)) => CallResult::Broken,
            Some((EndpointFault::InternalError, _)) => respond(stream, 500, None),
            Some((EndpointFault::RejectAll, _)) => respond(stream, 503, None),
            Some((EndpointFault::RetryAfter, amount_ms)) => {
                respond(stream, 429, Some(amount_ms.max(MIN_RETRY_AFTER_MS)))
            }
            Some((EndpointFault::Slow, _)) => serve(stream, SLOW_SERVICE_TIME),
            None if !self.destinations.accept_call(self.destination()) => {
                respond(stream, 429, Some(RATE_RETRY_AFTER_MS))
            }
            None => serve(stream, SERVICE_TIME),
        }
    }
}

fn serve(stream: &mut TcpStream, service_time: Duration) -> CallResult {
    let until = monotonic_micros() + service_time.as_micros() as Micros;
    match wait_while(stream, || monotonic_micros() < until) {
        WaitResult::ConditionEnded => respond(stream, 200, None),
        WaitResult::CallerGone => CallResult::Broken,
    }
}

/// Waits while a condition holds, or until the caller has closed the connection.
fn wait_while(stream: &TcpStream, condition: impl Fn() -> bool) -> WaitResult {
    while condition() {
        if is_closed(stream) {
            return WaitResult::CallerGone;
        }
        thread::sleep(CALLER_POLL_INTERVAL);
    }
    WaitResult::ConditionEnded
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let is_closed = match stream.peek(&mut [0]) {
        Ok(len) => len == 0,
        Err(error) => !is_timeout(&error),
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

fn respond(stream: &mut TcpStream, status: u16, retry_after_ms: Option<i64>) -> CallResult {
    let header_line = retry_after_ms.map_or_else(String::new, |ms| {
        format!("{}: {:.3}\r\n", headers::RETRY_AFTER, ms as f64 / 1000.0)
    });
    match write_response(stream, status, &header_line, b"") {
        Ok(()) => CallResult::Response {
            status,
            retry_after_ms,
        },
        Err(_) => CallResult::Broken,
    }
}
