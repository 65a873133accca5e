//! Operators' requests, from the connection that they came on to the response on it.

use super::Driver;
use crate::group::transport::{LastLeader, LocalStatus, OperatorResponse};
use async_channel::Sender;
use marblefall_coordination::node::{LeaderContact, Reply, RequestNumber};
use std::time::{Duration, Instant};

/// A request to which no leader replies within this is answered without one.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// A request without a response.
pub(super) struct OpenRequest {
    pub(super) received_at: Instant,
    responses: Sender<OperatorResponse>,
}

impl Driver {
    /// Numbers a request.
    pub(super) fn open_request(&mut self, responses: Sender<OperatorResponse>) -> RequestNumber {
        self.last_request = RequestNumber(self.last_request.0 + 1);
        let request = OpenRequest {
            received_at: Instant::now(),
            responses,
        };
        self.open_requests.insert(self.last_request, request);
        self.last_request
    }

    /// Responds to a request, unless that was done already.
    pub(super) fn respond(&mut self, number: RequestNumber, reply: Option<Reply>) {
        let Some(request) = self.open_requests.remove(&number) else {
            return;
        };
        let response = OperatorResponse {
            local: self.local_status(),
            reply,
        };
        // Fails where the operator has gone away.
        let _ = request.responses.try_send(response);
    }

    /// Responds to requests to which no leader has replied in time.
    pub(super) fn expire_requests(&mut self) {
        let expired: Vec<RequestNumber> = self
            .open_requests
            .iter()
            .filter(|(_, request)| request.received_at.elapsed() >= RESPONSE_TIMEOUT)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
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
            heard_ms_ago: elapsed.0.max(0) as u64 / 1000,
        })
    }
}
