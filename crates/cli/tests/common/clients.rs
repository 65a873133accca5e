//! Clients of an instance on the platform, and checks of the outcomes of their messages.

use super::platform::{message_id, Platform, DESTINATION, KEYED_CLASS};
use super::{headers, wait_for, Message, TestServer};
use marblefall_process_harness::platform::PlatformMessage;
use marblefall_process_harness::Workers;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for which a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause of a client between two requests. It only sets the request rate; no check depends on it.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
/// A test needs more accepted messages than this to be meaningful.
const MIN_ACCEPTED: usize = 20;

/// The result of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// The message was accepted.
    Accepted,
    /// The message was rejected.
    Rejected,
    /// The request was written completely, and there was no response.
    NoResponse,
}

/// The results of messages by their ids.
pub type Submissions = BTreeMap<String, SubmissionResult>;

/// Clients that reuse their connections, each with one request at a time. Tests inject faults after given numbers of
/// submissions.
pub struct Clients(Workers<(String, SubmissionResult)>);

impl Clients {
    /// Starts clients.
    pub fn start(address: SocketAddr, count: usize) -> Clients {
        let new_client = |client: usize| {
            let mut reusable = None;
            move |number: usize| {
                let id = format!("c{client}-{number}");
                let result = submit_on(&mut reusable, address, &id);
                (id, result)
            }
        };
        Clients(Workers::start(count, CLIENT_PAUSE, new_client))
    }

    /// Waits until the clients have submitted this many more messages.
    pub fn wait_for_submissions(&self, more: usize) {
        self.0.wait_for_completions(more).unwrap();
    }

    /// Stops the clients, and returns the results of all messages.
    pub fn stop(self) -> Submissions {
        self.0.stop().into_iter().collect()
    }
}

/// Submits a message on the reusable connection, or on a new one. If the reusable connection was closed before the request
/// was read, the message is sent once more on a new connection, as the platform's clients do.
fn submit_on(
    reusable: &mut Option<BufReader<TcpStream>>,
    address: SocketAddr,
    id: &str,
) -> SubmissionResult {
    let message = PlatformMessage {
        id,
        class: KEYED_CLASS,
        budget_ms: "15000",
        destination: DESTINATION,
        idempotency_key: &format!("key-of-{id}"),
        body: b"two boxes",
    };
    let request = message.to_request().to_bytes();
    let submit_on_new = || {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        exchange_on(BufReader::new(stream), &request)
    };
    let exchanged = reusable
        .take()
        .and_then(|reader| exchange_on(reader, &request))
        .or_else(submit_on_new);
    let (result, exchanged_connection) = exchanged.unwrap_or((SubmissionResult::NoResponse, None));
    *reusable = exchanged_connection;
    result
}

/// Sends a request on a connection. Returns the result, and the connection if it can be reused. Returns `None` if the
/// connection ended before the request was read. A timeout counts as a result, [`SubmissionResult::NoResponse`].
fn exchange_on(
    mut reader: BufReader<TcpStream>,
    request: &[u8],
) -> Option<(SubmissionResult, Option<BufReader<TcpStream>>)> {
    reader.get_mut().write_all(request).ok()?;
    let first_read = reader.fill_buf().map(|_| ());
    if first_read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
        return Some((SubmissionResult::NoResponse, None));
    }
    let response = Message::read(&mut reader)?;
    let result = match response.status() {
        202 => SubmissionResult::Accepted,
        _ => SubmissionResult::Rejected,
    };
    let is_reusable = response.header(headers::CONNECTION) != Some("close");
    Some((result, is_reusable.then_some(reader)))
}

/// Returns how often each message was executed at the endpoint.
pub fn executions(calls: &[Message]) -> BTreeMap<String, usize> {
    let mut executions = BTreeMap::new();
    for call in calls {
        let id = message_id(call).unwrap().to_owned();
        *executions.entry(id).or_default() += 1;
    }
    executions
}

/// Checks that every accepted message is executed or has a notice.
pub fn check_outcomes(platform: &Platform, endpoint: &TestServer, submissions: &Submissions) {
    let accepted: Vec<&String> = submissions
        .iter()
        .filter(|(_, result)| **result == SubmissionResult::Accepted)
        .map(|(id, _)| id)
        .collect();
    assert!(
        accepted.len() > MIN_ACCEPTED,
        "too few messages were accepted: {}",
        accepted.len()
    );
    wait_for("an outcome of every message", || {
        let executions = executions(&endpoint.requests());
        let notices = platform.discovery.notices();
        accepted
            .iter()
            .all(|id| executions.contains_key(*id) || notices.contains(&format!("\"{id}\"")))
    });
}

/// Returns the number of requests without a response.
pub fn count_without_response(submissions: &Submissions) -> usize {
    submissions
        .values()
        .filter(|result| **result == SubmissionResult::NoResponse)
        .count()
}
