//! What the courier has with discovery: the watch of the list, and the notices of ends.

use super::http::{self, Chunks, Framing, Piece};
use super::link::{until, Link, Stop};
use crate::core::engine::{Host, Input};
use crate::core::{End, Seq};
use crate::say;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use marblefall_decisions::{DestinationId, KindId, Listing, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const HEAD: usize = 16 * 1024;
/// The longest line of a watch: a list of some thousand hosts.
const LINE: usize = 4 * 1024 * 1024;
/// An empty line comes every 2 s; a watch that is silent for so long is given up.
const SILENCE: Duration = Duration::from_secs(7);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// So many instances may ask for the list at the same moment ...
const FEW: usize = 4;
/// ... and each further one adds so much to the time over which all of them ask once.
const EACH: Duration = Duration::from_millis(80);
/// ... but never longer than this: what discovery has counts as told to a courier 6 s after it changed, and 4 s
/// after discovery moved, whether the courier asked or not. A watch that ended waits up to one and a half times
/// so long and a backoff, which leaves room for the connection and the answer within the shorter bound.
const TOLD: Duration = Duration::from_millis(2500);
const NOTICE_PATIENCE: Duration = Duration::from_secs(2);
/// Notices that go out together at most.
const NOTICES: usize = 200;

/// The list, or changes to it.
#[derive(Debug, Deserialize)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// Its entries.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// One entry of the list.
#[derive(Debug, Deserialize)]
pub struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: String,
    #[serde(default)]
    size: f64,
}

/// The names that stand for numbers in the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

impl List {
    /// The same as the core takes it.
    pub fn input(self, names: &Names) -> Input {
        let place = |all: &[String], name: &str| all.iter().position(|have| have == name);
        let host = |member: Member| Host {
            destination: DestinationId(member.cell),
            kind: KindId(place(&names.kinds, &member.flavor).unwrap_or(usize::MAX)),
            zone: ZoneId(place(&names.zones, &member.locality).unwrap_or(usize::MAX)),
            listing: match member.phase.as_str() {
                "SERVING" => Listing::On,
                "DELETED" => Listing::Gone,
                // What is not known to be served gets nothing new.
                _ => Listing::Draining,
            },
            share: member.size,
            weight: None,
            name: member.id,
            address: member.host_port,
        };
        let hosts = self.members.into_iter().map(host).collect();
        if self.complete {
            Input::Listed(hosts)
        } else {
            Input::Changed(hosts)
        }
    }
}

/// Where discovery is: an address, and where news of another one comes from.
pub struct Home {
    /// Where it is now.
    pub address: SocketAddr,
    /// Where it is from now on.
    pub moves: Receiver<SocketAddr>,
}

impl Home {
    /// Waits for something, unless discovery moves meanwhile: nothing that is under way at the old address is
    /// worth waiting for, as that one no longer answers.
    async fn unless_moved<T>(&mut self, what: impl future::Future<Output = T>) -> Option<T> {
        let moved = async {
            match self.moves.recv().await {
                Ok(to) => Err(to),
                Err(_) => future::pending().await,
            }
        };
        match future::or(moved, async { Ok(what.await) }).await {
            Ok(done) => Some(done),
            Err(to) => {
                say!(code = "moved", "discovery {}: connection ended, moved to {to}", self.address);
                self.address = to;
                None
            }
        }
    }
}

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

/// Tells the platform of ends, worded by the front that owes them, each until it is taken.
pub async fn notices(
    mut home: Home,
    owed: Receiver<(Seq, Vec<u8>, End)>,
    taken: Sender<Input>,
    word: fn(&[u8], End) -> String,
) {
    let mut kept: Option<Link> = None;
    let mut wait = BACKOFF.0;
    let mut due: Vec<(Seq, String)> = Vec::new();
    loop {
        let address = home.address;
        let turn = async {
            if due.is_empty() {
                let (seq, id, end) = owed.recv().await.ok()?;
                due.push((seq, word(&id, end)));
            }
            while due.len() < NOTICES {
                let Ok((seq, id, end)) = owed.try_recv() else { break };
                due.push((seq, word(&id, end)));
            }
            let body: String = due.iter().map(|(_, line)| line.as_str()).collect();
            let told = until(Instant::now() + NOTICE_PATIENCE, tell(&mut kept, address, &body)).await;
            let code = match told.unwrap_or(Err(Stop::Late)) {
                Ok(204) => {
                    wait = BACKOFF.0;
                    return Some(true);
                }
                Ok(status) => status.to_string(),
                Err(stop) => stop.code().to_owned(),
            };
            kept = None;
            say!(code = %code, "discovery {address}: {} notices not taken", due.len());
            Timer::after(wait).await;
            wait = (wait * 2).min(BACKOFF.1);
            Some(false)
        };
        match home.unless_moved(turn).await {
            Some(None) => return,
            Some(Some(false)) => {}
            Some(Some(true)) => {
                for (seq, _) in due.drain(..) {
                    let _ = taken.send(Input::NoticeTaken(seq)).await;
                }
            }
            // What is due goes to the new address, also what the old one may have taken: a notice does no harm.
            None => (kept, wait) = (None, BACKOFF.0),
        }
    }
}

