//! What refusals tell of a route's limit: the pace of one courier towards one route.
//!
//! A pace begins with a refusal, at the rate of late. Refusals cut it, successes let it creep back, so that it hovers
//! about the limit. Some partners turn calls away by chance, at any pace, and have room for all of them: then a cut
//! helps nobody and the pace would only sink. The two are told apart by trying. Where refusals stay many, the pace is
//! doubled for a few calls without a cut: under a limit the refused part of them rises with the pace, and what was
//! tried is taken back; by chance it stays as it was, and the pace is doubled again until it holds nothing back. The
//! refused part is watched on from there, as a limit may come to bear later.
//! Each trial that is taken back doubles the calls until the next, so a true limit is disturbed ever more rarely.
//! Only a courier that sees much of the load can tell: among many, one pace moves the refused part of nobody. Nor is
//! anything tried near the rate that the route is listed with: there, refusals are most likely its limit.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Span, Time};

/// A pace is cut to this part by a refused call that was sent after the last cut.
const CUT: f64 = 0.8;
/// Each success lets a pace creep back by this part of its full rate ...
const CREEP: f64 = 0.04;
/// ... up to this multiple of it: the first refusal may have come in a lull ...
const MOST: f64 = 1.5;
/// ... or at the start, or from one endpoint that drains: with no refusal for so long, longer with each cut, successes
/// let the full rate itself grow by this part a second, or a backlog would wait behind it until the pace is forgotten.
const QUIET: Span = Span(1_000_000);
const GROWTH: f64 = 0.3;
/// Part of its even part of a limit that is told, which a courier may count on.
const EVEN: f64 = 0.8;
/// Calls that a pace lets go at once after a pause.
const BURST: f64 = 1.5;
/// A pace is forgotten when nothing was refused for this long.
const MEMORY: Span = Span(10_000_000);
/// Calls by which the refused part at a pace is judged that was found by cuts: by fewer it would often look otherwise.
const BASE_CALLS: u32 = 16;
/// Calls by which a trial is judged, for each courier there is: the more there are, the less one of them moves.
const LEVEL_CALLS: u32 = 8;
/// ... and so many times as many once a trial has shown that it is chance: by the next few calls it looks otherwise.
const BELIEVED_TIMES: u32 = 3;
/// A trial that is taken back doubles them for the next, up to this many times.
const RESTS_MOST: u32 = 7;
/// Refused part from which on a higher pace is tried ...
const CHANCE_LEAST: f64 = 0.15;
/// ... while less than this part of the courier's room is used.
const CHANCE_ROOM: f64 = 0.6;
/// A pace holds calls back if so much of it is used.
const BINDING: f64 = 0.5;

/// How far a courier can tell a limit from chance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sight {
    /// Couriers there are, this one counted.
    pub couriers: f64,
    /// Calls a second up to which refusals may be chance: its even part of what the route is listed with, without end
    /// if a lone courier knows nothing of it.
    pub room: f64,
}

/// The pace of one courier towards one route that has turned calls away. Rates are calls a second.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    rate: f64,
    full: f64,
    tokens: f64,
    filled: Time,
    refused: Time,
    cuts: i64,
    level: Level,
}

/// The calls sent since a pace was set, and how many of them were turned away.
#[derive(Clone, Debug)]
struct Level {
    since: Time,
    calls: u32,
    refused: u32,
    /// In a trial: the refused part before it, and the rate and full rate to go back to.
    tried: Option<(f64, f64, f64)>,
    /// Whether a trial before has shown that refusals come by chance.
    believed: bool,
    /// Trials taken back, running.
    rests: u32,
}

impl Level {
    fn new(since: Time, tried: Option<(f64, f64, f64)>, rests: u32) -> Level {
        Level { since, calls: 0, refused: 0, tried, believed: false, rests }
    }
}

impl Pace {
    /// A pace from the first refusal on: of `rate` calls a second as of late, or more where a route that is listed to
    /// bear much has hardly been used, as at a start or in a lull.
    pub fn new(now: Time, rate: f64, sight: Option<Sight>) -> Pace {
        let room = sight.map(|sight| sight.room).filter(|room| room.is_finite());
        let least = CHANCE_ROOM * room.unwrap_or(0.0);
        let (level, rate) = (Level::new(now, None, 0), rate.max(least));
        Pace { rate, full: rate, tokens: 0.0, filled: now, refused: now, cuts: 0, level }
    }

    fn tokens(&self, now: Time) -> f64 {
        (self.tokens + (now - self.filled).secs() * self.rate).min(BURST)
    }

