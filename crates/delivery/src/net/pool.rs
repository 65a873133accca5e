//! Legs to endpoints: connections are kept between legs, one leg at a time on each, and no leg is ever
//! sent again by itself, since once its last byte is out it may have run.

use super::http;
use super::link::{until, Link, Stop};
use crate::core::{Disposition, MessageId, Route};
use crate::counters::{add, Counters};
use crate::lease_guard::LeasePermit;
use crate::log_line;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use marblefall_scheduler::{EndpointId, Outcome, RateLimitReport, Span};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// An endpoint's answer has no use for a longer head.
const HEAD: usize = 16 * 1024;
/// Answers mean nothing beyond their head; a longer body than this is not worth its connection.
const BODY: usize = 64 * 1024;
/// Endpoints write an answer at once: what has not come so long after its first line is not going to.
const REST: Duration = Duration::from_millis(400);
/// ... nor is it waited for so long after the leg's time is up: its message's end may be due.
const REST_LATE: Duration = Duration::from_millis(100);
/// A kept connection that breaks within this time of its next use had been given up by its endpoint before.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Interim answers before the one that counts.
const INTERIM: usize = 32;
/// A wait that is told for longer is taken for this: it must not overflow a clock, nor outlast the day.
const LONGEST_WAIT_S: f64 = 3600.0;
/// A report of more calls a second than this is noise.
pub const MOST_RATE: f64 = 1e6;

struct Place {
    address: String,
    open: bool,
    idle: Vec<(Link, Instant)>,
}

impl Place {
    /// Ends idle connections that went idle before a time.
    fn end_idle(&mut self, id: EndpointId, before: Instant, code: &str) {
        self.idle.retain(|(_, since)| {
            let ends = *since < before;
            if ends {
                log_line!(host = id.0, code, "endpoint: connection ended");
            }
            !ends
        });
    }
}

/// What a front makes of a leg.
pub struct Call<'a> {
    /// It does not begin while this is to be left alone.
    pub route: Route,
    /// Words the head and the body for a number of milliseconds that will be waited.
    pub word: &'a dyn Fn(u64) -> (Vec<u8>, Cow<'a, [u8]>),
    /// What an answer says of the leg.
    pub judge: fn(&http::Response<'_>) -> Ended,
    /// Whether it may begin at this very moment; held while its first bytes go out.
    pub may: &'a dyn Fn() -> Option<LeasePermit<'a>>,
}

/// How a leg ended.
#[derive(Debug)]
pub struct Ended {
    /// Its outcome.
    pub outcome: Outcome,
    /// What becomes of the message.
    pub disposition: Disposition,
    /// What the answer told of the limit.
    pub report: RateLimitReport,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended {
            outcome,
            disposition: Disposition::Undecided,
            report: RateLimitReport::default(),
        }
    }
}

/// What an instance may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A connection that takes longer to come up has failed.
    pub dial: Duration,
    /// A connection idle for longer is closed.
    pub idle: Duration,
    /// Connections at once, idle ones counted.
    pub connections: usize,
}

/// The connections of one instance to all endpoints.
pub struct Pool {
    places: RefCell<BTreeMap<EndpointId, Place>>,
    cancels: RefCell<HashMap<MessageId, Sender<()>>>,
    /// Until when routes have asked to be left alone.
    waits: RefCell<BTreeMap<Route, Instant>>,
    limits: Limits,
    connections: Rc<Cell<usize>>,
    counters: Rc<Counters>,
    /// No connection is kept any more.
    leaving: Cell<bool>,
}

/// A connection for a leg.
struct Opened {
    link: Link,
    /// Whether it was kept from an earlier one.
    kept: bool,
    /// Where it leads.
    to: SocketAddr,
}

