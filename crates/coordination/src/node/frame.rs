//! Messages between daemons, and the actions that a node returns.

use super::operator_message::{Reply, Request};
use crate::identifiers::{Epoch, MemberId, Policy, ProposalId, Revision};
use crate::message::{ToLeader, ToMember};
use crate::voter::VoterMessage;
use serde::{Deserialize, Serialize};

/// The number of an operator's request, which is unique at the daemon that received the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// A message between daemons, encoded as `postcard`: the order of variants must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Between voters.
    Voter(VoterMessage),
    /// From a member to the leader.
    ToLeader(ToLeader),
    /// From the leader of this epoch to a member.
    ToMember(Epoch, ToMember),
    /// An operator's request, for the leader.
    Request(RequestNumber, Request),
    /// The leader's reply to a request.
    Reply(RequestNumber, Reply),
}

/// An action that the node's driver must take. Actions are executed in order.
#[derive(Debug)]
pub enum NodeAction {
    /// Write this to the voter's file. If that fails, call [`Node::handle_write_failed`](super::Node::handle_write_failed)
    /// and send nothing of what follows.
    Write(Vec<u8>),
    /// Send this frame. If it is for this member, pass it to [`Node::handle_frame`](super::Node::handle_frame).
    Send(MemberId, Frame),
    /// Check a policy that is proposed to follow this revision against the messages that the instances hold, and call
    /// [`Node::handle_checked`](super::Node::handle_checked).
    CheckPolicy(ProposalId, Revision, Policy),
    /// Store the policy and put it in force.
    ApplyPolicy(Revision, Policy),
    /// Send an operator this reply.
    Reply(RequestNumber, Reply),
    /// Write a log line with a reason code.
    Log(&'static str, String),
}
