//! A partner: its endpoints with their queues, its limit, its outages, and how it comes back from them.
//!
//! No I/O and no clock. What becomes of a call is settled when it comes: outages are known beforehand, and queues are
//! served in order.

use crate::distribution::Service;
use marblefall_scheduler::{Outcome, Span, Time};
use rand::Rng;
use std::collections::VecDeque;

/// A limit on the calls of all couriers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Tokens that come at a rate a second, up to a burst.
    Rate {
        /// Tokens a second.
        rate: f64,
        /// The most there are.
        burst: f64,
    },
    /// So many calls in each window; the next begins with the first call after one has ended.
    Window {
        /// Calls in one.
        calls: u32,
        /// Its length.
        length: Span,
    },
}

/// What goes wrong in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// No connection.
    Refuse,
    /// Connections break.
    Reset,
    /// No answer ever comes.
    Hang,
    /// Calls are answered with an error.
    Fail,
    /// All calls are turned away, with the wait told if the partner tells waits.
    Shut,
}

/// An outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// What goes wrong.
    pub trouble: Trouble,
    /// From when on.
    pub from: Time,
    /// Until when.
    pub until: Time,
    /// For which part of the calls.
    pub part: f64,
}

/// How it takes load once an outage is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// The part of its capacity with which it begins.
    pub from: f64,
    /// How long until it has all of it, from its first call on.
    pub length: Span,
    /// More than this multiple of what it can do ...
    pub multiple: f64,
    /// ... over this, and it falls ...
    pub over: Span,
    /// ... for so long.
    pub stays_down: Span,
}

/// How a partner deals with connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wire {
    /// So many an endpoint holds; more are refused.
    pub most: Option<usize>,
    /// It closes one that was idle for so long, without a word.
    pub idle_close: Option<Span>,
    /// A new one takes so long to come up, beside the ways.
    pub connect: Span,
}

/// What a partner is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// How many endpoints it has.
    pub endpoints: usize,
    /// How long a call takes.
    pub service: Service,
    /// Calls that an endpoint works on at once.
    pub servers: usize,
    /// Calls that may wait for that at an endpoint; more are turned away.
    pub queue: usize,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
    /// Whether what is turned away is told how long to wait.
    pub tells_wait: bool,
    /// Whether a call that is turned away counts against the limit.
    pub counts_refused: bool,
    /// Part of the calls that is turned away by chance.
    pub refuses: f64,
    /// Its outages.
    pub outages: Vec<Outage>,
    /// How it comes back from them.
    pub cold: Option<Cold>,
    /// Calls a second as the list has them; none if it says nothing.
    pub listed: Option<f64>,
    /// How it deals with connections; none if they are without limit or cost.
    pub wire: Option<Wire>,
}

