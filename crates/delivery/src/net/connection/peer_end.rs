//! Detection of the end of a connection by its peer, whatever bytes of the peer are still unread.

use super::Connection;
use crate::net::memory_budget::CONNECTION_ALLOWANCE;
use async_io::Timer;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::time::Duration;

/// Interval at which a connection with unread bytes is checked. A read would not return its end before those bytes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const WITHOUT_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// The way in which a peer has ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerEnd {
    /// The peer sends no more. It may have closed the connection, or may still await a response.
    EndedSending,
    /// The connection is reset, or closed in both directions.
    Disconnected,
}

impl Connection {
    /// Waits until the peer ends the connection at least in this way. Bytes that are received in the meantime stay in the
    /// buffer, up to [`CONNECTION_ALLOWANCE`], and further ones in the socket.
    pub async fn wait_for_end(&mut self, end: PeerEnd) {
        while !self.peer_ended && self.bytes().len() < CONNECTION_ALLOWANCE {
            match self.fill().await {
                Ok(_) => {}
                Err(_) => return,
            }
        }
        while self.peer_end().is_none_or(|found| found < end) {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Returns the way in which the peer has ended the connection, if it has.
    pub fn peer_end(&mut self) -> Option<PeerEnd> {
        let mut polled = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        // If the poll fails, the next check repeats it.
        let _ = poll(&mut polled, Some(&WITHOUT_WAIT));
        let found = polled[0].revents();
        let has_ended = found.contains(PollFlags::RDHUP);
        self.peer_ended |= has_ended;
        // A socket that was never connected reports HUP alone.
        if has_ended && found.intersects(PollFlags::HUP | PollFlags::ERR) {
            Some(PeerEnd::Disconnected)
        } else {
            self.peer_ended.then_some(PeerEnd::EndedSending)
        }
    }
}
