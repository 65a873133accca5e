//! What goes into the decision module and what comes out: types only.

use std::ops::{Add, Sub};

/// A moment on the embedding courier's clock, in microseconds. Only the differences mean anything.
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

/// One message; never reused within one courier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(pub u64);

/// One endpoint of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// One destination: another firm's system, reached through its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Place of a kind of destination in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// Place of a zone in [`Settings::tolls`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// What an ordered message is about; equal keys go one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Number of an attempt of one message: 0, 1, 2 ... in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Copy(pub u32);

/// What a second delivery of the same message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: may be repeated freely.
    Pure,
    /// Dropped by the endpoints of `scope` for `window` from the send of the first that may have run.
    Token {
        /// Which endpoints know the message again.
        scope: Scope,
        /// For how long they do.
        window: Span,
    },
    /// A second effect: never repeated once it may have run.
    SideEffect,
}

/// Which endpoints of a destination drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Only the very same endpoint.
    Endpoint,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LateForm {
    /// Evenly, down to the late value at the deadline.
    Line,
    /// By half with each further aim, but not under the late value.
    #[default]
    Halves,
}

/// How news of the endpoints comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Unasked.
    #[default]
    Automatic,
    /// Only once asked for.
    Subscribe,
}

/// What an entry's `share` says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    #[default]
    Off,
    /// The calls a second that the route takes from all couriers together.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Worth of one message delivered within `promise`.
    pub worth: f64,
    /// Time within which it earns the full worth.
    pub promise: Span,
    /// How long it may be delivered, from when it was first handed in.
    pub give_up: Span,
    /// Share of the worth left at the deadline.
    pub late_value: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Whether messages with the same key go one at a time, in order.
    pub ordered: bool,
}

/// A tenant: whoever hands messages in, within a share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all couriers, within the tenant's share.
    pub quota_per_s: f64,
}

/// A kind of destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Whether each endpoint is a route of its own.
    pub apart: bool,
    /// Messages in one call, at most.
    pub per_call: usize,
}

/// What the site allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Caps {
    /// Calls out at once.
    pub slots: usize,
    /// Messages held at once, sent or not.
    pub max_open: usize,
    /// Attempts for one message.
    pub max_attempts: u32,
    /// Calls that one connection carries at once.
    pub streams_per_conn: usize,
    /// Idle connections close after this.
    pub conn_idle: Span,
    /// The longest that a client stays away when told to.
    pub max_retry_after: Span,
    /// Whether attempts may be called off.
    pub may_cancel: bool,
    /// Whether endpoints may be probed.
    pub probes: bool,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Share of its capacity that a route has when it comes back.
    pub cold_from: f64,
    /// It has all of it after this.
    pub cold: Span,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over.
    pub tip_after: Span,
    /// How long a key rests after an attempt that may still be running.
    pub order_pause: Span,
    /// Where the list must be asked for: a courier that has not asked for this long counts as told.
    pub must_ask: Span,
}

/// All that a courier is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a message beyond its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// For each zone, the fee of a route apart there.
    pub tolls: Vec<f64>,
    /// How worth falls after the aim.
    pub late: LateForm,
    /// What the site allows.
    pub caps: Caps,
    /// Figures of the rules.
    pub rules: Rules,
    /// How the list of endpoints comes.
    pub discovery: Discovery,
    /// What the list's shares say.
    pub weights: Weights,
    /// Couriers there are, this one counted.
    pub couriers: usize,
    /// The least time between two batches.
    pub tick: Span,
}

/// What the list says of an endpoint; nothing of its health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// In use.
    #[default]
    On,
    /// Send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whose it is.
    pub destination: DestinationId,
    /// The destination's kind.
    pub kind: KindId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Whether it may be used.
    pub listing: Listing,
    /// What [`Settings::weights`] says.
    pub share: f64,
    /// Its part of its destination's calls, against the other endpoints' weights, where the list gives such parts;
    /// above 0.
    pub weight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Delivered.
    Delivered,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// Turned away unseen, with the wait told, if one was.
    Full(Option<Span>),
    /// No answer in time.
    TimedOut,
    /// No connection: proves that it never ran.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// A connection that was kept from earlier broke as soon as it was used: it may have run, but the
    /// endpoint may be as well as ever.
    Stale,
    /// Called off.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the call never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What an answer told of the route's limit; late and not exact.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Report {
    /// Share of the allowance that is left.
    pub left: Option<f64>,
    /// Calls a second that the limit allows; 0 where there is none.
    pub limit: Option<f64>,
}

