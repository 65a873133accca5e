//! What a group of daemons agrees on: who may act under which policy until when (terms), and the switch of all from one
//! policy to the next, everywhere or nowhere. Both sides are machines that are fed with events and time and hand out
//! actions: no clocks, sockets, disk or threads, and nothing of what a policy says.
//!
//! The log of outcomes is an input. Whoever drives [`leader::Leader`] promises three things of it: entries are committed
//! in one order that every leader sees; a leader is told of its election only once all that was committed before is given
//! to it, and what an earlier leader appended is committed before that or never; and it is the only one until the end of the
//! lease that it is given.

pub mod book;
pub mod leader;
pub mod member;
pub mod seat;
pub mod store;
pub mod voter;
pub mod words;
