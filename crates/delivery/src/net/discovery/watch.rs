//! The watch of the list, and when it is asked for.

use super::{Home, List, Names, BACKOFF, HEAD};
use crate::core::engine::EngineEvent;
use crate::log_line;
use crate::net::http::{self, Chunks, Framing, Piece};
use crate::net::link::Link;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::{self, Future};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The longest line of a watch: a list of some thousand hosts.
const LINE: usize = 4 * 1024 * 1024;
/// An empty line comes every 2 s while nothing changes: a watch on which no whole line came for so long has fallen silent,
/// however many bytes trickle in. What it misses counts as told 6 s after that, so that another one is asked for beside
/// it and has told the list well before then ...
const SILENCE: Duration = Duration::from_millis(2600);
/// ... with the couriers' requests spread over no more than this ...
const SPREAD: Duration = Duration::from_millis(1200);
/// ... and one that has told nothing for so long is followed by yet another.
const ANSWER: Duration = Duration::from_millis(1500);
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
        Asking {
            round,
            draws: fastrand::Rng::with_seed(seed),
            wait: BACKOFF.0,
        }
    }

    /// How long it waits before it asks for the first time, also at another address; what it knows serves until then.
    pub fn first(&mut self) -> Duration {
        self.wait = BACKOFF.0;
        self.round.mul_f64(self.draws.f64())
    }

    /// How long it waits once a watch has fallen silent: what it misses counts as told soon.
    pub fn again(&mut self) -> Duration {
        self.round.min(SPREAD).mul_f64(self.draws.f64())
    }

    /// How long it waits after a watch that has ended, which told something or did not.
    pub fn next(&mut self, told: bool) -> Duration {
        self.wait = if told {
            BACKOFF.0
        } else {
            (self.wait * 2).min(BACKOFF.1)
        };
        self.wait + self.round.mul_f64(0.5 + self.draws.f64())
    }
}

/// Watches the list for ever, from a version on; each watch that ends or falls silent is followed by another.
pub async fn watch(
    mut home: Home,
    names: Names,
    since: u64,
    mut asking: Asking,
    news: Sender<EngineEvent>,
) {
    let since = Cell::new(since);
    // A new life asks at once: what it was told in the last one may be old, and changes since count as told to it
    // as soon as to those who watched.
    let mut wait = Duration::ZERO;
    loop {
        let address = home.address;
        let open = || Open::new(follow(address, &names, &since, &news));
        let turn = Watches::new(open, &mut asking, wait).run(address);
        if home.unless_moved(turn).await.is_none() {
            // Versions are the old address's own count: the new one is asked for the whole list.
            since.set(0);
            wait = asking.first();
        }
    }
}

/// What a watch has told so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    /// When it last told a whole line, or was opened.
    at: Instant,
    /// Whole lines, empty ones counted.
    lines: u64,
    /// Whether one of them was a list.
    list: bool,
}

/// A watch that is open or on its way up.
struct Open<'a> {
    task: Pin<Box<dyn Future<Output = &'static str> + 'a>>,
    told: Rc<Cell<Told>>,
}

impl<'a> Open<'a> {
    fn new<F: Future<Output = &'static str> + 'a>(
        follow: impl FnOnce(Rc<Cell<Told>>) -> F,
    ) -> Open<'a> {
        let told = Rc::new(Cell::new(Told {
            at: Instant::now(),
            lines: 0,
            list: false,
        }));
        Open {
            task: Box::pin(follow(told.clone())),
            told,
        }
    }

    /// Runs it on; says if it told something or ended.
    fn poll(&mut self, context: &mut Context<'_>) -> Option<Heard> {
        let before = self.told.get().lines;
        match self.task.as_mut().poll(context) {
            Poll::Ready(code) => Some(Heard::FinalOutcome(code)),
            Poll::Pending => (self.told.get().lines > before).then_some(Heard::Line),
        }
    }
}

enum Heard {
    Line,
    FinalOutcome(&'static str),
}

/// The watch that tells the list, and another that is opened beside it once it has fallen silent. The silent one is kept
/// until then: it may have been discovery that was silent, and whichever of them tells first is the one that counts.
struct Watches<'a, 'w, F> {
    open: F,
    asking: &'a mut Asking,
    serving: Option<Open<'w>>,
    coming: Option<Open<'w>>,
    /// When another one is opened, in place of one that is still coming.
    next: Option<Instant>,
}

impl<'a, 'w, F: Fn() -> Open<'w>> Watches<'a, 'w, F> {
    fn new(open: F, asking: &'a mut Asking, wait: Duration) -> Watches<'a, 'w, F> {
        Watches {
            open,
            asking,
            serving: None,
            coming: None,
            next: Some(Instant::now() + wait),
        }
    }

    async fn run(mut self, address: SocketAddr) {
        loop {
            self.time_passed(Instant::now(), address);
            let mut timer = self.wakes().map_or_else(Timer::never, Timer::at);
            future::poll_fn(|context| {
                let now = Instant::now();
                if let Some(heard) = self.coming.as_mut().and_then(|coming| coming.poll(context)) {
                    self.coming_heard(heard, now, address);
                    return Poll::Ready(());
                }
                if let Some(heard) = self
                    .serving
                    .as_mut()
                    .and_then(|serving| serving.poll(context))
                {
                    self.serving_heard(heard, now, address);
                    return Poll::Ready(());
                }
                Pin::new(&mut timer).poll(context).map(drop)
            })
            .await;
        }
    }

