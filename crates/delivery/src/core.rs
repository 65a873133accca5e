//! Accepts, journals and delivers messages, independently of any wire protocol.
//!
//! A frontend submits [`Message`]s and receives [`SubmitResponse`]s. The time of each step is passed in as a
//! [`Timestamp`], so that tests control the clock. [`engine`] owns the scheduler and the [`message_store`]. The store
//! keeps the state of each message in memory and in the [`journal`], which persists across restarts.

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

/// A point in time on two clocks: the monotonic clock of this incarnation of the process, and the Unix clock, which is
/// used for times stored for later incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Time since the process started.
    pub monotonic: Time,
    /// Unix time in milliseconds.
    pub unix_ms: i64,
}

impl Timestamp {
    /// Converts a Unix time in milliseconds to monotonic time. The result may be before the start of the process.
    pub fn monotonic_of(self, unix_ms: i64) -> Time {
        let micros_from_now = unix_ms
            .saturating_sub(self.unix_ms)
            .saturating_mul(MICROS_PER_MS);
        Time(self.monotonic.0.saturating_add(micros_from_now))
    }

    /// Converts a Unix time in microseconds to monotonic time, rounded down to a millisecond.
    pub fn monotonic_of_unix_micros(self, at: Time) -> Time {
        self.monotonic_of(at.0.div_euclid(MICROS_PER_MS))
    }

    /// Converts a monotonic time to Unix time in microseconds.
    pub fn unix_micros_of(self, at: Time) -> Time {
        Time(self.unix_ms * MICROS_PER_MS + (at - self.monotonic).0)
    }

    /// Converts a monotonic time to Unix time in milliseconds, rounded down.
    pub fn unix_ms_of(self, at: Time) -> i64 {
        self.unix_ms + (at - self.monotonic).0.div_euclid(MICROS_PER_MS)
    }

    /// Returns the first whole millisecond of Unix time that is later than a span from now.
    pub fn unix_ms_after(self, span: Span) -> i64 {
        self.unix_ms + span.0.div_euclid(MICROS_PER_MS) + 1
    }

    /// Returns the time since a Unix time in milliseconds, or zero for a time in the future.
    pub fn elapsed_since_unix_ms(self, unix_ms: i64) -> Span {
        Span((self.unix_ms - unix_ms).max(0) * MICROS_PER_MS)
    }
}

/// The route that a backoff applies to: a destination, or one endpoint of it where its endpoints are separate routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Route {
    /// Destination of the route.
    pub destination: DestinationId,
    /// Endpoint of the destination; `None` where all of its endpoints are one route.
    pub endpoint: Option<EndpointId>,
}

/// Identifies a submission and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The frontend through which a message was submitted, and which encodes its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The platform's protocol. Every final outcome except a delivery is sent as a notice.
    Platform,
    /// CloudEvents. The final outcome is sent to waiting clients as their response, and is retained for repeats.
    CloudEvents,
}

/// A submitted message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Frontend through which the message was submitted.
    pub origin: Origin,
    /// Identity of the message. A submission with the same identity is a repeat.
    pub identity: Vec<u8>,
    /// Key by which the receiver discards repeats.
    pub idempotency_key: Option<Vec<u8>>,
    /// Class of the message.
    pub class: ClassId,
    /// Destination of the message.
    pub destination: DestinationId,
    /// Unix time in milliseconds until which the message may be delivered.
    pub expires_ms: i64,
    /// Further data that the frontend needs to encode an attempt, in a format defined by the frontend.
    pub attributes: Vec<u8>,
    /// Content of the message, as submitted.
    pub body: Vec<u8>,
}

/// The final outcome of a message. Each message has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The response to an attempt reports the delivery.
    Delivered,
    /// The message was not delivered and may be submitted again.
    Returned {
        /// Minimum time until the next submission, in milliseconds.
        retry_after_ms: u64,
    },
    /// The message failed permanently.
    Failed,
    /// The deadline of the message passed.
    Expired,
}

/// The effect of an attempt's response on its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The response has no further effect: only the outcome of the attempt is used.
    Undecided,
    /// The message is complete, and no final outcome is reported.
    Complete,
    /// The message has failed permanently, because any other attempt would have the same response.
    Failed,
}

/// The response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// The message is accepted and journalled, and will have a final outcome.
    Accepted,
    /// The message is not accepted.
    Rejected {
        /// Minimum time until the next submission, in milliseconds.
        retry_after_ms: u64,
    },
    /// An earlier submission of the message, with another idempotency key, was accepted.
    Conflict,
    /// The message already has its final outcome.
    Finished(FinalOutcome),
    /// The message is journalled without a final outcome, and this incarnation ends. A later one may still deliver it.
    Undetermined,
}
