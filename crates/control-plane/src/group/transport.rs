//! The transport between the daemons of a group: frames over TCP. Each connection carries frames in one direction, from the
//! daemon that opened it.
//!
//! A connection begins with a [`Hello`]. The receiver acknowledges each frame with one byte, so that a connection that
//! accepts data without delivering it is detected. Connections are neither encrypted nor authenticated: a daemon listens
//! at its address in the manifest and nowhere else.
//!
//! Operators connect to the daemon of their home in the same way: the daemon responds to each [`Request`] with an
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

/// [`LocalStatus::lease_state`] of a member that may act.
pub const LEASE_OPEN: &str = "acts";
/// [`LocalStatus::lease_state`] of a member that is quiesced for a change.
pub const LEASE_SUSPENDED: &str = "still";
/// [`LocalStatus::lease_state`] of a member that holds no lease.
pub const LEASE_CLOSED: &str = "shut";

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

/// The state of a daemon, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LocalStatus {
    /// The member's name.
    pub member: String,
    /// The revision that it has applied.
    pub applied: Option<u64>,
    /// Whether it may act: [`LEASE_OPEN`], [`LEASE_SUSPENDED`] or [`LEASE_CLOSED`].
    pub lease_state: String,
    /// The leader that last sent it a message.
    pub last_leader: Option<LastLeader>,
    /// Whether it participates in voting, if it is a voter.
    pub voting: Option<VotingStatus>,
}

/// The last message that a daemon received from a leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LastLeader {
    /// The leader's name.
    pub name: String,
    /// Milliseconds since the message was received.
    pub contact_ms_ago: u64,
}

/// The response to an operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorResponse {
    /// The state of the daemon that received the request.
    pub local: LocalStatus,
    /// The leader's reply, if a leader could be reached.
    pub reply: Option<Reply>,
}

/// An event of the transport.
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
