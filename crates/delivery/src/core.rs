//! Accepts, journals and delivers messages, without knowing any wire.
//!
//! A frontend hands in [`Message`]s and gets [`SubmitResponse`]s; how either travels is not known here. Time enters as
//! a [`Timestamp`], so that tests can feed the clock by hand. [`engine`] owns the scheduler and the
//! [`message_store`], which keeps each message's state in memory and in the [`journal`] that outlives the process.

pub mod active_destinations;
pub mod destination_table;
pub mod endpoint;
pub mod engine;
pub mod journal;
pub mod journal_record;
pub mod message_record;
pub mod message_store;
pub mod recent_completions;
pub mod snapshot;

pub use marblefall_scheduler::MessageId;

use marblefall_scheduler::{ClassId, DestinationId, EndpointId, Time};

/// One moment on both clocks: the monotonic one for what happens in this incarnation of the process, the Unix one for
/// what must be understood by the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Time since the process started.
    pub monotonic: Time,
    /// Unix time in milliseconds.
    pub unix_ms: i64,
}

impl Timestamp {
    /// The monotonic moment of a Unix time in milliseconds; it may lie before the start of the process.
    pub fn monotonic_of(self, unix_ms: i64) -> Time {
        let micros_from_now = unix_ms.saturating_sub(self.unix_ms).saturating_mul(1000);
        Time(self.monotonic.0.saturating_add(micros_from_now))
    }

    /// A monotonic moment in Unix microseconds.
    pub fn unix_micros_of(self, at: Time) -> Time {
        Time(self.unix_ms * 1000 + (at - self.monotonic).0)
    }
}

/// What a backoff applies to: a destination, or one endpoint of it where its endpoints are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a separate route.
    pub endpoint: Option<EndpointId>,
}

/// Identifies one submission, for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The frontend that a message came in by, which also encodes its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's protocol: the final outcome is owed as a notice.
    Platform,
    /// CloudEvents: the final outcome answers whoever waits, and is remembered.
    CloudEvents,
}

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The frontend it came in by.
    pub origin: Origin,
    /// What makes it the same message when it is submitted again.
    pub identity: Vec<u8>,
    /// The key by which its receiver drops repeats.
    pub idempotency_key: Option<Vec<u8>>,
    /// Its class.
    pub class: ClassId,
    /// Its destination.
    pub destination: DestinationId,
    /// Unix time in milliseconds until which it may be delivered.
    pub expires_ms: i64,
    /// What else the frontend needs to encode an attempt; opaque here.
    pub attributes: Vec<u8>,
    /// The content, unchanged.
    pub body: Vec<u8>,
}

/// The one final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// An attempt was answered as delivered.
    Delivered,
    /// Given up; submitting it again is harmless.
    Returned {
        /// Best after so many milliseconds.
        retry_after_ms: u64,
    },
    /// Given up for good.
    Failed,
    /// Its deadline passed.
    Expired,
}

/// What the response to an attempt means for its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The outcome of the attempt decides.
    Undecided,
    /// Nothing more is owed for it.
    Complete,
    /// It has failed for good: no other attempt could be answered differently.
    Failed,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// Journalled: from now on a final outcome is owed.
    Accepted,
    /// Not accepted.
    Rejected {
        /// The client may try again after so many milliseconds.
        retry_after_ms: u64,
    },
    /// Accepted by an earlier submission with another idempotency key.
    Conflict,
    /// The message has its final outcome.
    Finished(FinalOutcome),
}
