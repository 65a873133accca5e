//! Accepts, journals and delivers messages, without knowing any wire.
//!
//! A frontend submits [`Message`]s and receives [`SubmitResponse`]s. The time of each step is passed in as a
//! [`Timestamp`], so that tests set the clock. [`engine`] owns the scheduler and the [`message_store`], which has each
//! message's state in memory and in the [`journal`] that outlasts the process.

pub mod active_destinations;
pub mod attempt_result;
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

use marblefall_scheduler::{ClassId, DestinationId, EndpointId, Span, Time};

const MICROS_PER_MS: i64 = 1000;

/// A moment on both clocks: the monotonic one of this incarnation of the process, and the Unix one, by which times are
/// stored for later incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Time since the process started.
    pub monotonic: Time,
    /// Unix time in milliseconds.
    pub unix_ms: i64,
}

impl Timestamp {
    /// The monotonic time of a Unix time in milliseconds. It may lie before the start of the process.
    pub fn monotonic_of(self, unix_ms: i64) -> Time {
        let micros_from_now = unix_ms
            .saturating_sub(self.unix_ms)
            .saturating_mul(MICROS_PER_MS);
        Time(self.monotonic.0.saturating_add(micros_from_now))
    }

    /// The monotonic time of a Unix time in microseconds, rounded down to a millisecond.
    pub fn monotonic_of_unix_micros(self, at: Time) -> Time {
        self.monotonic_of(at.0.div_euclid(MICROS_PER_MS))
    }

    /// A monotonic time as Unix time in microseconds.
    pub fn unix_micros_of(self, at: Time) -> Time {
        Time(self.unix_ms * MICROS_PER_MS + (at - self.monotonic).0)
    }

    /// A monotonic time as Unix time in milliseconds, rounded down.
    pub fn unix_ms_of(self, at: Time) -> i64 {
        self.unix_ms + (at - self.monotonic).0.div_euclid(MICROS_PER_MS)
    }

    /// The first whole millisecond of Unix time after a span from now.
    pub fn unix_ms_after(self, span: Span) -> i64 {
        self.unix_ms + span.0.div_euclid(MICROS_PER_MS) + 1
    }

    /// The time since a Unix time in milliseconds, or zero for one in the future.
    pub fn elapsed_since_unix_ms(self, unix_ms: i64) -> Span {
        Span((self.unix_ms - unix_ms).max(0) * MICROS_PER_MS)
    }
}

/// The route that a backoff applies to: a destination, or one endpoint of it where its endpoints are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// The destination.
    pub destination: DestinationId,
    /// The endpoint, where it is a separate route.
    pub endpoint: Option<EndpointId>,
}

/// Identifies a submission and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The frontend by which a message was submitted, and which encodes its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's protocol: any final outcome but a delivery is sent as a notice.
    Platform,
    /// CloudEvents: the final outcome is the response to waiting clients, and is retained for repeats.
    CloudEvents,
}

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The frontend by which it was submitted.
    pub origin: Origin,
    /// Its identity: a submission with the same one is a repeat.
    pub identity: Vec<u8>,
    /// The key by which its receiver discards repeats.
    pub idempotency_key: Option<Vec<u8>>,
    /// Its class.
    pub class: ClassId,
    /// Its destination.
    pub destination: DestinationId,
    /// Unix time in milliseconds until which it may be delivered.
    pub expires_ms: i64,
    /// What else the frontend needs to encode an attempt. Its form is the frontend's.
    pub attributes: Vec<u8>,
    /// The content, unchanged.
    pub body: Vec<u8>,
}

/// The one final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// An attempt's response reports the delivery.
    Delivered,
    /// Not delivered; it may be submitted again.
    Returned {
        /// When to submit it again at the earliest, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Failed for good.
    Failed,
    /// Its deadline passed.
    Expired,
}

/// What the response to an attempt means for its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Only the outcome of the attempt counts.
    Undecided,
    /// The message is complete, and no final outcome is reported.
    Complete,
    /// The message has failed for good: any other attempt would have the same response.
    Failed,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// Accepted and journalled: the message will have a final outcome.
    Accepted,
    /// Not accepted.
    Rejected {
        /// When to submit it again at the earliest, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// Accepted by an earlier submission with another idempotency key.
    Conflict,
    /// The message has its final outcome.
    Finished(FinalOutcome),
}
