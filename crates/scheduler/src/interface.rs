//! The scheduler's interface: events in, actions out, and the settings it is started with. Types only.

use std::ops::{Add, Sub};

/// A moment on the embedding program's monotonic clock, in microseconds. Only differences mean anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Time(pub i64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash)]
pub struct Span(pub i64);

impl Time {
    /// The moment that lies `ms` milliseconds after the clock's zero.
    pub fn from_ms(ms: f64) -> Time {
        Time((ms * 1000.0).round() as i64)
    }

    /// This moment in milliseconds after the clock's zero.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of `ms` milliseconds.
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1000.0).round() as i64)
    }

    /// This span in milliseconds.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// This span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// A message; an id is never reused by one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// An endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A destination: a remote system, reached through its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Index of a kind of destination in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Index of a zone in [`Settings::zone_fees`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// What an ordered message is about: messages with equal keys are sent one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderingKey(pub u64);

/// Number of an attempt of one message: 0, 1, 2 ... in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

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

/// What [`EndpointUpdate::advertised_rate`] means.
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
    pub max_pending: usize,
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

/// Status of an endpoint in the list; says nothing of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// In use.
    #[default]
    Active,
    /// Nothing new may be sent to it.
    Draining,
    /// No longer listed.
    Removed,
}

/// One row of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it may be used.
    pub status: EndpointStatus,
    /// A rate in calls per second, as [`Settings::rate_hints`] says.
    pub advertised_rate: f64,
    /// Its share of the destination's calls relative to the other endpoints' weights, where the list gives weights;
    /// above 0.
    pub weight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error; the message may have taken effect.
    Error,
    /// Rejected before it was processed.
    Rejected {
        /// The wait that the destination asked for, if it did.
        retry_after: Option<Span>,
    },
    /// No answer in time.
    TimedOut,
    /// No connection: proves that it was not executed.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// A reused idle connection broke as soon as it was used: the message may have been executed, but the endpoint
    /// may be healthy.
    StaleConnection,
    /// Cancelled by this instance.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether it proves that the message was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a response told of the route's rate limit; late and approximate.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct RateLimitReport {
    /// Share of the quota that remains.
    pub remaining: Option<f64>,
    /// Calls per second that the limit allows; 0 where there is none.
    pub limit: Option<f64>,
}

/// A message submitted to this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct NewMessage {
    /// The message.
    pub message: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// What it is about, where order is kept.
    pub ordering_key: Option<OrderingKey>,
    /// It may be delivered until then.
    pub deadline: Time,
    /// Where it is sent.
    pub destination: DestinationId,
}

/// What an earlier incarnation of this instance did for a message that outlived it.
#[derive(Clone, Debug, PartialEq)]
pub struct PriorAttempts {
    /// Attempts made; the next one has this number.
    pub attempts: u32,
    /// When and where the first attempt was sent that may have been executed. One in flight when the earlier
    /// incarnation ended may have been.
    pub first_executed: Option<(Time, EndpointId)>,
    /// When and where the latest attempt was sent, if the incarnation that sent it still waits for the answer: its end
    /// will be reported as if this incarnation had sent it.
    pub in_flight: Option<(Time, EndpointId)>,
}

/// What is kept of a route while its destination is idle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleRecord {
    /// The end of the backoff that it asked for.
    pub backoff_until: Option<Time>,
    /// It has been ejected since then.
    pub ejected_since: Option<Time>,
    /// It has been recovering since then.
    pub recovering_since: Option<Time>,
    /// Its mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance used to deliver there.
    pub baseline_rate: f64,
}

impl IdleRecord {
    /// The same with its times on another clock.
    pub fn map_times(self, clock: impl Fn(Time) -> Time) -> IdleRecord {
        IdleRecord {
            backoff_until: self.backoff_until.map(&clock),
            ejected_since: self.ejected_since.map(&clock),
            recovering_since: self.recovering_since.map(&clock),
            ..self
        }
    }

    /// Whether it says more of a route than is assumed of any.
    pub fn is_significant(&self) -> bool {
        self.backoff_until.is_some()
            || self.ejected_since.is_some()
            || self.recovering_since.is_some()
            || self.mean_latency_ms.is_some()
    }
}

/// State of a listed destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DestinationState {
    /// It has been ejected since then.
    pub ejected_since: Option<Time>,
    /// It has been recovering since then.
    pub recovering_since: Option<Time>,
    /// The end of the backoff that it asked for.
    pub backoff_until: Option<Time>,
    /// Its mean latency, in milliseconds.
    pub mean_latency_ms: Option<f64>,
    /// Calls per second that this instance usually delivers there.
    pub baseline_rate: f64,
    /// Messages for it that have no final outcome yet.
    pub pending: usize,
    /// Calls in flight.
    pub in_flight: usize,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message was accepted and is owed one final outcome.
    Accepted(NewMessage),
    /// A message that an earlier incarnation accepted and that still has no final outcome.
    Resumed(NewMessage, PriorAttempts),
    /// An attempt ended; one for each send.
    AttemptFinished {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: Outcome,
        /// How long it was in flight.
        duration: Span,
        /// Whether the message has its final outcome with it.
        is_final: bool,
        /// What the response told of the rate limit.
        rate_limit: RateLimitReport,
    },
    /// Nobody wants this message any more.
    Cancelled(MessageId),
    /// The timer with this token fired.
    TimerFired(u64),
    /// A health check ended.
    HealthChecked {
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What the response told of the rate limit.
        rate_limit: RateLimitReport,
    },
    /// The whole endpoint list: what is not in it is removed.
    EndpointsReplaced(Vec<EndpointUpdate>),
    /// Changes to the endpoint list.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// What was kept of a compacted destination, or what another incarnation knew of it, or of one endpoint where that
    /// is a separate route; its endpoints are listed already.
    RouteRestored(DestinationId, Option<EndpointId>, IdleRecord),
    /// Another incarnation of this instance was asked by an endpoint to back off until then.
    BackoffNotified(DestinationId, EndpointId, Time),
    /// The request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
}

/// What the embedding program is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Abandon the attempt then.
        timeout_at: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        attempt: AttemptNumber,
    },
    /// End the message undelivered; submitting it again is harmless, best after `retry_after`.
    Reject {
        /// The message.
        message: MessageId,
        /// How long the client should wait.
        retry_after: Span,
    },
    /// End the message as failed.
    Fail(MessageId),
    /// Report `token` with [`Event::TimerFired`] at that time.
    SetTimer {
        /// When.
        at: Time,
        /// What to report.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// A log line.
    Log(String),
}
