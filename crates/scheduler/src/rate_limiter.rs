//! What rejections tell of a route's limit: the adaptive rate limiter of one instance towards one route.
//!
//! A limiter begins with a rejection, at the rate of the last seconds. Rejections cut it, successes let it creep back, so
//! that it hovers about the limit. Some destinations reject calls by chance, at any rate, and have room for all of them:
//! then a cut helps nobody and the rate would only sink. The two are told apart by trial. Where rejections stay many, the
//! rate is doubled for a few calls without a cut: under a limit the rejected share of them rises with the rate, and the
//! trial is taken back; by chance it stays as it was, and the rate is doubled again until it holds nothing back. The
//! rejected share is watched on from there, as a limit may come to bind later.
//!
//! Each trial that is taken back doubles the calls until the next, so a true limit is disturbed ever more rarely.
//! Only an instance that sees much of the load can tell: among many, one rate moves the rejected share of nobody. Nor is
//! anything tried near the rate that the route is listed with: there, rejections are most likely its limit.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Span, Time};

/// The rate is cut to this part by a rejected call that was sent after the last cut.
const CUT_FACTOR: f64 = 0.8;
/// Each success lets the rate creep back by this part of its full rate ...
const CREEP_FACTOR: f64 = 0.04;
/// ... up to this multiple of it: the first rejection may have come in a lull ...
const MAX_OVER_FULL: f64 = 1.5;
/// ... or at the start, or from one endpoint that drains: with no rejection for so long, longer with each cut, successes
/// let the full rate itself grow by this part a second, or a backlog would wait behind it until the limiter is dropped.
const QUIET_TIME: Span = Span(1_000_000);
const QUIET_GROWTH: f64 = 0.3;
/// The longest time between two successes that counts for that growth, in seconds.
const MAX_GROWTH_GAP_S: f64 = 1.0;
/// Part of its even share of a reported limit which an instance may count on.
const EVEN_SHARE_FACTOR: f64 = 0.8;
/// Calls that a limiter lets go at once after a pause.
const BURST_CALLS: f64 = 1.5;
/// A limiter is dropped when nothing was rejected for this long.
const RETENTION: Span = Span(10_000_000);
/// Calls by which the rejected share is judged at a rate that was found by cuts: by fewer it would often look otherwise.
const BASELINE_CALLS: u32 = 16;
/// Calls by which a trial is judged, for each instance there is: the more there are, the less one of them moves.
const TRIAL_CALLS: u32 = 8;
/// ... and so many times as many once a trial has shown that it is chance: by the next few calls it looks otherwise.
const CONFIRMED_FACTOR: u32 = 3;
/// A trial that is taken back doubles the calls for the next, up to this many times.
const MAX_BACKOFFS: u32 = 7;
/// Rejected share from which on a higher rate is tried ...
const MIN_CHANCE: f64 = 0.15;
/// ... while less than this part of the instance's headroom is used.
const CHANCE_HEADROOM: f64 = 0.6;
/// A limiter binds if so much of its rate is used.
const BINDING_USE: f64 = 0.5;

/// How far an instance can tell a limit from chance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitView {
    /// Instances there are, this one counted.
    pub instances: f64,
    /// Calls per second up to which rejections may be chance: its even share of what the route is listed with, infinite
    /// if a lone instance knows nothing of it.
    pub headroom: f64,
}

/// The rate limiter of one instance towards one route that has rejected calls. Rates are calls per second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    rate: f64,
    full_rate: f64,
    tokens: f64,
    refilled_at: Time,
    last_rejection: Time,
    cuts: i64,
    measurement: Measurement,
}

/// What a limiter goes back to when a trial of a higher rate fails.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    rejected_share: f64,
    rate: f64,
    full_rate: f64,
}

/// The calls sent since a rate was set, and how many of them were rejected.
#[derive(Clone, Debug)]
struct Measurement {
    since: Time,
    calls: u32,
    rejected: u32,
    /// In a trial: what was before it.
    trial: Option<Baseline>,
    /// Whether a trial before has shown that rejections come by chance.
    confirmed: bool,
    /// Trials taken back in a row.
    backoffs: u32,
}

impl Measurement {
    fn new(since: Time, trial: Option<Baseline>, backoffs: u32) -> Measurement {
        Measurement {
            since,
            calls: 0,
            rejected: 0,
            trial,
            confirmed: false,
            backoffs,
        }
    }

    /// Calls after which it is judged.
    fn needed_calls(&self, instances: f64) -> u32 {
        match (&self.trial, self.confirmed) {
            (None, _) => BASELINE_CALLS << self.backoffs,
            (Some(_), false) => TRIAL_CALLS * instances as u32,
            (Some(_), true) => TRIAL_CALLS * instances as u32 * CONFIRMED_FACTOR,
        }
    }
}

impl RateLimiter {
    /// A limiter from the first rejection on: at the recent `rate`, or more where a route that is listed to bear much has
    /// hardly been used, as at a start or in a lull.
    pub fn new(now: Time, rate: f64, view: Option<LimitView>) -> RateLimiter {
        let headroom = view
            .map(|view| view.headroom)
            .filter(|headroom| headroom.is_finite());
        let rate = rate.max(CHANCE_HEADROOM * headroom.unwrap_or(0.0));
        RateLimiter {
            rate,
            full_rate: rate,
            tokens: 0.0,
            refilled_at: now,
            last_rejection: now,
            cuts: 0,
            measurement: Measurement::new(now, None, 0),
        }
    }

