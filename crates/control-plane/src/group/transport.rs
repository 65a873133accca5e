//! The transport between the daemons of a group: frames over TCP. Each connection carries frames in one direction, from the
//! daemon that opened it.
//!
//! The first frame on a connection is a [`Hello`]. The receiver acknowledges each frame with one byte, so that a connection
//! that accepts data without delivering it is detected. Connections are neither encrypted nor authenticated. A daemon
//! therefore listens at a single address: its link in the manifest, or an address that was given instead.
//!
//! Operators' commands connect to the daemon of their home in the same way. The daemon responds to each [`Request`] with
//! an [`OperatorResponse`].

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

/// Version of the protocol between daemons.
const VERSION: u16 = 1;

/// The value of [`LocalStatus::lease_state`] for a member that may act.
pub const LEASE_OPEN: &str = "acts";
/// The value of [`LocalStatus::lease_state`] for a member that is quiesced for a change.
pub const LEASE_SUSPENDED: &str = "still";
/// The value of [`LocalStatus::lease_state`] for a member that holds no lease.
pub const LEASE_CLOSED: &str = "shut";

/// The first frame on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    version: u16,
    group: String,
    peer: Peer,
}

/// The kind of peer that opened a connection.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Peer {
    Member(MemberId),
    Operator,
}

impl Hello {
    /// Creates the first frame of a member's connection.
    pub fn from_member(group: &str, member: MemberId) -> Hello {
        Hello {
            version: VERSION,
            group: group.to_owned(),
            peer: Peer::Member(member),
        }
    }

    /// Creates the first frame of an operator's connection.
    pub fn from_operator(group: &str) -> Hello {
        Hello {
            version: VERSION,
            group: group.to_owned(),
            peer: Peer::Operator,
        }
    }

    /// Returns the member that opened the connection; `None` for an operator.
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
    /// The revision that the member has applied; `None` if it has applied none.
    pub applied: Option<u64>,
    /// The state of the member's lease: [`LEASE_OPEN`], [`LEASE_SUSPENDED`] or [`LEASE_CLOSED`].
    pub lease_state: String,
    /// The leader whose message the member received last; `None` if it has received none.
    pub last_leader: Option<LastLeader>,
    /// The state of the member's voter; `None` if it is not a voter.
    pub voting: Option<VotingStatus>,
}

/// The leader whose message a daemon received last.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LastLeader {
    /// The leader's name.
    pub name: String,
    /// Time since the message was received, in milliseconds.
    pub contact_ms_ago: u64,
}

/// The response to an operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorResponse {
    /// The state of the daemon that received the request.
    pub local: LocalStatus,
    /// The leader's reply; `None` if no reply arrived in time.
    pub reply: Option<Reply>,
}

/// An event of the transport.
pub enum TransportEvent {
    /// A frame was received from a member.
    Frame(MemberId, Frame),
    /// The connection to a member was established.
    Connected(MemberId),
    /// An operator's request was received. The response is sent to the channel.
    Request(Request, Sender<OperatorResponse>),
}

#[cfg(test)]
mod tests;