/// Counts a connection for as long as it lasts.
struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: Limits, counters: Rc<Counters>) -> Pool {
        let (places, cancels, waits) = Default::default();
        let (connections, leaving) = (Rc::default(), Cell::new(false));
        Pool {
            places,
            cancels,
            waits,
            limits,
            connections,
            counters,
            leaving,
        }
    }

    /// What discovery says of an endpoint.
    pub fn place(&self, id: EndpointId, address: &str, open: bool) {
        let mut places = self.places.borrow_mut();
        let place = places.entry(id).or_insert_with(|| Place {
            address: address.to_owned(),
            open,
            idle: Vec::new(),
        });
        if place.address != address {
            address.clone_into(&mut place.address);
            place.end_idle(id, Instant::now(), "moved");
        }
        place.open = open;
        if !open {
            place.end_idle(id, Instant::now(), "draining");
        }
    }

    /// The list no longer names an endpoint.
    pub fn gone(&self, id: EndpointId) {
        if let Some(mut place) = self.places.borrow_mut().remove(&id) {
            place.end_idle(id, Instant::now(), "not-listed");
        }
    }

    /// Closes what is idle to an endpoint.
    pub fn close_idle(&self, id: EndpointId) {
        if let Some(place) = self.places.borrow_mut().get_mut(&id) {
            place.end_idle(id, Instant::now(), "told-to-close");
        }
    }

    /// Keeps no connection from here on: the process that takes over needs the places that hosts have for them.
    pub fn leave(&self) {
        self.leaving.set(true);
        for (id, place) in self.places.borrow_mut().iter_mut() {
            place.end_idle(*id, Instant::now(), "handed-over");
        }
    }

    /// Closes what has been idle too long: a leg written to a connection that the far side is closing ends as
    /// a reset, and nobody can tell whether it ran.
    pub fn retire(&self) {
        let Some(before) = Instant::now().checked_sub(self.limits.idle) else {
            return;
        };
        for (id, place) in self.places.borrow_mut().iter_mut() {
            place.end_idle(*id, before, "idle");
        }
    }

    /// Leaves a route alone until then. The module keeps what it chooses later from it; this is for what was chosen
    /// before and is still on its way up.
    pub fn told(&self, route: Route, until: Instant) {
        let (mut waits, now) = (self.waits.borrow_mut(), Instant::now());
        waits.retain(|_, until| *until > now);
        let known = waits.entry(route).or_insert(until);
        *known = until.max(*known);
    }

    fn must_wait(&self, route: Route, now: Instant) -> bool {
        self.waits
            .borrow()
            .get(&route)
            .is_some_and(|until| now < *until)
    }

    /// Calls off the leg of a message.
    pub fn abandon(&self, seq: MessageId) {
        if let Some(cancel) = self.cancels.borrow().get(&seq) {
            let _ = cancel.try_send(());
        }
    }

    /// Runs one leg to its end.
    pub async fn leg(
        &self,
        seq: MessageId,
        id: EndpointId,
        call: Call<'_>,
        cut_at: Instant,
        write_by: Instant,
    ) -> Ended {
        let (cancel, cancelled) = async_channel::bounded(1);
        self.cancels.borrow_mut().insert(seq, cancel);
        let ended = self.run(id, call, cut_at, write_by, &cancelled).await;
        self.cancels.borrow_mut().remove(&seq);
        ended
    }

    async fn run(
        &self,
        id: EndpointId,
        call: Call<'_>,
        cut_at: Instant,
        write_by: Instant,
        cancelled: &Receiver<()>,
    ) -> Ended {
        let Opened { mut link, kept, to } = match self.open(id, cut_at, cancelled).await {
            Ok(opened) => opened,
            Err(outcome) => return outcome.into(),
        };
        // The way up may have taken long: an endpoint may have begun to drain, moved or told another call to wait, a window
        // may have closed.
        let now = Instant::now();
        if !self.is_open_at(id, to)
            || now >= write_by
            || now >= cut_at
            || self.must_wait(call.route, now)
        {
            self.keep(id, to, link);
            return Outcome::NotSent.into();
        }
        let (head, body) = (call.word)((cut_at - now).as_millis() as u64);
        let begun = {
            // Where the endpoint reads slowly, its last byte may be held up as long.
            let whole = async {
                let write = until(cut_at.min(write_by), link.write(&head, &body));
                matches!(race(cancelled, write).await, Some(Some(Ok(()))))
            };
            let mut writing =
                std::pin::pin!(unless(|| self.must_wait(call.route, Instant::now()), whole));
            // What the first bytes do not take with them goes on without.
            let first = match (call.may)() {
                None => None,
                Some(_act) => Some(future::poll_once(&mut writing).await),
            };
            match first {
                Some(None) => Some(writing.await),
                first => first.flatten(),
            }
        };
        let Some(written) = begun else {
            self.keep(id, to, link);
            return Outcome::NotSent.into();
        };
        if written != Some(true) {
            // Its last byte was never written, so it never ran; on a kept connection that tells nothing else.
            let held_back = written.is_none() || Instant::now() >= write_by;
            let code = if held_back {
                "held-back-in-mid-write"
            } else {
                "write-failed"
            };
            log_line!(host = id.0, code, "endpoint: connection ended");
            return if kept || held_back {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            }
            .into();
        }
        let written = Instant::now();
        let answered = race(cancelled, answer(&mut link, call.judge, cut_at)).await;
        if let Some((
            Ended {
                outcome:
                    Outcome::Rejected {
                        retry_after: Some(wait),
                    },
                ..
            },
            _,
        )) = &answered
        {
            self.told(
                call.route,
                Instant::now() + Duration::from_micros(wait.0.max(0) as u64),
            );
        }
        let (ended, code) = match answered {
            Some((ended, Ok(()))) => {
                self.keep(id, to, link);
                return ended;
            }
            Some((ended, Err(_)))
                if ended.outcome == Outcome::Reset && kept && written.elapsed() < AT_ONCE =>
            {
                (Outcome::StaleConnection.into(), "reset-when-used-again")
            }
            // Turned away and closed over a connection that was opened for it: its endpoint takes no more connections, which
            // says nothing of the calls that it would take.
            Some((ended, Err("not-kept")))
                if ended.outcome == Outcome::Rejected { retry_after: None } && !kept =>
            {
                (Outcome::ConnectFailed.into(), "no-place-left")
            }
            Some((ended, Err(code))) => (ended, code),
            None => (Outcome::Cancelled.into(), "called-off"),
        };
        log_line!(host = id.0, code, "endpoint: connection ended");
        ended
    }

    /// A connection that is kept, or a new one.
    async fn open(
        &self,
        id: EndpointId,
        cut_at: Instant,
        cancelled: &Receiver<()>,
    ) -> Result<Opened, Outcome> {
        let to: SocketAddr = {
            let mut places = self.places.borrow_mut();
            let place = places
                .get_mut(&id)
                .filter(|place| place.open)
                .ok_or(Outcome::NotSent)?;
            let to = place.address.parse().map_err(|_| Outcome::ConnectFailed)?;
            while let Some((link, since)) = place.idle.pop() {
                if since.elapsed() < self.limits.idle && link.is_fresh() {
                    return Ok(Opened {
                        link,
                        kept: true,
                        to,
                    });
                }
                log_line!(
                    host = id.0,
                    code = "closed-while-idle",
                    "endpoint: connection ended"
                );
            }
            to
        };
        self.make_room()?;
        // Counted from here on: many that come up together must not pass the cap together.
        self.connections.set(self.connections.get() + 1);
        let counted = Counted(self.connections.clone());
        add(&self.counters.dialled);
        let dial_by = cut_at.min(Instant::now() + self.limits.dial);
        match race(cancelled, until(dial_by, Link::connect(to))).await {
            Some(Some(Ok(link))) => Ok(Opened {
                link: link.with(Box::new(counted)),
                kept: false,
                to,
            }),
            // Called off before anything was written.
            None => Err(Outcome::NotSent),
            Some(late) => {
                let code = if late.is_some() {
                    "refused"
                } else {
                    "dial-timed-out"
                };
                log_line!(host = id.0, code, "endpoint: no connection");
                Err(Outcome::ConnectFailed)
            }
        }
    }

    /// Keeps to the cap on sockets: the connection that has been idle longest makes room.
    fn make_room(&self) -> Result<(), Outcome> {
        if self.connections.get() < self.limits.connections {
            return Ok(());
        }
        let mut places = self.places.borrow_mut();
        let oldest = places
            .iter()
            .filter_map(|(id, place)| Some((place.idle.first()?.1, *id)))
            .min();
        let (_, id) = oldest.ok_or(Outcome::ConnectFailed)?;
        places
            .get_mut(&id)
            .into_iter()
            .for_each(|place| drop(place.idle.remove(0)));
        log_line!(
            host = id.0,
            code = "made-room",
            "endpoint: connection ended"
        );
        Ok(())
    }

    /// Whether an endpoint takes new legs, at that address: one that has moved may have left its own to another.
    fn is_open_at(&self, id: EndpointId, to: SocketAddr) -> bool {
        let places = self.places.borrow();
        places
            .get(&id)
            .is_some_and(|place| place.open && place.address.parse() == Ok(to))
    }

    fn keep(&self, id: EndpointId, to: SocketAddr, link: Link) {
        let keeps = self.is_open_at(id, to) && !self.leaving.get();
        match self.places.borrow_mut().get_mut(&id).filter(|_| keeps) {
            Some(place) => place.idle.push((link, Instant::now())),
            None => log_line!(host = id.0, code = "not-kept", "endpoint: connection ended"),
        }
    }
}