    /// When something is due even if nothing is heard.
    fn wakes(&self) -> Option<Instant> {
        let silent = self
            .serving
            .as_ref()
            .map(|serving| serving.told.get().at + SILENCE);
        let late = self
            .coming
            .as_ref()
            .map(|coming| coming.told.get().at + ANSWER);
        self.next.or_else(|| late.or(silent))
    }

    fn time_passed(&mut self, now: Instant, address: SocketAddr) {
        if self.next.is_none() && self.wakes().is_some_and(|at| at <= now) {
            self.next = Some(
                now + if self.coming.is_some() {
                    self.asking.next(false)
                } else {
                    self.asking.again()
                },
            );
        }
        if self.next.is_some_and(|at| at <= now) {
            self.next = None;
            if self.coming.replace((self.open)()).is_some() {
                log_line!(code = "no-answer", "discovery {address}: watch ended");
            }
        }
    }

    fn coming_heard(&mut self, heard: Heard, now: Instant, address: SocketAddr) {
        let coming = self.coming.take();
        match heard {
            Heard::Line => {
                self.next = None;
                if std::mem::replace(&mut self.serving, coming).is_some() {
                    log_line!(code = "silent", "discovery {address}: watch ended");
                }
            }
            Heard::FinalOutcome(code) => self.ended(code, coming, now, address),
        }
    }

    fn serving_heard(&mut self, heard: Heard, now: Instant, address: SocketAddr) {
        match heard {
            Heard::Line => {
                self.next = None;
                if self.coming.take().is_some() {
                    log_line!(code = "not-needed", "discovery {address}: watch ended");
                }
            }
            Heard::FinalOutcome(code) => {
                let serving = self.serving.take();
                self.ended(code, serving, now, address);
            }
        }
    }

    fn ended(&mut self, code: &str, watch: Option<Open<'w>>, now: Instant, address: SocketAddr) {
        log_line!(code, "discovery {address}: watch ended");
        // One that is coming up is as good as another.
        if self.coming.is_none() {
            let list = watch.is_some_and(|watch| watch.told.get().list);
            self.next.get_or_insert(now + self.asking.next(list));
        }
    }
}

/// Opens a watch and follows it to its end; gives the reason code.
fn follow<'a>(
    address: SocketAddr,
    names: &'a Names,
    since: &'a Cell<u64>,
    news: &'a Sender<EngineEvent>,
) -> impl FnOnce(Rc<Cell<Told>>) -> Pin<Box<dyn Future<Output = &'static str> + 'a>> {
    move |told| {
        Box::pin(async move {
            let Ok(mut link) = Link::connect(address).await else {
                return "no-connection";
            };
            let since_version = since.get();
            let head = format!(
                "GET /v1/endpoints?follow=1&since={since_version} HTTP/1.1\r\nHost: {address}\r\n\r\n"
            );
            if link.write(head.as_bytes(), b"").await.is_err() {
                return "reset";
            }
            let Ok(head) = link.head(HEAD).await else {
                return "no-answer";
            };
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
            let mut lines = Lines::default();
            loop {
                let piece = match chunks.next(link.bytes()) {
                    Ok(piece) => piece,
                    Err(_) => return "malformed",
                };
                match piece {
                    Piece::Done => return "far-end",
                    Piece::Skip(len) => link.consume(len),
                    Piece::More => match link.fill().await {
                        Ok(true) => {}
                        Ok(false) => return "far-end",
                        Err(_) => return "reset",
                    },
                    Piece::Content(len) => {
                        lines.push(&link.bytes()[..len]);
                        link.consume(len);
                        loop {
                            let list = match lines.next() {
                                Ok(Line::More) => break,
                                Ok(Line::Empty) => None,
                                Ok(Line::List(list)) => Some(list),
                                Err(code) => return code,
                            };
                            let Told {
                                lines,
                                list: before,
                                ..
                            } = told.get();
                            told.set(Told {
                                at: Instant::now(),
                                lines: lines + 1,
                                list: before || list.is_some(),
                            });
                            let Some(list) = list else { continue };
                            since.set(list.revision);
                            // The queue has no bound: a list never waits here, where its watch could be dropped with it.
                            if news.try_send(list.input(names)).is_err() {
                                return "stopped";
                            }
                        }
                    }
                }
            }
        })
    }
}

/// What stands next in the lines of a watch.
enum Line {
    More,
    Empty,
    List(List),
}

/// The lines of a watch, cut anywhere between chunks. A list may come indented, over many lines.
#[derive(Default)]
struct Lines {
    bytes: Vec<u8>,
    /// Up to here a list has begun and not ended.
    begun: usize,
}

impl Lines {
    fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    fn next(&mut self) -> Result<Line, &'static str> {
        while let Some(len) = self.bytes[self.begun..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.begun + len + 1;
            let text = self.bytes[..end].trim_ascii();
            // A list is read once it may be whole, not with each of its lines.
            let whole = match (text.first(), text.last()) {
                (None, _) => Some(Line::Empty),
                (Some(b'{'), Some(b'}')) => match serde_json::from_slice::<List>(text) {
                    Ok(list) => Some(Line::List(list)),
                    Err(error) if error.is_eof() => None,
                    Err(_) => return Err("malformed"),
                },
                (Some(b'{'), _) => None,
                _ => return Err("malformed"),
            };
            match whole {
                None => self.begun = end,
                Some(line) => {
                    self.bytes.drain(..end);
                    self.begun = 0;
                    return Ok(line);
                }
            }
        }
        if self.bytes.len() > LINE {
            return Err("line-too-long");
        }
        Ok(Line::More)
    }
}

#[cfg(test)]
mod tests;
