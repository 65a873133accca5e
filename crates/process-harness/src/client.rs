//! Clients that submit events one after another, retry each until a response is final, and record every submission.

use crate::cloud_events::CloudEvent;
use crate::Workers;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Maximum time that a client waits for the response to a submission.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of submissions of one event.
const MAX_SUBMISSIONS: usize = 150;
/// Delay after which an event without a final outcome is submitted again, whatever `Retry-After` says.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The status recorded for a submission that got no response.
pub const NO_RESPONSE: u16 = 0;
/// The names of the destinations; the events of a client alternate between them.
const DESTINATIONS: [&str; 2] = ["a", "b"];

/// One submission of an event and the status of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id of the event.
    pub id: String,
    /// The number of the group member that received the submission.
    pub member: usize,
    /// The HTTP status of the response, or [`NO_RESPONSE`].
    pub status: u16,
}

impl Submission {
    /// Returns whether the response is final, which means that the event is not submitted again.
    pub fn is_final(&self) -> bool {
        !matches!(self.status, NO_RESPONSE | 429 | 503)
    }
}

/// The load that the clients of a run generate.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// The addresses at which the members accept events, by member number.
    pub addresses: Vec<SocketAddr>,
    /// Number of clients. They are distributed evenly over the members.
    pub clients: usize,
    /// Time that a client pauses after each event.
    pub pause: Duration,
    /// A number that is part of all event ids, which makes them unique across runs.
    pub run: u64,
}

/// A set of running clients.
pub struct Clients(Workers<Vec<Submission>>);

impl Clients {
    /// Starts the clients of a load.
    pub fn start(load: &ClientLoad) -> Clients {
        let new_client = |client: usize| {
            let load = load.clone();
            move |number: usize| load.submit_event(client, number)
        };
        Clients(Workers::start(load.clients, load.pause, new_client))
    }

    /// Stops the clients and returns all submissions; those of the same event are in the order in which they were made.
    ///
    /// # Panics
    /// Panics if a client has panicked.
    pub fn stop(self) -> Vec<Submission> {
        self.0.stop().into_iter().flatten().collect()
    }
}

impl ClientLoad {
    /// Submits event number `number` of a client until a response is final or [`MAX_SUBMISSIONS`] is reached.
    fn submit_event(&self, client: usize, number: usize) -> Vec<Submission> {
        let id = format!("e{}-{client}-{number}", self.run);
        let event = CloudEvent {
            id: &id,
            event_type: "order",
            destination: DESTINATIONS[number % DESTINATIONS.len()],
            idempotency_key: &id,
            data: b"{}",
        };
        submit_until_final(&event, client, &self.addresses)
    }
}

/// Submits an event until a response is final or [`MAX_SUBMISSIONS`] is reached. After a rejection the next submission
/// goes to the next member. Without a response it goes to the same member, which may have accepted the event.
fn submit_until_final(
    event: &CloudEvent,
    first_member: usize,
    addresses: &[SocketAddr],
) -> Vec<Submission> {
    let mut submissions = Vec::new();
    let mut member = first_member % addresses.len();
    for _ in 0..MAX_SUBMISSIONS {
        let response = event.submit(addresses[member], RESPONSE_TIMEOUT);
        let submission = Submission {
            id: event.id.to_owned(),
            member,
            status: response.map_or(NO_RESPONSE, |response| response.status()),
        };
        let (is_final, status) = (submission.is_final(), submission.status);
        submissions.push(submission);
        if is_final {
            break;
        }
        if status != NO_RESPONSE {
            member = (member + 1) % addresses.len();
        }
        thread::sleep(RETRY_DELAY);
    }
    submissions
}