/// A message handed to this courier.
#[derive(Clone, Debug, PartialEq)]
pub struct Handed {
    /// The message.
    pub message: MessageId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is, if anyone's.
    pub tenant: Option<TenantId>,
    /// What it is about, where order is kept.
    pub key: Option<Key>,
    /// It may be delivered until then.
    pub expires: Time,
    /// Where it goes.
    pub destination: DestinationId,
}

/// What an earlier life of this courier did for a message that outlived it.
#[derive(Clone, Debug, PartialEq)]
pub struct Past {
    /// Attempts made; the next one has this number.
    pub attempts: u32,
    /// When and where the first attempt that may have run was sent. One that was out when the earlier
    /// life ended may have run.
    pub ran: Option<(Time, EndpointId)>,
    /// When and where its latest attempt was sent, if the life that sent it still waits for the answer: its end
    /// will be reported as if this life had sent it.
    pub out: Option<(Time, EndpointId)>,
}

/// What is kept of a destination while it is idle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cold {
    /// It asked to be left alone until then.
    pub wait_until: Option<Time>,
    /// It has been out since then.
    pub out_since: Option<Time>,
    /// It came back then, not long ago.
    pub back_since: Option<Time>,
    /// Its usual call time, in milliseconds.
    pub mean_ms: Option<f64>,
    /// Calls a second that this courier used to deliver there.
    pub usual: f64,
}

impl Cold {
    /// The same with its times told by another clock.
    pub fn told_by(self, clock: impl Fn(Time) -> Time) -> Cold {
        Cold {
            wait_until: self.wait_until.map(&clock),
            out_since: self.out_since.map(&clock),
            back_since: self.back_since.map(&clock),
            ..self
        }
    }

    /// Whether it says more of a destination than would be taken for granted of any.
    pub fn says_something(&self) -> bool {
        self.wait_until.is_some()
            || self.out_since.is_some()
            || self.back_since.is_some()
            || self.mean_ms.is_some()
    }
}

/// How a destination stands that is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// It has been out since then.
    pub out_since: Option<Time>,
    /// It came back then and is being eased into service.
    pub back_since: Option<Time>,
    /// It asked to be left alone until then.
    pub wait_until: Option<Time>,
    /// Its usual call time, in milliseconds.
    pub mean_ms: Option<f64>,
    /// Calls a second that this courier delivers there as a rule.
    pub usual: f64,
    /// Messages for it that have not ended.
    pub held: usize,
    /// Calls that are out.
    pub out: usize,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A message came in and is owed one final answer.
    Accepted(Handed),
    /// A message that an earlier life of this courier took on and still owes its end.
    Resumed(Handed, Past),
    /// An attempt ended; one for each send.
    Closed {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        copy: Copy,
        /// How it ended.
        outcome: Outcome,
        /// How long it was out.
        took: Span,
        /// Whether the message is over.
        last: bool,
        /// What was told of the limit.
        report: Report,
    },
    /// Nobody wants this message any more.
    Gone(MessageId),
    /// A timer fell due.
    Due(u64),
    /// A probe came back.
    Probed {
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// What was told of the limit.
        report: Report,
    },
    /// The whole list of endpoints: what is not in it is gone.
    Listed(Vec<Entry>),
    /// Changes to the list.
    Changed(Vec<Entry>),
    /// What was kept of a destination that was folded, or what another life knew of it, or of one endpoint where that is a
    /// route of its own; its endpoints are listed already.
    Recalled(DestinationId, Option<EndpointId>, Cold),
    /// Another life of this courier was told by an endpoint to leave its route alone until then.
    Waits(DestinationId, EndpointId, Time),
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
}

/// What the courier is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Abandon the attempt then.
        cut_at: Time,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The message.
        message: MessageId,
        /// Which attempt of it.
        copy: Copy,
    },
    /// End the message undelivered; trying again is harmless, best after `retry_in`.
    Refuse {
        /// The message.
        message: MessageId,
        /// How long the client should stay away.
        retry_in: Span,
    },
    /// End the message as failed.
    Fail(MessageId),
    /// Report `token` as due at that time.
    Wake {
        /// When.
        at: Time,
        /// What to report.
        token: u64,
    },
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Close the idle connections to an endpoint.
    Close(EndpointId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// A line for those on call.
    Log(String),
}
