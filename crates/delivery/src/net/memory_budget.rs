//! The memory that the connections of an instance may use for messages that are being received.
//!
//! Each connection may buffer [`CONNECTION_ALLOWANCE`] bytes, which limits on connections account for. For a longer message
//! it needs a grant from the budget, which it gets for the whole message at once: a connection that has its grant never
//! waits for memory again, so messages that have been received furthest are completed first. Requests leave a reserve to
//! responses, as a response concerns a message that has been accepted.

use event_listener::{Event, IntoNotification};
use std::cell::Cell;
use std::rc::Rc;

/// Number of bytes that each connection may buffer without a grant.
pub const CONNECTION_ALLOWANCE: usize = 4 * 1024;

/// The kind of message that a connection receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedMessage {
    /// A client's request.
    Request,
    /// An endpoint's response.
    Response,
}

/// The memory that all connections of an instance share.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Maximum number of bytes that are granted at the same time.
    capacity: usize,
    /// The part of the capacity that is not granted for requests, in bytes.
    response_reserve: usize,
    granted: Cell<usize>,
    max_granted: Cell<usize>,
    /// Number of connections that wait for a grant.
    waiting: Cell<usize>,
    /// Notified when a grant is released.
    released: Event,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes, of which `response_reserve` are not granted for requests.
    pub fn new(capacity: usize, response_reserve: usize) -> MemoryBudget {
        MemoryBudget {
            capacity,
            response_reserve,
            granted: Cell::default(),
            max_granted: Cell::default(),
            waiting: Cell::default(),
            released: Event::new(),
        }
    }

    /// Returns a grant if the budget has the bytes.
    pub fn try_grant(
        self: &Rc<Self>,
        bytes: usize,
        received: ReceivedMessage,
    ) -> Option<MemoryGrant> {
        let granted = self.granted.get() + bytes;
        if granted > self.capacity_for(received) {
            return None;
        }
        self.granted.set(granted);
        self.max_granted.set(self.max_granted.get().max(granted));
        Some(MemoryGrant {
            budget: self.clone(),
            bytes,
        })
    }

    /// Waits until the budget has the bytes. Never returns if it never will.
    pub async fn grant(self: &Rc<Self>, bytes: usize, received: ReceivedMessage) -> MemoryGrant {
        let _waiting = Waiting::begin(&self.waiting);
        loop {
            let released = self.released.listen();
            if let Some(grant) = self.try_grant(bytes, received) {
                return grant;
            }
            released.await;
        }
    }

    fn capacity_for(&self, received: ReceivedMessage) -> usize {
        match received {
            ReceivedMessage::Request => self.capacity.saturating_sub(self.response_reserve),
            ReceivedMessage::Response => self.capacity,
        }
    }

    fn release(&self, bytes: usize) {
        self.granted.set(self.granted.get() - bytes);
        self.released.notify(usize::MAX.relaxed());
    }

    /// Returns the number of connections that wait for a grant.
    pub fn waiting(&self) -> usize {
        self.waiting.get()
    }

    /// Returns the number of granted bytes.
    pub fn granted(&self) -> usize {
        self.granted.get()
    }

    /// Returns the maximum number of bytes that were granted at the same time.
    pub fn max_granted(&self) -> usize {
        self.max_granted.get()
    }
}

/// Counts a connection that waits for a grant.
struct Waiting<'a>(&'a Cell<usize>);

impl Waiting<'_> {
    fn begin(waiting: &Cell<usize>) -> Waiting<'_> {
        waiting.set(waiting.get() + 1);
        Waiting(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Bytes of a budget, which return to it when the grant is dropped.
#[derive(Debug)]
pub struct MemoryGrant {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryGrant {
    /// Returns the number of granted bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of another grant of the same budget.
    pub fn merge(&mut self, mut other: MemoryGrant) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Splits off a grant of at most `bytes` bytes.
    pub fn split_off(&mut self, bytes: usize) -> MemoryGrant {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryGrant {
            budget: self.budget.clone(),
            bytes,
        }
    }
}

impl Drop for MemoryGrant {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(self.bytes);
        }
    }
}

#[cfg(test)]
mod tests;
