//! Clients that submit events one after the other, follow the responses, and record them.

use crate::cloud_events::CloudEvent;
use crate::Workers;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// How long a client waits for the outcome of an event.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Submissions of one event, at most.
const MAX_SUBMISSIONS: usize = 150;
/// Delay after which an event without a final outcome is submitted again, whatever `Retry-After` says.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The status of a submission without a response.
pub const NO_RESPONSE: u16 = 0;
/// The destinations that events are for in turn.
const DESTINATIONS: [&str; 2] = ["a", "b"];

/// One submission of an event, and the response to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The event's id.
    pub id: String,
    /// The number of the member that it was submitted to.
    pub member: usize,
    /// The status of the response, or [`NO_RESPONSE`].
    pub status: u16,
}

impl Submission {
    /// Whether the response is final: the event needs no other submission.
    pub fn is_final(&self) -> bool {
        !matches!(self.status, NO_RESPONSE | 429 | 503)
    }
}

/// The load of a run.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// Where members accept events.
    pub addresses: Vec<SocketAddr>,
    /// How many clients run. They are spread over the members.
    pub clients: usize,
    /// Pause of a client between two events.
    pub pause: Duration,
    /// Part of all event ids, so that they differ between runs.
    pub run: u64,
}

/// Running clients.
pub struct Clients(Workers<Vec<Submission>>);

impl Clients {
    /// Starts clients.
    pub fn start(load: &ClientLoad) -> Clients {
        let new_client = |client: usize| {
            let load = load.clone();
            move |number: usize| load.submit_event(client, number)
        };
        Clients(Workers::start(load.clients, load.pause, new_client))
    }

    /// Stops them. Returns all submissions, those of one event in their order.
    ///
    /// # Panics
    /// If a client has panicked.
    pub fn stop(self) -> Vec<Submission> {
        self.0.stop().into_iter().flatten().collect()
    }
}

impl ClientLoad {
    /// Submits the next event of a client until a response is final.
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

/// Submits an event until a response is final: to the next member where it was rejected, and to the same one where it
/// may have been accepted.
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
