//! Messages between daemons, and the actions that a node returns.

use super::operator_message::{Reply, Request};
use crate::identifiers::{Epoch, MemberId, Policy, ProposalId, Revision};
use crate::message::{ToLeader, ToMember};
use crate::voter::VoterMessage;
use serde::{Deserialize, Serialize};

/// The number of an operator's request. It is unique at the daemon that received the request from the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestNumber(pub u64);

/// A message between daemons. Frames are encoded as `postcard`, so the order of variants must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// A message from one voter to another.
    Voter(VoterMessage),
    /// A message from a member to the leader.
    ToLeader(ToLeader),
    /// A message from the leader of this epoch to a member.
    ToMember(Epoch, ToMember),
    /// An operator's request, forwarded to the leader.
    Request(RequestNumber, Request),
    /// The leader's reply to a request.
    Reply(RequestNumber, Reply),
}

/// An action that the node's driver must take. Actions are executed in order.
#[derive(Debug)]
pub enum NodeAction {
    /// Write these bytes to the voter's file. If that fails, call
    /// [`Node::handle_write_failed`](super::Node::handle_write_failed) and send none of the frames that follow.
    Write(Vec<u8>),
    /// Send this frame to a member. If that is this member, pass the frame to
    /// [`Node::handle_frame`](super::Node::handle_frame).
    Send(MemberId, Frame),
    /// Check a policy that is proposed to follow this revision against the messages that the instances hold, and call
    /// [`Node::handle_checked`](super::Node::handle_checked).
    CheckPolicy(ProposalId, Revision, Policy),
    /// Store the policy and act under it from now on.
    ApplyPolicy(Revision, Policy),
    /// Send this reply to the operator whose request has this number.
    Reply(RequestNumber, Reply),
    /// Write a log line with a reason code.
    Log(&'static str, String),
}