impl Partner {
    /// Calls a second that it can take when it is warm.
    pub fn capacity(&self) -> f64 {
        let served =
            (self.endpoints * self.servers) as f64 / (self.service.mean_ms / 1000.0).max(1e-6);
        match self.limit {
            Some(Limit::Rate { rate, .. }) => served.min(rate),
            Some(Limit::Window { calls, length }) => {
                served.min(f64::from(calls) / length.secs().max(1e-6))
            }
            None => served,
        }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fate {
    /// How it ends for its courier, and when the answer leaves; `None` if none ever does.
    pub answer: Option<(Time, Outcome)>,
    /// Whether the call pushed the partner over.
    pub fell: bool,
}

impl Fate {
    fn at(time: Time, outcome: Outcome) -> Fate {
        Fate {
            answer: Some((time, outcome)),
            fell: false,
        }
    }
}

/// A partner as it runs.
#[derive(Debug)]
pub struct Running {
    like: Partner,
    /// For each endpoint when each of its servers is free, and when the calls that wait will begin.
    servers: Vec<(Vec<Time>, VecDeque<Time>)>,
    tokens: f64,
    filled: Time,
    window: Option<(Time, u32)>,
    /// When it took its first call after its last outage.
    back: Option<Time>,
    fallen: Option<Time>,
    /// Calls that came within the span that its fall is judged by.
    came: VecDeque<Time>,
}

impl Running {
    /// One that has not been called yet.
    pub fn new(like: &Partner) -> Running {
        let tokens = if let Some(Limit::Rate { burst, .. }) = like.limit {
            burst
        } else {
            0.0
        };
        let idle = (vec![Time(0); like.servers.max(1)], VecDeque::new());
        Running {
            servers: vec![idle; like.endpoints],
            like: like.clone(),
            tokens,
            filled: Time(0),
            window: None,
            back: None,
            fallen: None,
            came: VecDeque::new(),
        }
    }

    /// What becomes of a call that comes to one of its endpoints.
    pub fn take(&mut self, now: Time, endpoint: usize, rng: &mut impl Rng) -> Fate {
        if self.fallen.is_some_and(|until| now < until) {
            return Fate::at(now, Outcome::ConnectFailed);
        }
        let struck = self
            .like
            .outages
            .iter()
            .find(|outage| outage.from <= now && now < outage.until)
            .copied();
        if let Some(outage) =
            struck.filter(|outage| outage.part >= 1.0 || rng.random::<f64>() < outage.part)
        {
            self.back = None;
            return match outage.trouble {
                Trouble::Refuse => Fate::at(now, Outcome::ConnectFailed),
                Trouble::Reset => Fate::at(now, Outcome::Reset),
                Trouble::Hang => Fate {
                    answer: None,
                    fell: false,
                },
                Trouble::Fail => Fate::at(now + self.work(rng), Outcome::Error),
                Trouble::Shut => Fate::at(now, self.away(outage.until - now)),
            };
        }
        if self.topples(now) {
            return Fate {
                answer: Some((now, Outcome::ConnectFailed)),
                fell: true,
            };
        }
        if self.like.refuses > 0.0 && rng.random::<f64>() < self.like.refuses {
            return Fate::at(now, Outcome::Rejected { retry_after: None });
        }
        if let Some(wait) = self.limited(now) {
            return Fate::at(now, self.away(wait));
        }
        let work = self.work(rng);
        let (servers, waiting) = &mut self.servers[endpoint];
        while waiting.front().is_some_and(|begins| *begins <= now) {
            waiting.pop_front();
        }
        let free = servers.iter_mut().min().expect("an endpoint has a server");
        let begins = (*free).max(now);
        if begins > now && waiting.len() >= self.like.queue {
            return Fate::at(now, Outcome::Rejected { retry_after: None });
        }
        if begins > now {
            waiting.push_back(begins);
        }
        let done = begins + work;
        *free = done;
        // Whatever breaks connections or hangs breaks what it is at work on.
        let broken = self
            .like
            .outages
            .iter()
            .filter(|outage| outage.part >= 1.0 && outage.trouble != Trouble::Shut);
        match broken
            .filter(|outage| outage.from > now && outage.from < done)
            .map(|outage| outage.from)
            .min()
        {
            Some(at) => Fate::at(at, Outcome::Reset),
            None => Fate::at(done, Outcome::Delivered),
        }
    }

    fn work(&self, rng: &mut impl Rng) -> Span {
        Span::from_ms(self.like.service.draw(rng))
    }

    fn away(&self, wait: Span) -> Outcome {
        Outcome::Rejected {
            retry_after: Some(wait).filter(|wait| self.like.tells_wait && wait.0 > 0),
        }
    }

    /// How long a call must wait for its limit, if at all; else the call is counted.
    fn limited(&mut self, now: Time) -> Option<Span> {
        match self.like.limit? {
            Limit::Rate { rate, burst } => {
                self.tokens = (self.tokens + (now - self.filled).secs() * rate).min(burst);
                self.filled = now;
                // A hair less will do: tokens are sums of parts.
                if self.tokens >= 1.0 - 1e-9 {
                    self.tokens -= 1.0;
                    return None;
                }
                // Up to the next microsecond, or the call that keeps to it would come a hair too early.
                let wait = Span(((1.0 - self.tokens) / rate * 1e6).ceil() as i64);
                if self.like.counts_refused {
                    self.tokens = (self.tokens - 1.0).max(-burst);
                }
                Some(wait)
            }
            Limit::Window { calls, length } => {
                let (began, taken) = match self.window {
                    Some((began, taken)) if now - began < length => (began, taken),
                    _ => (now, 0),
                };
                let full = taken >= calls;
                let counted = if full && !self.like.counts_refused {
                    taken
                } else {
                    taken.saturating_add(1)
                };
                self.window = Some((began, counted));
                full.then(|| (began + length) - now)
            }
        }
    }

    /// Counts a call after an outage, and says whether it is the one too many.
    fn topples(&mut self, now: Time) -> bool {
        let Some(cold) = self.like.cold else {
            return false;
        };
        if !self
            .like
            .outages
            .iter()
            .any(|outage| outage.part >= 1.0 && outage.until <= now)
        {
            return false;
        }
        let first = *self.back.get_or_insert(now);
        while self
            .came
            .front()
            .is_some_and(|came| now - *came >= cold.over)
        {
            self.came.pop_front();
        }
        self.came.push_back(now);
        let warm = ((now - first).secs() / cold.length.secs().max(1e-6)).min(1.0);
        let can = self.like.capacity() * (cold.from + (1.0 - cold.from) * warm);
        // Two more than the rule says: single calls of several couriers may meet.
        let falls = self.came.len() as f64 > cold.multiple * can * cold.over.secs() + 2.0;
        if falls {
            self.fallen = Some(now + cold.stays_down);
            self.back = None;
            self.came.clear();
        }
        falls
    }
}
