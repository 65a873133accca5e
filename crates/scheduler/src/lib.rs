//! Chooses, for one instance, which message is sent where and when.
//!
//! A [`Scheduler`] takes batches of [`Event`]s and answers each with [`Action`]s. It has no clock, no network
//! and no threads: time enters as the `now` of a batch, randomness as the seed given at its start, so the
//! same events always bring the same actions.
//!
//! ```
//! use marblefall_scheduler::*;
//!
//! let settings = Settings {
//!     classes: vec![MessageClass {
//!         priority_weight: 1.0,
//!         latency_objective: Span::from_ms(2_000.0),
//!         deadline: Span::from_ms(16_000.0),
//!         late_value: 0.3,
//!         idempotency: Idempotency::Idempotent,
//!         ordered: false,
//!     }],
//!     kinds: vec![DestinationKind { separate_routes: false, max_batch: 1 }],
//!     limits: Limits { max_in_flight: 8, max_open_messages: 100, max_attempts: 6, ..Limits::default() },
//!     instances: 1,
//!     ..Settings::default()
//! };
//! let mut scheduler = Scheduler::new(settings, 42);
//!
//! let list = Event::EndpointsReplaced(vec![EndpointUpdate {
//!     endpoint: EndpointId(0),
//!     destination: DestinationId(7),
//!     kind: KindId(0),
//!     zone: ZoneId(0),
//!     status: EndpointStatus::Active,
//!     advertised_rate: 1.0,
//!     weight: None,
//! }]);
//! let message = Event::Accepted(NewMessage {
//!     message: MessageId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     ordering_key: None,
//!     deadline: Time::from_ms(16_000.0),
//!     destination: DestinationId(7),
//! });
//!
//! let mut actions = Vec::new();
//! scheduler.handle(Time::from_ms(0.0), &[list, message], &mut actions);
//! assert!(matches!(actions[0], Action::Send { message: MessageId(1), endpoint: EndpointId(0), .. }));
//! ```
//!
//! # What the embedding program guarantees
//!
//! - `now` never falls, and the events of a batch stand in the order in which they came.
//! - Each [`Action::Send`] brings exactly one [`Event::AttemptFinished`], also after the message is over; it is
//!   abandoned at `timeout_at` at the latest. Attempts are numbered 0, 1, 2 ... in the order of the sends.
//! - A delivery is passed to the client by the embedding program and reported with `is_final` set.
//! - Each [`Action::SetTimer`] brings one [`Event::TimerFired`], in a later batch. [`Action::Cancel`] hurries an
//!   outcome and does not replace it.
//! - A [`MessageId`] is never used twice, and sends of one batch to one endpoint travel as one call where
//!   its [`DestinationKind::max_batch`] is above 1.
//!
//! # What it may rely on
//!
//! - Every accepted message is ended once: by a delivery, [`Action::Reject`] or [`Action::Fail`].
//! - Late or repeated outcomes, stale timers, unknown messages and endpoints, and settings with zeros or
//!   absent parts never make it panic. Contradictory settings have a safe reading: without attempts allowed nothing
//!   is sent and each message is answered before its time; a message of a class that does not exist fails
//!   at once; an unknown kind is one without routes apart or shared calls; an unknown zone has no fee.
//! - Two schedulers share nothing.

#![forbid(unsafe_code)]

mod interface;
mod pending_queue;
mod policy;
mod rate_limiter;
mod rate_share;
pub mod recovery_ramp;
mod scheduler;
mod state;

pub use interface::{
    Action, AttemptNumber, ClassId, DeduplicationScope, DestinationId, DestinationKind,
    DestinationState, DiscoveryMode, EndpointId, EndpointStatus, EndpointUpdate, Event,
    Idempotency, IdleRecord, KindId, Limits, MessageClass, MessageId, NewMessage, OrderingKey,
    Outcome, PriorAttempts, RateHints, RateLimitReport, Rules, Settings, Span, Tenant, TenantId,
    Time, ValueDecay, ZoneId,
};
pub use scheduler::Scheduler;
