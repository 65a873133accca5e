//! What goes into the engine and what comes out: types only.

use super::{Change, Proposed};
use crate::core::directory::Directory;
use crate::core::journal::Generation;
use crate::core::{Answer, Authorisation, End, Route, Seq, Ticket, Verdict};
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// An endpoint as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The name that stays the same.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Whose it is.
    pub destination: m::DestinationId,
    /// Its destination's kind.
    pub kind: m::KindId,
    /// Where it stands.
    pub zone: m::ZoneId,
    /// Whether it may be used.
    pub listing: m::Listing,
    /// The rate that the list tells.
    pub share: f64,
    /// Its part of its destination's calls against the other hosts' weights, where the list gives such parts.
    pub weight: Option<f64>,
}

/// Something that happened outside.
#[derive(Debug)]
pub enum Input {
    /// A message is handed in.
    Offered(Ticket, Authorisation),
    /// Whoever handed it in has gone without its answer.
    Withdrawn(Ticket),
    /// A leg is over.
    LegEnded {
        /// The message.
        seq: Seq,
        /// Which leg of it.
        copy: u32,
        /// How it ended.
        outcome: m::Outcome,
        /// How long it was out.
        took: m::Span,
        /// What becomes of the message.
        verdict: Verdict,
        /// What its answer told of the limit.
        report: m::Report,
    },
    /// The whole list of endpoints.
    Listed(Vec<Host>),
    /// Changes to it.
    Changed(Vec<Host>),
    /// All destinations there are, from now on. Only those in use are made known to the module.
    Directory(Arc<Directory>),
    /// The platform has taken the notice of a message's end.
    NoticeTaken(Seq),
    /// Operators keep these endpoints out by name, whatever the list says of them, from now on.
    HeldOut(BTreeSet<String>),
    /// This life decides from now on: it takes up what earlier ones left.
    TakeUp {
        /// Those that still run and have handed over.
        living: Vec<Generation>,
        /// The first of those that ran when this one began.
        beside: Option<Generation>,
    },
    /// Lives that have handed over may have written more.
    Follow,
    /// A life that was followed has ended.
    Settle(Generation),
    /// A life that came up beside this one ended before it took over: this one goes on under a later generation, with
    /// what that one had taken on.
    Adopt(Generation),
    /// Another policy, from now on.
    Change(Box<Change>),
    /// Has a policy that is proposed room for what is held?
    Fits(Proposed, async_channel::Sender<Result<(), String>>),
    /// Whether the engine may act has changed.
    Look,
    /// This life ends.
    Stop {
        /// At this time at the latest.
        by: m::Time,
        /// Another one takes over, beside this one or after it.
        hand_over: bool,
    },
}

/// What is to be done outside.
#[derive(Debug)]
pub enum Order {
    /// Tell a hand-in what became of it.
    Answer(Ticket, Answer),
    /// Start a leg.
    Leg {
        /// The message.
        seq: Seq,
        /// Which leg of it.
        copy: u32,
        /// Where to.
        host: m::EndpointId,
        /// What a wait told meanwhile must not bind, or it does not go out.
        route: Route,
        /// What to send.
        authorisation: Rc<Authorisation>,
        /// Abandon it then.
        cut_at: m::Time,
        /// Its first byte goes out before then or not at all.
        write_by: m::Time,
    },
    /// An endpoint of this route told another life to leave it alone until then.
    Wait(Route, m::Time),
    /// Stop waiting for the leg of a message.
    Abandon(Seq),
    /// Close idle connections to an endpoint.
    CloseIdle(m::EndpointId),
    /// Count an end.
    Ended(End),
    /// Tell the platform how a message ended, until it is taken.
    Notice(Seq, Rc<Authorisation>, End),
    /// What is known of an endpoint.
    Host(m::EndpointId, Host),
    /// An endpoint is no longer listed.
    HostGone(m::EndpointId),
    /// This life decides from now on, with so many messages of earlier ones.
    TookUp(usize),
    /// This life decides no more: another one may take up.
    HandedOver,
    /// The policy with this number decides from now on.
    Changed(u64),
    /// A line for those on call.
    Log(String),
}

/// What an engine is set up with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The module's settings.
    pub settings: m::Settings,
    /// For the module's draws.
    pub seed: u64,
    /// How long an ended message of the events front is remembered for each class, in milliseconds.
    pub remember_ms: Vec<i64>,
    /// How many of them at most.
    pub remember_most: usize,
}