/// Waits for something unless this is so when it could go on.
async fn unless<T>(so: impl Fn() -> bool, what: impl future::Future<Output = T>) -> Option<T> {
    let mut what = std::pin::pin!(what);
    future::poll_fn(|context| match so() {
        true => std::task::Poll::Ready(None),
        false => what.as_mut().poll(context).map(Some),
    })
    .await
}

/// Waits for something unless the leg is called off.
async fn race<T>(cancelled: &Receiver<()>, what: impl future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(what.await) }, async {
        let _ = cancelled.recv().await;
        None
    })
    .await
}

/// Reads an answer: what it says of the leg, and whether its connection can be kept. An answer that cannot be
/// read to its end proves nothing, also one whose head says that the leg never ran: the endpoint may have run it and
/// spoilt its answer on the way. The one exception is a first line that says delivered, which stands whatever
/// comes after it. What has begun is waited for a moment only, also past the time at which a silent leg is cut.
async fn answer(
    link: &mut Link,
    judge: fn(&http::Response<'_>) -> Ended,
    cut_at: Instant,
) -> (Ended, Result<(), &'static str>) {
    for _ in 0..INTERIM {
        let status = match until(cut_at, link.status_line(HEAD)).await {
            Some(Ok(status)) => status,
            Some(Err(stop)) => return (unread(&stop).into(), Err(stop.code())),
            None => return (Outcome::TimedOut.into(), Err("timed-out")),
        };
        let by = (Instant::now() + REST).min(cut_at + REST_LATE);
        let read = until(by, rest(link, judge))
            .await
            .unwrap_or(Err(Stop::Late));
        match read {
            Ok(None) => continue,
            Ok(Some((ended, true))) => return (ended, Ok(())),
            Ok(Some((ended, false))) => return (ended, Err("not-kept")),
            Err(stop) => {
                let alone = http::Response::of(status);
                let said = judge(&alone).outcome;
                let outcome = if said == Outcome::Delivered {
                    said
                } else {
                    unread(&stop)
                };
                return (outcome.into(), Err(stop.code()));
            }
        }
    }
    (Outcome::Error.into(), Err("interim-without-end"))
}

/// What an answer that cannot be read says of its leg.
fn unread(stop: &Stop) -> Outcome {
    match stop {
        Stop::Fault(_) | Stop::Late => Outcome::Error,
        Stop::FinalOutcome | Stop::Cut | Stop::Broke(_) => Outcome::Reset,
    }
}

/// Reads what follows a status line; `None` where the answer proper is still to come.
async fn rest(
    link: &mut Link,
    judge: fn(&http::Response<'_>) -> Ended,
) -> Result<Option<(Ended, bool)>, Stop> {
    let head = link.head(HEAD).await?;
    let read = http::response(&link.bytes()[..head])?;
    if read.status < 200 {
        link.consume(head);
        return Ok(None);
    }
    let (ended, framing, keeps) = (judge(&read), read.framing, read.keeps);
    if !keeps && ended.outcome == Outcome::Delivered {
        return Ok(Some((ended, false)));
    }
    let whole = link.body(head, framing, BODY).await;
    match whole {
        Ok(len) => {
            link.consume(head + len);
            // What comes behind an answer belongs to no leg, and the next leg must not take it for its own.
            Ok(Some((ended, keeps && link.bytes().is_empty())))
        }
        // The report in a head that could be read counts even where the body is of no use.
        Err(_) if ended.outcome == Outcome::Delivered => Ok(Some((ended, false))),
        Err(stop) => Err(stop),
    }
}

/// The wait that an answer tells: in seconds, with or without decimals, or up to a date.
pub fn told_wait(read: &http::Response<'_>) -> Option<Span> {
    let text = read.fields.text("retry-after")?.trim();
    let until_date = |text| {
        let date = httpdate::parse_http_date(text).ok()?;
        Some(
            date.duration_since(SystemTime::now())
                .map_or(0.0, |left| left.as_secs_f64()),
        )
    };
    let secs = text.parse::<f64>().ok().or_else(|| until_date(text))?;
    let secs = Some(secs).filter(|secs| secs.is_finite() && *secs > 0.0)?;
    Some(Span::from_ms(secs.min(LONGEST_WAIT_S) * 1000.0))
}

/// Reads a report such as `TEXT x0=0.4, x1=25`. One that cannot be read in full is left out in full: half of it
/// may be as wrong as the rest.
pub fn report(text: &str) -> RateLimitReport {
    let read = || {
        let mut report = RateLimitReport::default();
        for pair in text.trim().strip_prefix("TEXT")?.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value: f64 = value.trim().parse().ok()?;
            match name.trim() {
                "x0" if (0.0..=1.0).contains(&value) => report.remaining = Some(value),
                "x1" if (0.0..=MOST_RATE).contains(&value) => report.limit = Some(value),
                "x0" | "x1" => return None,
                _ => {}
            }
        }
        Some(report)
    };
    read().unwrap_or_default()
}

#[cfg(test)]
mod tests;
