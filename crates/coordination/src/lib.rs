//! Coordination of a group of daemons. Members act under a policy while they hold leases, and a change of the policy takes
//! effect at all members or at none. All parts are state machines that receive events and the time, and return actions. They
//! use no clocks, sockets, disks or threads, and do not depend on a policy's content.
//!
//! | module | state machine |
//! | --- | --- |
//! | [`node`] | one daemon, which is a member and may be a voter and the leader |
//! | [`member`] | requests leases, and may act while it holds one |
//! | [`leader`] | grants leases, and takes a proposed policy through the two-phase change |
//! | [`voter`] | replicates the log through the consensus library, elects the leader, maintains the leader's own lease |
//!
//! The committed log is an input of [`leader::Leader`]. The leader's driver guarantees that
//!
//! - entries are committed in the same order for every leader;
//! - a leader is elected only after all committed entries are applied to its state, and no entry of an earlier leader is
//!   committed after that;
//! - no other leader exists before the end of the leader's own lease.

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
