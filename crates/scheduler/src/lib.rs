//! Delivery scheduler of one instance: decides which message is sent to which endpoint, and when.
//!
//! A [`Scheduler`] receives batches of [`Event`]s and returns [`Action`]s for each. It uses no clock, network or
//! threads. The current time is an argument of each batch, and random numbers are derived from a seed given at the start,
//! so the same events always cause the same actions.
//!
//! The decisions are in the modules under `policy`. The other modules are state machines for limits, rates and health.
//! They perform no I/O and receive the current time as an argument.
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
//! # Guarantees of the embedding program
//!
//! - `now` never decreases, and the events of a batch are in the order in which they occurred.
//! - Each [`Action::Send`] is followed by exactly one [`Event::AttemptFinished`], even after the message has its
//!   final outcome. The attempt is abandoned at `timeout_at` at the latest. The attempts of a message are numbered 0, 1, 2
//!   and so on in the order of the sends.
//! - A delivery is reported to the client by the embedding program, and to the scheduler with `is_final` set.
//! - Each [`Action::SetTimer`] is followed by one [`Event::TimerFired`] in a later batch. [`Action::Cancel`] may make the
//!   outcome of an attempt arrive sooner, but the outcome is still reported.
//! - A [`MessageId`] is never reused. The sends of one batch to one endpoint are made as one call if the kind's
//!   [`DestinationKind::max_batch`] is above 1.
//!
//! # Guarantees of the scheduler
//!
//! - Every accepted message ends exactly once: by a delivery, [`Action::Reject`] or [`Action::Fail`].
//! - Late or repeated outcomes, stale timers, unknown messages and endpoints, and settings with zeros or missing
//!   parts never cause a panic. Contradictory settings are interpreted safely: if no attempts are allowed, nothing is
//!   sent and each message ends before its deadline; a message of an undefined class fails at once; an undefined kind has
//!   neither separate routes nor batches; an undefined zone has no fee.
//! - Two schedulers share no state.

#![forbid(unsafe_code)]

mod baseline_rate;
mod connection_pressure;
mod failure_detector;
mod interface;
mod list_subscription;
mod loss_rate;
mod mean_latency;
mod pending_queue;
mod policy;
mod rate_limiter;
mod rate_share;
pub mod recovery_ramp;
mod rejection_hold;
mod scheduler;
mod state;
mod tenant_rate;

pub use interface::{
    Action, AttemptNumber, AttemptStart, ClassId, CompactedDestination, DeduplicationScope,
    DestinationId, DestinationKind, DestinationState, DiscoveryMode, EndpointId, EndpointStatus,
    EndpointUpdate, Event, Idempotency, IdleRecord, KindId, KnownRoute, Limits, MessageClass,
    MessageId, NewMessage, OrderingKey, Outcome, PriorAttempts, RateHints, RateLimitReport, Rules,
    Settings, Span, Tenant, TenantId, Time, ValueDecay, ZoneId,
};
pub use scheduler::Scheduler;
