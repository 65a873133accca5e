//! Operators' requests that wait for a response, and the responses to them.

use super::Driver;
use crate::group::transport::{LastLeader, LocalStatus, OperatorResponse};
use crate::group::MICROS_PER_MS;
use async_channel::Sender;
use marblefall_coordination::node::{LeaderContact, Reply, RequestNumber};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum wait for the leader's reply. After this time the response is sent without a reply.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests that no response was sent to yet.
#[derive(Default)]
pub(super) struct OpenRequests {
    requests: BTreeMap<RequestNumber, OpenRequest>,
    last_number: u64,
}

struct OpenRequest {
    expires_at: Instant,
    responses: Sender<OperatorResponse>,
}

impl OpenRequests {
    /// Adds a request and returns its number.
    pub fn open(&mut self, responses: Sender<OperatorResponse>) -> RequestNumber {
        self.last_number += 1;
        let number = RequestNumber(self.last_number);
        let request = OpenRequest {
            expires_at: Instant::now() + RESPONSE_TIMEOUT,
            responses,
        };
        self.requests.insert(number, request);
        number
    }

    /// Returns the time at which the next request expires; `None` if no request is open.
    pub fn next_expiry(&self) -> Option<Instant> {
        let requests = self.requests.values();
        requests.map(|request| request.expires_at).min()
    }

    fn expired(&self) -> Vec<RequestNumber> {
        let now = Instant::now();
        self.requests
            .iter()
            .filter(|(_, request)| request.expires_at <= now)
            .map(|(number, _)| *number)
            .collect()
    }
}

impl Driver {
    /// Sends the response to a request, unless a response was already sent.
    pub(super) fn respond(&mut self, number: RequestNumber, reply: Option<Reply>) {
        let Some(request) = self.open_requests.requests.remove(&number) else {
            return;
        };
        let response = OperatorResponse {
            local: self.local_status(),
            reply,
        };
        // Fails if the operator has closed the connection.
        let _ = request.responses.try_send(response);
    }

    /// Sends a response without a reply to each request whose reply from the leader did not arrive in time.
    pub(super) fn expire_requests(&mut self) {
        for number in self.open_requests.expired() {
            self.respond(number, None);
        }
    }

    fn local_status(&self) -> LocalStatus {
        let last_leader = self.node.last_leader();
        LocalStatus {
            member: self.membership.name.clone(),
            applied: self.node.applied().map(|revision| revision.0),
            lease_state: self.lease_state().to_owned(),
            last_leader: last_leader.and_then(|contact| self.describe_leader(contact)),
            voting: self.node.voting_status(),
        }
    }

    fn describe_leader(&self, contact: LeaderContact) -> Option<LastLeader> {
        let mut names = self.membership.group.members.keys();
        let elapsed = self.clock.now().monotonic - contact.received_at;
        Some(LastLeader {
            name: names.nth(contact.leader.0 as usize)?.clone(),
            contact_ms_ago: (elapsed.0.max(0) / MICROS_PER_MS) as u64,
        })
    }
}
