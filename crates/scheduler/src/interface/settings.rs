//! What a scheduler is told at its start.

use super::Span;

/// What a second delivery of the same message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: the message may be repeated freely.
    Idempotent,
    /// The endpoints in `scope` drop repeats by an idempotency key.
    IdempotencyKey {
        /// Which endpoints recognise the key.
        scope: DeduplicationScope,
        /// For how long they do, counted from the first attempt that may have been executed.
        window: Span,
    },
    /// It takes effect again: never repeated once an attempt may have been executed.
    NonIdempotent,
}

/// Which endpoints of a destination drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in one zone.
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

/// What [`EndpointUpdate::advertised_rate`](crate::EndpointUpdate::advertised_rate) means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateHints {
    /// Nothing.
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
    /// How long a message may be delivered, from its first submission.
    pub deadline: Span,
    /// Share of the value that is left at the deadline.
    pub late_value: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Whether messages with the same key are delivered one at a time, in order.
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
    /// Whether each endpoint is a route of its own, with its own limit, backoff and health.
    pub separate_routes: bool,
    /// Messages in one call, at most.
    pub max_batch: usize,
}

/// Limits of the deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Calls in flight at once.
    pub max_in_flight: usize,
    /// Open messages at once, sent or not.
    pub max_open_messages: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Calls that one connection carries at once.
    pub streams_per_connection: usize,
    /// Idle connections are closed after this time.
    pub idle_timeout: Span,
    /// The longest `Retry-After` that clients honour.
    pub max_retry_after: Span,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether endpoints may be sent health checks.
    pub health_checks_allowed: bool,
}

/// Figures of the delivery rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Share of its capacity that a route has when it recovers.
    pub ramp_start: f64,
    /// Time from recovery to full capacity.
    pub ramp_duration: Span,
    /// A route that is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long fails again.
    pub overload_window: Span,
    /// How long an ordering key rests after an attempt that may still be running.
    pub ordering_pause: Span,
    /// With [`DiscoveryMode::Subscribe`]: an instance that has not asked for this long counts as informed.
    pub max_poll_interval: Span,
}

/// All that a scheduler is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of messages.
    pub classes: Vec<MessageClass>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a message beyond its tenant's quota, as a part of its class's.
    pub over_quota_weight: f64,
    /// Kinds of destinations.
    pub kinds: Vec<DestinationKind>,
    /// For each zone, the fee of a separate route there.
    pub zone_fees: Vec<f64>,
    /// How value falls after the latency objective.
    pub value_decay: ValueDecay,
    /// Limits of the deployment.
    pub limits: Limits,
    /// Figures of the delivery rules.
    pub rules: Rules,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// What the list's rates mean.
    pub rate_hints: RateHints,
    /// Instances there are, this one counted.
    pub instances: usize,
    /// The least time between two batches of events.
    pub min_batch_interval: Span,
}
