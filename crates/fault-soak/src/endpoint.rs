//! The endpoints of destinations. They execute and record calls, and misbehave as the plan specifies.

use crate::plan::{EndpointFault, PlannedFaultKind, RepeatFault};
use crate::record::{Call, CallResult, SharedRecord};
use crate::schedule::Schedule;
use marblefall_process_harness::http::{is_timeout, response_bytes, Message};
use marblefall_process_harness::response_copies::{CopyLength, ResponseCopies};
use marblefall_process_harness::server::{self, Reply, RequestHandler};
use marblefall_process_harness::{headers, monotonic_micros, HarnessError, Micros, MILLISECOND};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Number of destinations in a run.
pub const DESTINATIONS: usize = 4;
/// Number of endpoints per destination.
pub const ENDPOINTS_PER_DESTINATION: usize = 2;
/// Number of endpoints in a run.
pub const ENDPOINTS: usize = DESTINATIONS * ENDPOINTS_PER_DESTINATION;
/// Length of the window in which calls are counted against the rate of the plan.
const RATE_WINDOW: Micros = 1000 * MILLISECOND;
/// Retry-After of a call above that rate, in milliseconds.
const RATE_RETRY_AFTER_MS: i64 = 300;
/// The shortest Retry-After of an endpoint fault, in milliseconds.
const MIN_RETRY_AFTER_MS: i64 = 200;
/// Length of a large body, in bytes.
pub const LARGE_BODY: usize = 64 * 1024;
/// Execution time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Execution time of a call at a slow endpoint.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(700);
/// Interval at which an endpoint checks whether its caller has closed the connection.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Interval at which an idle connection checks for active faults.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the destination that an endpoint belongs to.
pub fn destination_of(endpoint: usize) -> usize {
    endpoint / ENDPOINTS_PER_DESTINATION
}

/// State that all endpoints share.
#[derive(Clone)]
pub struct Destinations {
    schedule: Schedule,
    record: SharedRecord,
    /// Times of the calls that each destination accepted within the last [`RATE_WINDOW`].
    accepted_at: Arc<Mutex<Vec<Vec<Micros>>>>,
}

impl Destinations {
    /// Creates the destinations, which have accepted no calls yet.
    pub fn new(schedule: Schedule, record: SharedRecord) -> Destinations {
        Destinations {
            schedule,
            record,
            accepted_at: Arc::new(Mutex::new(vec![Vec::new(); DESTINATIONS])),
        }
    }

    /// Starts an endpoint and returns its address.
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

    /// Returns whether a destination accepts one more call now, and counts the call if so.
    fn accept_call(&self, destination: usize) -> bool {
        let now = monotonic_micros();
        let mut all = self
            .accepted_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let accepted_at = &mut all[destination];
        accepted_at.retain(|at| now - at < RATE_WINDOW);
        let is_accepted = (accepted_at.len() as f64) < self.schedule.plan().rate();
        if is_accepted {
            accepted_at.push(now);
        }
        is_accepted
    }
}

/// An endpoint of a destination.
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

/// Reason for which [`wait_while`] returned.
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

    /// Returns the active fault of the endpoint's destination and its amount.
    fn active_fault(&self) -> Option<(EndpointFault, i64)> {
        self.destinations.schedule.active(|fault| match fault.kind {
            PlannedFaultKind::Endpoint(kind) if fault.is_for(self.destination(), DESTINATIONS) => {
                Some((kind, fault.amount))
            }
            _ => None,
        })
    }

    /// Executes a call that was read completely, and responds unless a fault prevents it.
    fn execute(&self, stream: &mut TcpStream) -> CallResult {
        match self.active_fault() {
            Some((EndpointFault::Hang, _)) => {
                wait_while(stream, || self.is_fault_active(EndpointFault::Hang));
                CallResult::Broken
            }
            Some((EndpointFault::Down, _)) => CallResult::Broken,
            Some((EndpointFault::InternalError, _)) => self.respond(stream, 500, None),
            Some((EndpointFault::RejectAll, _)) => self.respond(stream, 503, None),
            Some((EndpointFault::RetryAfter, amount_ms)) => {
                self.respond(stream, 429, Some(amount_ms.max(MIN_RETRY_AFTER_MS)))
            }
            Some((EndpointFault::Slow, _)) => self.serve(stream, SLOW_SERVICE_TIME),
            Some((EndpointFault::HalfBody, _))
                if self.destinations.accept_call(self.destination()) =>
            {
                self.respond_in_part(stream)
            }
            Some((EndpointFault::HalfBody, _)) => {
                self.respond(stream, 429, Some(RATE_RETRY_AFTER_MS))
            }
            None if !self.destinations.accept_call(self.destination()) => {
                self.respond(stream, 429, Some(RATE_RETRY_AFTER_MS))
            }
            None => self.serve(stream, SERVICE_TIME),
        }
    }

    fn serve(&self, stream: &mut TcpStream, service_time: Duration) -> CallResult {
        let until = monotonic_micros() + service_time.as_micros() as Micros;
        match wait_while(stream, || monotonic_micros() < until) {
            WaitResult::ConditionEnded => self.respond(stream, 200, None),
            WaitResult::CallerGone => CallResult::Broken,
        }
    }

    fn respond(
        &self,
        stream: &mut TcpStream,
        status: u16,
        retry_after_ms: Option<i64>,
    ) -> CallResult {
        let header_line = retry_after_ms.map_or_else(String::new, |ms| {
            format!("{}: {:.3}\r\n", headers::RETRY_AFTER, ms as f64 / 1000.0)
        });
        let response = response_bytes(status, &header_line, b"");
        let written = match self.copies() {
            Some(copies) => {
                self.destinations.record.lock().copies += 1;
                copies.write(stream, &response)
            }
            None => stream.write_all(&response),
        };
        match written {
            Ok(()) => CallResult::Response {
                status,
                retry_after_ms,
            },
            Err(_) => CallResult::Broken,
        }
    }

    /// Writes a response whose large body stops half way, and waits until the caller closes the connection.
    fn respond_in_part(&self, stream: &mut TcpStream) -> CallResult {
        let response = response_bytes(200, "", &[b'x'; LARGE_BODY]);
        let written = stream.write_all(&response[..response.len() - 1]);
        if written.is_err() {
            return CallResult::Broken;
        }
        wait_while(stream, || self.is_fault_active(EndpointFault::HalfBody));
        CallResult::Response {
            status: 200,
            retry_after_ms: None,
        }
    }

    /// Returns the copies of responses that the destination's endpoints write now.
    fn copies(&self) -> Option<ResponseCopies> {
        self.destinations.schedule.active(|fault| {
            let length = match fault.kind {
                PlannedFaultKind::Repeat(RepeatFault::Responses) => CopyLength::Complete,
                PlannedFaultKind::Repeat(RepeatFault::ResponseHalves) => CopyLength::Half,
                _ => return None,
            };
            fault
                .is_for(self.destination(), DESTINATIONS)
                .then(|| ResponseCopies {
                    length,
                    ..ResponseCopies::one_after(fault.delay())
                })
        })
    }
}

/// Waits until a condition no longer holds or the caller has closed the connection.
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
