//! What the daemons of a group agree on: which member may act under which policy until when (leases), and the change of
//! all members from one policy to the next, at every one or at none. All parts are state machines that are fed with
//! events and time and hand out actions: no clocks, sockets, disk or threads, and no knowledge of a policy's content.
//!
//! | module | state machine |
//! | --- | --- |
//! | [`node`] | one daemon: a member, perhaps a voter, perhaps the leader |
//! | [`member`] | requests leases, and may act while it holds one |
//! | [`leader`] | grants leases, and takes a proposed policy through the two-phase change |
//! | [`voter`] | the replicated log by the consensus library, leader election, the leader's own lease |
//!
//! The committed log is an input of [`leader::Leader`]. Whoever drives it guarantees three things: entries are committed
//! in one order that every leader sees; a leader is elected only once all that was committed before is applied to its
//! state, and what an earlier leader appended is committed before that or never; and it is the only leader until the end
//! of the lease that it is given.

#![forbid(unsafe_code)]

pub mod identifiers;
pub mod leader;
mod log_storage;
pub mod member;
pub mod message;
pub mod node;
pub mod persistent_state;
pub mod replicated_state;
pub mod settings;
pub mod voter;
