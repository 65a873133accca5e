//! The watch of the list, and when it is asked for.

use super::{Home, List, Names, BACKOFF, HEAD};
use crate::core::engine::Input;
use crate::net::http::{self, Chunks, Framing, Piece};
use crate::net::link::{until, Link};
use crate::say;
use async_channel::Sender;
use async_io::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest line of a watch: a list of some thousand hosts.
const LINE: usize = 4 * 1024 * 1024;
/// An empty line comes every 2 s; a watch that is silent for so long is given up.
const SILENCE: Duration = Duration::from_secs(7);
/// So many instances may ask for the list at the same moment ...
const FEW: usize = 4;
/// ... and each further one adds so much to the time over which all of them ask once.
const EACH: Duration = Duration::from_millis(80);
/// ... but never longer than this: what discovery has counts as told to a courier 6 s after it changed, and 4 s
/// after discovery moved, whether the courier asked or not. A watch that ended waits up to one and a half times
/// so long and a backoff, which leaves room for the connection and the answer within the shorter bound.
const TOLD: Duration = Duration::from_millis(2500);

/// When an instance asks for the list. Discovery that serves a hundred may be overbooked: if all ask at once, most wait
/// in its queue until they are turned away, and if they then ask again at once, nobody is ever served. So the more there
/// are, the longer the time over which each draws its moment; a few ask at once.
#[derive(Debug)]
pub struct Asking {
    /// The time over which all of them ask once.
    round: Duration,
    draws: fastrand::Rng,
    wait: Duration,
}

impl Asking {
    /// For one instance of so many, by its seed; the list must be asked for within `most`, if that is not zero.
    pub fn new(instances: usize, seed: u64, most: Duration) -> Asking {
        let crowd = instances.saturating_sub(FEW).min(u32::MAX as usize) as u32;
        let most = if most.is_zero() { Duration::MAX } else { most };
        let round = EACH.saturating_mul(crowd).min(most).min(TOLD);
        Asking { round, draws: fastrand::Rng::with_seed(seed), wait: BACKOFF.0 }
    }

    /// How long it waits before it asks for the first time, also at another address; what it knows serves until then.
    pub fn first(&mut self) -> Duration {
        self.wait = BACKOFF.0;
        self.round.mul_f64(self.draws.f64())
    }

    /// How long it waits after a watch that has ended, which told something or did not.
    pub fn next(&mut self, told: bool) -> Duration {
        self.wait = if told { BACKOFF.0 } else { (self.wait * 2).min(BACKOFF.1) };
        self.wait + self.round.mul_f64(0.5 + self.draws.f64())
    }
}

/// Watches the list for ever, from a version on; each watch that ends is followed by another.
pub async fn watch(mut home: Home, names: Names, mut since: u64, mut asking: Asking, news: Sender<Input>) {
    // A new life asks at once: what it was told in the last one may be old, and changes since count as told to it
    // as soon as to those who watched.
    let mut wait = Duration::ZERO;
    loop {
        let (before, address) = (since, home.address);
        let turn = async {
            Timer::after(wait).await;
            let code = follow(address, &names, &mut since, &news).await;
            say!(code, "discovery {address}: watch ended");
            wait = asking.next(since > before);
        };
        if home.unless_moved(turn).await.is_none() {
            // Versions are the old address's own count: the new one is asked for the whole list.
            (since, wait) = (0, asking.first());
        }
    }
}

async fn follow(address: SocketAddr, names: &Names, since: &mut u64, news: &Sender<Input>) -> &'static str {
    let by = || Instant::now() + SILENCE;
    let Some(Ok(mut link)) = until(by(), Link::connect(address)).await else { return "no-connection" };
    let head = format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if !matches!(until(by(), link.write(head.as_bytes(), b"")).await, Some(Ok(()))) {
        return "reset";
    }
    let Some(Ok(head)) = until(by(), link.head(HEAD)).await else { return "no-answer" };
    let framing = match http::response(&link.bytes()[..head]) {
        Ok(read) if read.status == 200 => read.framing,
        Ok(_) => return "status",
        Err(_) => return "malformed",
    };
    link.consume(head);
    if framing != Framing::Chunked {
        return "not-chunked";
    }
    let mut chunks = Chunks::default();
    let mut line = Vec::new();
    loop {
        let piece = match chunks.next(link.bytes()) {
            Ok(piece) => piece,
            Err(_) => return "malformed",
        };
        match piece {
            Piece::Done => return "far-end",
            Piece::Skip(len) => link.consume(len),
            Piece::More => match until(by(), link.fill()).await {
                Some(Ok(true)) => {}
                Some(_) => return "reset",
                None => return "silent",
            },
            Piece::Content(len) => {
                // Lines may be cut anywhere between chunks, so they are joined up outside the buffer.
                line.extend(&link.bytes()[..len]);
                link.consume(len);
                while let Some(end) = line.iter().position(|byte| *byte == b'\n') {
                    let whole: Vec<u8> = line.drain(..=end).collect();
                    if whole.trim_ascii().is_empty() {
                        continue;
                    }
                    let Ok(list) = serde_json::from_slice::<List>(&whole) else { return "malformed" };
                    *since = list.revision;
                    if news.send(list.input(names)).await.is_err() {
                        return "stopped";
                    }
                }
                if line.len() > LINE {
                    return "line-too-long";
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
