//! Settings of a scheduler.

use super::Span;

/// Effect of executing the same message more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated execution has no further effect, so the message may be retried freely.
    Idempotent,
    /// The endpoints in `scope` recognise repeats by an idempotency key and do not execute them.
    IdempotencyKey {
        /// The endpoints that recognise the key.
        scope: DeduplicationScope,
        /// Deduplication window: time for which the key is recognised, counted from the first attempt that may have been
        /// executed.
        window: Span,
    },
    /// A repeated execution takes effect again, so the message is not retried once an attempt may have been executed.
    NonIdempotent,
}

/// The endpoints of a destination that recognise the idempotency key of an executed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the zone of the endpoint that executed the message.
    Zone,
    /// Only the endpoint that executed the message.
    Endpoint,
}

/// Decay of a message's value after its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// The value falls linearly to the late value at the deadline.
    Linear,
    /// The value halves with each further latency objective, but does not fall below the late value.
    #[default]
    Halving,
}

/// Delivery of changes to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a request.
    #[default]
    Push,
    /// Changes are sent only after a subscription was requested.
    Subscribe,
}

/// Meaning of [`EndpointUpdate::advertised_rate`](crate::EndpointUpdate::advertised_rate).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateHints {
    /// The rate has no meaning.
    #[default]
    Absent,
    /// The rate is the number of calls per second that the route accepts from all instances together.
    Exact,
    /// Like [`RateHints::Exact`], but the rate may be up to half too high or too low.
    Approximate,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageClass {
    /// Value of a message that is delivered within the latency objective.
    pub priority_weight: f64,
    /// Time within which a delivery earns the full value.
    pub latency_objective: Span,
    /// Time to live of a message, counted from its first submission.
    pub deadline: Span,
    /// Share of the value that remains at the deadline.
    pub late_value: f64,
    /// Effect of executing a message of the class more than once.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    pub ordered: bool,
}

/// A tenant: a client with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in messages per second, for all instances together.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationKind {
    /// Whether each endpoint is a separate route with its own limit, backoff and health.
    pub separate_routes: bool,
    /// Maximum number of messages in one call.
    pub max_batch: usize,
}

/// Limits of the deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum number of calls in flight.
    pub max_in_flight: usize,
    /// Maximum number of open messages: those without a final outcome, pending or in flight.
    pub max_open_messages: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Number of concurrent calls that one connection carries.
    pub streams_per_connection: usize,
    /// Time for which an unused connection stays open.
    pub idle_timeout: Span,
    /// The longest `Retry-After` that clients honour.
    pub max_retry_after: Span,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether endpoints may be sent health checks.
    pub health_checks_allowed: bool,
}

/// Parameters of the delivery rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Share of its full capacity that a route has at the start of its recovery.
    pub ramp_start: f64,
    /// Time from the start of a recovery to full capacity.
    pub ramp_duration: Span,
    /// Load that makes a recovering route fail again, as a multiple of the route's present capacity.
    pub overload_factor: f64,
    /// Length of the window over which the load of a recovering route is measured.
    pub overload_window: Span,
    /// Time for which an ordering key is paused after an attempt that the receiver may still be executing.
    pub ordering_pause: Span,
    /// With [`DiscoveryMode::Subscribe`]: maximum time between two requests for the list. An instance that has not
    /// requested the list for this long counts as informed of a change.
    pub max_poll_interval: Span,
}

/// All settings of a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<MessageClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a message beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Kinds of destinations.
    pub kinds: Vec<DestinationKind>,
    /// For each zone, the fee of a separate route in it.
    pub zone_fees: Vec<f64>,
    /// Decay of a message's value after the latency objective.
    pub value_decay: ValueDecay,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Parameters of the delivery rules.
    pub rules: Rules,
    /// Delivery of changes to the endpoint list.
    pub discovery: DiscoveryMode,
    /// Meaning of the rates in the endpoint list.
    pub rate_hints: RateHints,
    /// Number of instances, this one included.
    pub instances: usize,
    /// Minimum time between a batch and the timer that it sets.
    pub min_batch_interval: Span,
}