    fn tokens(&self, now: Time) -> f64 {
        (self.tokens + (now - self.refilled_at).secs() * self.rate).min(BURST_CALLS)
    }

    fn refill(&mut self, now: Time, taken: f64, max: f64) {
        self.tokens = (self.tokens(now) - taken).min(max);
        self.refilled_at = now;
    }

    /// From when on it lets the next call go.
    pub fn next_call_at(&self, now: Time) -> Time {
        now + Span::from_ms((1.0 - 1e-6 - self.tokens(now)).max(0.0) / self.rate * 1000.0)
    }

    /// A call goes out.
    pub fn sent(&mut self, now: Time) {
        self.refill(now, 1.0, BURST_CALLS);
    }

    /// What was learned gives way to a limit that a response reports: to all of it at most, as others may leave this
    /// instance more than its `even_share`, and to most of that share at least. Limits change in a day.
    pub fn limit_reported(&mut self, limit: f64, even_share: f64) {
        self.full_rate = self
            .full_rate
            .clamp(EVEN_SHARE_FACTOR * even_share * limit, limit);
        self.rate = self
            .rate
            .max(EVEN_SHARE_FACTOR * CUT_FACTOR * even_share * limit);
    }

    /// A call sent at `sent` was accepted, `gap` seconds after the one before. Returns whether the limiter is still needed.
    pub fn accepted(
        &mut self,
        now: Time,
        sent: Time,
        gap: f64,
        ejected: bool,
        view: Option<LimitView>,
    ) -> bool {
        self.refill(now, 0.0, BURST_CALLS);
        if !ejected && now - self.last_rejection > Span(QUIET_TIME.0 * (1 + self.cuts)) {
            self.full_rate *= 1.0 + QUIET_GROWTH * gap.min(MAX_GROWTH_GAP_S);
        }
        self.rate = (self.rate + CREEP_FACTOR * self.full_rate).min(MAX_OVER_FULL * self.full_rate);
        if let Some(view) = view {
            self.measure(now, sent, false, view);
        }
        now - self.last_rejection <= RETENTION
    }

    /// A call sent at `sent` was rejected; `last_accepted` is when the last accepted one had been sent. The rate never
    /// sinks below `min_rate`.
    pub fn rejected(
        &mut self,
        now: Time,
        sent: Time,
        last_accepted: Option<Time>,
        min_rate: f64,
        view: Option<LimitView>,
    ) {
        self.refill(now, 0.0, 0.0);
        // While nothing is accepted, cuts would only leave the rate at its least for when the route opens.
        if sent > self.last_rejection && last_accepted >= Some(self.last_rejection) {
            if self.measurement.trial.is_none() {
                self.rate = (self.rate * CUT_FACTOR).max(min_rate);
                self.cuts += 1;
            }
            self.last_rejection = now;
        }
        if let Some(view) = view {
            self.measure(now, sent, true, view);
        }
    }

    /// Counts a call at the rate it was sent at; after enough of them judges the measurement.
    fn measure(&mut self, now: Time, sent: Time, rejected: bool, view: LimitView) {
        let measurement = &mut self.measurement;
        if sent < measurement.since {
            return;
        }
        measurement.calls += 1;
        measurement.rejected += u32::from(rejected);
        if measurement.calls >= measurement.needed_calls(view.instances) {
            self.judge(now, view);
        }
    }

    /// Tries a higher rate, or keeps or takes back what was tried.
    fn judge(&mut self, now: Time, view: LimitView) {
        let measurement = &self.measurement;
        let backoffs = measurement.backoffs;
        let rejected_share = f64::from(measurement.rejected) / f64::from(measurement.calls);
        let observed_rate =
            f64::from(measurement.calls) / (now - measurement.since).secs().max(1e-3);
        let binds = observed_rate >= BINDING_USE * self.rate;
        // Under a limit, twice the calls of one instance among all would raise the share by twice this.
        let rise = |before: f64| (1.0 - before) / (view.instances + 1.0) / 2.0;
        match measurement.trial {
            Some(before)
                if rejected_share > before.rejected_share + rise(before.rejected_share) =>
            {
                self.rate = before.rate;
                self.full_rate = before.full_rate;
                self.measurement = Measurement::new(now, None, (backoffs + 1).min(MAX_BACKOFFS));
            }
            Some(before) if binds && observed_rate < view.headroom => {
                self.try_higher(now, before.rejected_share, observed_rate, view);
            }
            None if binds
                && observed_rate <= CHANCE_HEADROOM * view.headroom
                && (MIN_CHANCE..1.0).contains(&rejected_share) =>
            {
                self.try_higher(now, rejected_share, observed_rate, view);
            }
            // It holds nothing back any more. Should rejections rise yet, it begins again a little lower.
            Some(before) => {
                let baseline = Baseline {
                    rejected_share: before.rejected_share,
                    rate: self.rate * CUT_FACTOR,
                    full_rate: self.full_rate * CUT_FACTOR,
                };
                self.measurement = Measurement {
                    confirmed: true,
                    ..Measurement::new(now, Some(baseline), 0)
                };
            }
            None => self.measurement = Measurement::new(now, None, backoffs),
        }
    }

    fn try_higher(&mut self, now: Time, rejected_share: f64, observed_rate: f64, view: LimitView) {
        let baseline = Baseline {
            rejected_share,
            rate: self.rate,
            full_rate: self.full_rate,
        };
        self.measurement = Measurement::new(now, Some(baseline), self.measurement.backoffs);
        self.rate = self.rate.max((2.0 * observed_rate).min(view.headroom));
        self.full_rate = self.full_rate.max(self.rate);
    }
}
