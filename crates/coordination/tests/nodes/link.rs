//! Simulated connections between nodes.

use marblefall_coordination::node::Frame;
use std::collections::VecDeque;

/// The connection from one node to another. Frames arrive in the order in which they were sent.
pub struct Link {
    frames: VecDeque<(i64, Frame)>,
    partitioned_until: i64,
    /// Time at which the connection will be established; `None` while it is established.
    connects_at: Option<i64>,
}

impl Link {
    /// Creates a link whose connection will be established in the first step.
    pub fn new() -> Link {
        Link {
            frames: VecDeque::new(),
            partitioned_until: 0,
            connects_at: Some(0),
        }
    }

    /// Closes the connection and loses all frames until this time.
    pub fn partition(&mut self, until: i64) {
        self.partitioned_until = until;
        self.reconnect(until);
    }

    /// Sends a frame. It is lost if there is no connection.
    pub fn send(&mut self, now: i64, arrives_at: i64, frame: Frame) {
        if !self.is_partitioned(now) && self.connects_at.is_none() {
            let last = self.frames.back().map_or(0, |(at, _)| *at);
            self.frames.push_back((arrives_at.max(last), frame));
        }
    }

    /// Establishes the connection if that is due. Returns whether it was established.
    pub fn connect(&mut self, now: i64) -> bool {
        self.connects_at.take_if(|at| *at <= now).is_some()
    }

    /// Returns the next frame that has arrived.
    pub fn receive(&mut self, now: i64) -> Option<Frame> {
        let frame = self.frames.pop_front_if(|(at, _)| *at <= now);
        frame.map(|(_, frame)| frame)
    }

    pub fn is_partitioned(&self, now: i64) -> bool {
        self.partitioned_until > now
    }

    /// Closes the connection. It will be established again at this time.
    pub fn reconnect(&mut self, at: i64) {
        self.connects_at = Some(at);
        self.frames.clear();
    }
}
