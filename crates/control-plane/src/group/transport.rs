//! The transport between the daemons of a group: frames over TCP, each connection in one direction, from the daemon that
//! opened it.
//!
//! A connection begins with a [`Hello`]. The receiver acknowledges each frame with one byte, so that a connection that
//! accepts everything and delivers nothing is detected. There are no keys and there is no authentication: a daemon
//! listens at the address that the manifest gives and nowhere else.
//!
//! Operators connect to the daemon of their home in the same way: each [`Request`] is answered with an
//! [`OperatorResponse`].

mod channel;
mod frame;
mod listener;

pub use channel::{Channel, ChannelSetup};
pub use frame::{encode_frame, read_frame, FrameError};
pub use listener::{listen, ListenerSetup};

use async_channel::Sender;
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::node::{Frame, Reply, Request};
use marblefall_coordination::voter::VotingStatus;
use serde::{Deserialize, Serialize};

/// The version of the protocol.
const VERSION: u16 = 1;

/// The first frame on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    version: u16,
    group: String,
    peer: Peer,
}

/// Who opened a connection.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Peer {
    Member(MemberId),
    Operator,
}

impl Hello {
    /// The first frame of a member's connection.
    pub fn from_member(group: &str, member: MemberId) -> Hello {
        Hello {
            version: VERSION,
            group: group.to_owned(),
            peer: Peer::Member(member),
        }
    }

    /// The first frame of an operator's connection.
    pub fn from_operator(group: &str) -> Hello {
        Hello {
            version: VERSION,
            group: group.to_owned(),
            peer: Peer::Operator,
        }
    }

    /// The member that opened the connection; `None` for an operator.
    pub fn member(&self) -> Option<MemberId> {
        match self.peer {
            Peer::Member(member) => Some(member),
            Peer::Operator => None,
        }
    }
}

/// How a daemon sees itself, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LocalStatus {
    /// Its name.
    pub member: String,
    /// The revision that it has applied.
    pub applied: Option<u64>,
    /// Whether it may act: `acts`, `still` or `shut`, as operators read it.
    pub lease_state: String,
    /// The leader that it last heard.
    pub last_leader: Option<LastLeader>,
    /// Whether it participates in voting, if it is a voter.
    pub voting: Option<VotingStatus>,
}

/// A leader as a daemon last heard it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LastLeader {
    /// Its name.
    pub name: String,
    /// How many milliseconds ago.
    pub heard_ms_ago: u64,
}

/// What an operator is answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorResponse {
    /// The daemon that was asked.
    pub local: LocalStatus,
    /// The leader's reply, if one was reached.
    pub reply: Option<Reply>,
}

/// What the transport receives.
pub enum TransportEvent {
    /// A member has sent a frame.
    Frame(MemberId, Frame),
    /// The connection to a member was established.
    Connected(MemberId),
    /// An operator has sent a request.
    Request(Request, Sender<OperatorResponse>),
}

#[cfg(test)]
mod tests;
