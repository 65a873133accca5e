//! The clients that wait for the response to one message.

use crate::core::RequestId;

/// The requests that wait for the response to one message.
#[derive(Debug, Default)]
pub(super) struct WaitingClients {
    /// The request that submitted the message to this incarnation, until its client disconnects.
    submitter: Option<RequestId>,
    /// The requests that repeat the message.
    repeats: Vec<RequestId>,
}

impl WaitingClients {
    /// Creates the clients of a message that `submitter` has submitted.
    pub(super) fn of_submitter(submitter: RequestId) -> WaitingClients {
        WaitingClients {
            submitter: Some(submitter),
            repeats: Vec::new(),
        }
    }

    /// Adds a request that repeats the message.
    pub(super) fn add_repeat(&mut self, request: RequestId) {
        self.repeats.push(request);
    }

    /// Removes a request. Returns whether it had submitted the message.
    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        self.repeats.retain(|other| *other != request);
        self.submitter.take_if(|other| *other == request).is_some()
    }

    /// Returns all requests, in the order in which they were received.
    pub(super) fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.submitter
            .into_iter()
            .chain(self.repeats.iter().copied())
    }

    /// Returns whether a request waits.
    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.requests().any(|other| other == request)
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.requests().next().is_none()
    }
}
