//! Settings that a scheduler starts with.

use super::Span;

/// What a second execution of the same message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: the message may be repeated freely.
    Idempotent,
    /// The endpoints in `scope` drop repeats by an idempotency key.
    IdempotencyKey {
        /// Which endpoints recognise the key.
        scope: DeduplicationScope,
        /// How long they recognise it, counted from the first attempt that may have been executed.
        window: Span,
    },
    /// It takes effect again: never repeated once an attempt may have been executed.
    NonIdempotent,
}

/// Which endpoints of a destination drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the same zone.
    Zone,
    /// Only the same endpoint.
    Endpoint,
}

/// How a message's value falls once its latency objective has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    /// Linearly, down to the late value at the deadline.
    Linear,
    /// By half with each further latency objective, but not below the late value.
    #[default]
    Halving,
}

/// How changes of the endpoint list arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Pushed without a request.
    #[default]
    Push,
    /// Only after a subscription was requested.
    Subscribe,
}

/// Meaning of [`EndpointUpdate::advertised_rate`](crate::EndpointUpdate::advertised_rate).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateHints {
    /// The rate has no meaning.
    #[default]
    Absent,
    /// The calls per second that the route accepts from all instances together.
    Exact,
    /// The same, up to half too high or too low.
    Approximate,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct MessageClass {
    /// Value of one message delivered within the latency objective.
    pub priority_weight: f64,
    /// Time within which a delivery earns the full value.
    pub latency_objective: Span,
    /// How long a message may be delivered, counted from its first submission.
    pub deadline: Span,
    /// Share of the value that remains at the deadline.
    pub late_value: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered one at a time, in order.
    pub ordered: bool,
}

/// A tenant: a client with a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Messages per second, over all instances, within the tenant's quota.
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
    /// Maximum number of messages without a final outcome, sent or not.
    pub max_open_messages: usize,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Concurrent calls that one connection carries.
    pub streams_per_connection: usize,
    /// How long an unused connection stays open.
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
    /// Share of its capacity that a route has when it begins to recover.
    pub ramp_start: f64,
    /// Time from the start of a recovery to full capacity.
    pub ramp_duration: Span,
    /// Load, as a multiple of a recovering route's present capacity, that makes it fail again.
    pub overload_factor: f64,
    /// Time over which that load is measured.
    pub overload_window: Span,
    /// How long an ordering key is paused after an attempt that may still be running.
    pub ordering_pause: Span,
    /// With [`DiscoveryMode::Subscribe`]: an instance that has not requested the list for this long counts as
    /// informed.
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
    /// For each zone, the fee of a separate route there.
    pub zone_fees: Vec<f64>,
    /// How value falls after the latency objective.
    pub value_decay: ValueDecay,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Parameters of the delivery rules.
    pub rules: Rules,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// Meaning of the rates in the endpoint list.
    pub rate_hints: RateHints,
    /// Number of instances, this one included.
    pub instances: usize,
    /// The least time between two batches of events.
    pub min_batch_interval: Span,
}
