//! Types of the scheduler's interface: events, actions and settings.

mod action;
mod attempt;
mod endpoint;
mod event;
mod ids;
mod route;
mod settings;

pub use action::Action;
pub use attempt::{AttemptStart, NewMessage, Outcome, PriorAttempts, RateLimitReport};
pub use endpoint::{EndpointStatus, EndpointUpdate};
pub use event::Event;
pub use ids::{
    AttemptNumber, ClassId, DestinationId, EndpointId, KindId, MessageId, OrderingKey, TenantId,
    ZoneId,
};
pub use route::{CompactedDestination, DestinationState, IdleRecord, KnownRoute};
pub use settings::{
    DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Limits, MessageClass,
    RateHints, Rules, Settings, Tenant, ValueDecay,
};

pub use marblefall_time::{Span, Time};