/// Tells it over the connection that is kept or a new one, which is kept then if it can be.
async fn tell(kept: &mut Option<Link>, address: SocketAddr, body: &str) -> Result<u16, Stop> {
    let mut link = match kept.take().filter(Link::is_fresh) {
        Some(link) => link,
        None => Link::connect(address).await.map_err(Stop::Broke)?,
    };
    let len = body.len();
    let head = format!("POST /status HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len}\r\n\r\n");
    link.write(head.as_bytes(), body.as_bytes()).await.map_err(Stop::Broke)?;
    let head = link.head(HEAD).await?;
    let read = http::response(&link.bytes()[..head])?;
    let (status, framing, keeps) = (read.status, read.framing, read.keeps);
    let len = link.body(head, framing, HEAD).await?;
    link.consume(head + len);
    *kept = Some(link).filter(|_| keeps);
    Ok(status)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    /// Plays instances that lose their watches together against a discovery that hands out so many lists a second and
    /// turns away what has waited for 2 s; gives for each the second in which it was served.
    fn served(instances: usize, rate: f64, seconds: u32) -> Vec<Option<f64>> {
        let mut all: Vec<Asking> =
            (0..instances).map(|n| Asking::new(instances, n as u64, Duration::from_secs(10))).collect();
        let mut asks: Vec<f64> = all.iter_mut().map(|asking| asking.first().as_secs_f64()).collect();
        let (mut queue, mut room): (VecDeque<(usize, f64)>, f64) = (VecDeque::new(), 0.0);
        let mut done = vec![None; instances];
        for step in 0..seconds * 100 {
            let now = f64::from(step) / 100.0;
            for (n, at) in asks.iter_mut().enumerate().filter(|(_, at)| **at <= now) {
                *at = f64::INFINITY;
                queue.push_back((n, now));
            }
            room = (room + rate / 100.0).min(1.0);
            while room >= 1.0 && !queue.is_empty() {
                // What is turned away has cost discovery as much.
                room -= 1.0;
                let (n, since) = queue.pop_front().expect("not empty");
                if now - since < 2.0 {
                    done[n] = Some(now);
                } else {
                    asks[n] = now + all[n].next(false).as_secs_f64();
                }
            }
        }
        done
    }

    /// 70 of a hundred couriers came back at once, each asked again within a second of being turned away, and none got the
    /// list again (`herd+vast`, seed 3: 1,513 requests, no answer in 20 s).
    #[test]
    fn a_hundred_that_come_back_together_get_the_list_from_a_discovery_that_serves_eighteen_a_second() {
        let done = served(100, 18.0, 20);
        assert!(
            done.iter().all(Option::is_some),
            "{} never served",
            done.iter().filter(|at| at.is_none()).count()
        );
        let late = done.iter().flatten().filter(|at| **at > 10.0).count();
        assert!(late <= 5, "{late} served after 10 s");
    }

    #[test]
    fn a_few_ask_at_once_and_many_within_the_time_they_must() {
        assert_eq!(Asking::new(3, 7, Duration::ZERO).first(), Duration::ZERO);
        let mut asking = Asking::new(5000, 7, Duration::from_secs(10));
        assert!((0..100).all(|_| asking.first() <= Duration::from_secs(10)));
    }

    /// On a roll day of 300 couriers, drains were broken 277 times: after discovery moved, couriers waited up to
    /// 23.7 s before they asked the new address, while its news counted as told 4 s after the move.
    #[test]
    fn however_many_there_are_each_asks_in_time_for_news_to_count_as_told() {
        let mut asking = Asking::new(300, 11, Duration::ZERO);
        assert!((0..200).all(|_| asking.first() <= TOLD));
        assert!((0..200).all(|_| asking.next(true) < Duration::from_secs(4)));
    }
}
