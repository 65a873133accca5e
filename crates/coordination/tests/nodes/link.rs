//! A simulated connection from one node to another.

use marblefall_coordination::node::Frame;
use std::collections::VecDeque;

/// The frames in flight from one node to another, which arrive in the order in which they were sent.
pub struct Link {
    frames: VecDeque<(i64, Frame)>,
    partitioned_until: i64,
    /// When the sender's connection is established; `None` while there is one.
    connects_at: Option<i64>,
}

impl Link {
    /// A link whose connection is established in the first step.
    pub fn new() -> Link {
        Link {
            frames: VecDeque::new(),
            partitioned_until: 0,
            connects_at: Some(0),
        }
    }

    /// Loses all frames until this time, and closes the connection.
    pub fn partition(&mut self, until: i64) {
        self.partitioned_until = until;
        self.reconnect(until);
    }

    /// Sends a frame. It is lost without a connection.
    pub fn send(&mut self, now: i64, arrives_at: i64, frame: Frame) {
        if !self.is_partitioned(now) && self.connects_at.is_none() {
            let last = self.frames.back().map_or(0, |(at, _)| *at);
            self.frames.push_back((arrives_at.max(last), frame));
        }
    }

    /// Establishes the connection if it is time to. Returns whether it was established.
    pub fn connect(&mut self, now: i64) -> bool {
        self.connects_at.take_if(|at| *at <= now).is_some()
    }

    /// The next frame that has arrived.
    pub fn receive(&mut self, now: i64) -> Option<Frame> {
        let frame = self.frames.pop_front_if(|(at, _)| *at <= now);
        frame.map(|(_, frame)| frame)
    }

    pub fn is_partitioned(&self, now: i64) -> bool {
        self.partitioned_until > now
    }

    /// Closes the connection, which is established again at this time.
    pub fn reconnect(&mut self, at: i64) {
        self.connects_at = Some(at);
        self.frames.clear();
    }
}