    fn fill(&mut self, now: Time, less: f64, most: f64) {
        (self.tokens, self.filled) = ((self.tokens(now) - less).min(most), now);
    }

    /// From when on it lets the next call go.
    pub fn next(&self, now: Time) -> Time {
        now + Span::from_ms((1.0 - 1e-6 - self.tokens(now)).max(0.0) / self.rate * 1000.0)
    }

    /// A call goes out.
    pub fn sent(&mut self, now: Time) {
        self.fill(now, 1.0, BURST);
    }

    /// What was learned gives way to a limit that is told: to all of it at most, as others may leave this courier more
    /// than its `even` part, and to most of that part at least. Limits change in a day.
    pub fn told(&mut self, limit: f64, even: f64) {
        self.full = self.full.clamp(EVEN * even * limit, limit);
        self.rate = self.rate.max(EVEN * CUT * even * limit);
    }

    /// A call sent at `sent` was served, `gap` seconds after the one before. Says whether the pace is still needed.
    pub fn served(&mut self, now: Time, sent: Time, gap: f64, down: bool, sight: Option<Sight>) -> bool {
        self.fill(now, 0.0, BURST);
        if !down && now - self.refused > Span(QUIET.0 * (1 + self.cuts)) {
            self.full *= 1.0 + GROWTH * gap.min(1.0);
        }
        self.rate = (self.rate + CREEP * self.full).min(MOST * self.full);
        sight.into_iter().for_each(|sight| self.weigh(now, sent, false, sight));
        now - self.refused <= MEMORY
    }

    /// A call sent at `sent` was turned away; `served` is when the last one that was served had been sent. A pace
    /// never sinks under `least`.
    pub fn refused(&mut self, now: Time, sent: Time, served: Option<Time>, least: f64, sight: Option<Sight>) {
        self.fill(now, 0.0, 0.0);
        // While nothing is served, cuts only leave the pace at its least for when it opens.
        if sent > self.refused && served >= Some(self.refused) {
            if self.level.tried.is_none() {
                self.rate = (self.rate * CUT).max(least);
                self.cuts += 1;
            }
            self.refused = now;
        }
        sight.into_iter().for_each(|sight| self.weigh(now, sent, true, sight));
    }

    /// Counts a call at the pace it was sent at; after enough of them tries a higher one, or judges what was tried.
    fn weigh(&mut self, now: Time, sent: Time, refused: bool, sight: Sight) {
        let level = &mut self.level;
        if sent < level.since {
            return;
        }
        level.calls += 1;
        level.refused += u32::from(refused);
        let rests = level.rests;
        let wanted = match (level.tried, level.believed) {
            (None, _) => BASE_CALLS << rests,
            (Some(_), believed) => {
                LEVEL_CALLS * sight.couriers as u32 * if believed { BELIEVED_TIMES } else { 1 }
            }
        };
        if level.calls < wanted {
            return;
        }
        let part = f64::from(level.refused) / f64::from(level.calls);
        let seen = f64::from(level.calls) / (now - level.since).secs().max(1e-3);
        let binds = seen >= BINDING * self.rate;
        // Under a limit, twice the calls of one courier among all would raise the part by twice this.
        let rise = |was: f64| (1.0 - was) / (sight.couriers + 1.0) / 2.0;
        match level.tried {
            Some((was, rate, full)) if part > was + rise(was) => {
                (self.rate, self.full) = (rate, full);
                self.level = Level::new(now, None, (rests + 1).min(RESTS_MOST));
            }
            Some((was, ..)) if binds && seen < sight.room => {
                self.raise(now, was, seen, sight);
            }
            None if binds && seen <= CHANCE_ROOM * sight.room && (CHANCE_LEAST..1.0).contains(&part) => {
                self.raise(now, part, seen, sight);
            }
            // It holds nothing back any more. Should refusals rise yet, it begins again a little lower.
            Some((was, ..)) => {
                let back = (was, self.rate * CUT, self.full * CUT);
                self.level = Level { believed: true, ..Level::new(now, Some(back), 0) };
            }
            None => self.level = Level::new(now, None, rests),
        }
    }

    fn raise(&mut self, now: Time, part: f64, seen: f64, sight: Sight) {
        self.level = Level::new(now, Some((part, self.rate, self.full)), self.level.rests);
        self.rate = self.rate.max((2.0 * seen).min(sight.room));
        self.full = self.full.max(self.rate);
    }
}
