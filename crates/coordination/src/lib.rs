//! Coordination of a group of daemons: leases, by which members act under a policy, and the change from one policy to the
//! next, at all members or at none. All parts are state machines that receive events and time and return actions. They use
//! no clocks, sockets, disks or threads, and do not depend on a policy's content.
//!
//! | module | state machine |
//! | --- | --- |
//! | [`node`] | one daemon: a member, perhaps a voter, perhaps the leader |
//! | [`member`] | requests leases, and may act while it holds one |
//! | [`leader`] | grants leases, and takes a proposed policy through the two-phase change |
//! | [`voter`] | the replicated log by the consensus library, leader election, the leader's own lease |
//!
//! The committed log is an input of [`leader::Leader`]. Its driver guarantees that
//!
//! - entries are committed in one order, which is the same for every leader;
//! - a leader is elected only after all committed entries are applied to its state, and no entry of an earlier leader is
//!   committed after that;
//! - no other leader exists until the end of the lease that the leader is given.

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
