//! Adaptive rate limiter of one instance for a route that rejects calls.
//!
//! The limiter is created on a rejection, with the recent send rate. Each rejection cuts the rate and each success raises
//! it slightly, so that the rate stays near the route's limit.
//!
//! Some routes reject calls at random, at any rate. For them cuts are useless, and the rate would fall without bound. To
//! distinguish such rejections from a limit, the limiter tentatively doubles its rate for a few calls while many calls are
//! rejected. Under a limit the share of rejected calls rises with the rate, and the increase is reverted. If the share
//! stays the same, the rejections are random, and the rate is doubled again until it no longer limits the traffic. After
//! that the rejected share is still measured, as a limit may take effect later. Each reverted increase doubles the number
//! of calls before the next one.
//!
//! Only an instance that observes most of the load can make this distinction: with many instances, the rate of one hardly
//! changes the rejected share. No increase is tried near the listed rate of the route, where rejections are most likely
//! caused by its limit.

use crate::interface::{Span, Time};

/// Factor by which a rejection cuts the rate, if the call was sent after the previous rejection.
const CUT_FACTOR: f64 = 0.8;
/// Increase of the rate for each success, as a fraction of the full rate.
const INCREASE_FRACTION: f64 = 0.04;
/// Maximum rate, as a multiple of the full rate. The full rate may be too low if the first rejection occurred while the
/// traffic was low.
const MAX_RATE_FACTOR: f64 = 1.5;
/// Time without a rejection after which successes raise the full rate, which may be far too low. It is multiplied by 1 +
/// the number of cuts.
const QUIET_TIME: Span = Span::from_secs(1.0);
/// Growth of the full rate after [`QUIET_TIME`], as a fraction per second.
const QUIET_GROWTH_PER_S: f64 = 0.3;
/// Maximum time between two successes that counts towards the growth of the full rate, in seconds.
const MAX_GROWTH_GAP_S: f64 = 1.0;
/// Fraction of its even share of a reported limit that an instance may rely on.
const EVEN_SHARE_FACTOR: f64 = 0.8;
/// Capacity of the token bucket: calls that the limiter permits at once after a pause.
const BURST_CALLS: f64 = 1.5;
/// Tolerance for rounding errors, in calls.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Time without a rejection after which the limiter is removed.
const RETENTION: Span = Span::from_secs(10.0);
/// Number of calls in a measurement at a rate that rejections and successes set.
const REGULATED_CALLS: u32 = 16;
/// Number of calls in a measurement at an increased rate, for each instance: with more instances, the rate of one has less
/// effect on the rejected share.
const INCREASED_CALLS: u32 = 8;
/// Factor of [`INCREASED_CALLS`] after the rejections were found to be random, so that chance does not revert the rate.
const NOT_LIMITING_FACTOR: u32 = 3;
/// Maximum number of reverted increases that double the number of calls before the next increase.
const MAX_REVERSALS: u32 = 7;
/// Minimum rejected share at which a higher rate is tried.
const MIN_RANDOM_SHARE: f64 = 0.15;
/// Fraction of the headroom below which a higher rate is tried.
const HEADROOM_FACTOR: f64 = 0.6;
/// Factor of the rate in a tentative increase.
const INCREASE_FACTOR: f64 = 2.0;
/// Fraction of the rate that must be in use for the limiter to count as limiting the traffic.
const LIMITING_USE: f64 = 0.5;
/// Minimum time over which a rate is measured, in seconds.
const MIN_MEASUREMENT_S: f64 = 1e-3;

/// Data on a route's limit, available to an instance that observes all of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitView {
    /// Number of instances, this one included.
    pub instances: f64,
    /// Rate of this instance up to which rejections may be random, in calls per second: its even share of the listed rate,
    /// or infinity if there is only one instance and no listed rate.
    pub headroom: f64,
}

/// A call that was accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedCall {
    /// Send time of the call.
    pub sent: Time,
    /// Time since the previous success, in seconds.
    pub since_last_s: f64,
    /// Whether the call's route is ejected.
    pub route_is_ejected: bool,
}

/// A call that was rejected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedCall {
    /// Send time of the call.
    pub sent: Time,
    /// Send time of the latest call that was accepted.
    pub last_accepted_sent: Option<Time>,
    /// Minimum rate that the limiter may set, in calls per second.
    pub min_rate: f64,
}

/// Response of the route to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    Accepted,
    Rejected,
}

/// Rate limiter of one instance for one route. Rates are in calls per second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    /// Rate at which calls are permitted.
    rate: f64,
    /// Estimate of the rate that the route accepts; bounds `rate` and its increases.
    full_rate: f64,
    tokens: f64,
    refilled_at: Time,
    /// Time of the last rejection that could cut the rate.
    last_rejection: Time,
    /// Number of cuts so far.
    cuts: i64,
    measurement: Measurement,
}

/// State before a tentative increase, which the limiter restores if it reverts the increase.
#[derive(Clone, Copy, Debug)]
struct SavedState {
    rejected_share: f64,
    rate: f64,
    full_rate: f64,
}

/// Origin of the present rate.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Rejections and successes set the rate.
    Regulated,
    /// The rate was tentatively increased.
    Increased(SavedState),
    /// Rejections were found to be random, and the rate does not limit the traffic.
    NotLimiting(SavedState),
}

/// The calls sent since the rate was set, and how many of them were rejected.
#[derive(Clone, Debug)]
struct Measurement {
    phase: Phase,
    since: Time,
    calls: u32,
    rejected: u32,
    /// Consecutive increases that were reverted.
    reversals: u32,
}

impl Measurement {
    fn new(since: Time, phase: Phase, reversals: u32) -> Measurement {
        Measurement {
            phase,
            since,
            calls: 0,
            rejected: 0,
            reversals,
        }
    }

    /// Returns the number of calls after which the measurement is complete.
    fn needed_calls(&self, instances: f64) -> u32 {
        match self.phase {
            Phase::Regulated => REGULATED_CALLS << self.reversals,
            Phase::Increased(_) => INCREASED_CALLS * instances as u32,
            Phase::NotLimiting(_) => INCREASED_CALLS * instances as u32 * NOT_LIMITING_FACTOR,
        }
    }
}

impl RateLimiter {
    /// Creates a limiter after the first rejection. It starts at the recent send rate, or higher if the route has a high
    /// listed rate and has hardly been used.
    pub fn new(now: Time, recent_rate: f64, view: Option<LimitView>) -> RateLimiter {
        let headroom = view
            .map(|view| view.headroom)
            .filter(|headroom| headroom.is_finite());
        let rate = recent_rate.max(HEADROOM_FACTOR * headroom.unwrap_or(0.0));
        RateLimiter {
            rate,
            full_rate: rate,
            tokens: 0.0,
            refilled_at: now,
            last_rejection: now,
            cuts: 0,
            measurement: Measurement::new(now, Phase::Regulated, 0),
        }
    }

    /// Returns the earliest time of the next call.
    pub fn next_call_at(&self, now: Time) -> Time {
        let missing = 1.0 - ROUNDING_TOLERANCE - self.tokens(now);
        now + Span::from_secs(missing.max(0.0) / self.rate)
    }

    /// Records a sent call.
    pub fn sent(&mut self, now: Time) {
        self.refill(now, 1.0, BURST_CALLS);
    }

    /// Adjusts the rates to a limit that a response reports. The full rate becomes at most the entire limit, as other
    /// instances may leave this one more than its `even_share`. Both rates become at least most of that share.
    pub fn limit_reported(&mut self, limit: f64, even_share: f64) {
        self.full_rate = self
            .full_rate
            .clamp(EVEN_SHARE_FACTOR * even_share * limit, limit);
        self.rate = self
            .rate
            .max(EVEN_SHARE_FACTOR * CUT_FACTOR * even_share * limit);
    }

    /// Records an accepted call. Returns whether the limiter is still needed.
    pub fn accepted(&mut self, now: Time, call: AcceptedCall, view: Option<LimitView>) -> bool {
        self.refill(now, 0.0, BURST_CALLS);
        let is_quiet = now - self.last_rejection > Span(QUIET_TIME.0 * (1 + self.cuts));
        if is_quiet && !call.route_is_ejected {
            let gap_s = call.since_last_s.min(MAX_GROWTH_GAP_S);
            self.full_rate *= 1.0 + QUIET_GROWTH_PER_S * gap_s;
        }
        self.rate =
            (self.rate + INCREASE_FRACTION * self.full_rate).min(MAX_RATE_FACTOR * self.full_rate);
        if let Some(view) = view {
            self.measure(now, call.sent, Response::Accepted, view);
        }
        now - self.last_rejection <= RETENTION
    }

    /// Records a rejected call.
    pub fn rejected(&mut self, now: Time, call: RejectedCall, view: Option<LimitView>) {
        self.refill(now, 0.0, 0.0);
        // While no call is accepted, further cuts would only lower the rate to its minimum, and the route would still be
        // limited to that rate when it accepts calls again.
        let accepts_calls = call.last_accepted_sent >= Some(self.last_rejection);
        if call.sent > self.last_rejection && accepts_calls {
            if matches!(self.measurement.phase, Phase::Regulated) {
                self.rate = (self.rate * CUT_FACTOR).max(call.min_rate);
                self.cuts += 1;
            }
            self.last_rejection = now;
        }
        if let Some(view) = view {
            self.measure(now, call.sent, Response::Rejected, view);
        }
    }

    fn tokens(&self, now: Time) -> f64 {
        (self.tokens + (now - self.refilled_at).secs() * self.rate).min(BURST_CALLS)
    }

    fn refill(&mut self, now: Time, used: f64, max: f64) {
        self.tokens = (self.tokens(now) - used).min(max);
        self.refilled_at = now;
    }

    /// Counts a call in the measurement of the present rate, unless it was sent at an earlier rate. Evaluates the
    /// measurement once it is complete.
    fn measure(&mut self, now: Time, sent: Time, response: Response, view: LimitView) {
        let measurement = &mut self.measurement;
        if sent < measurement.since {
            return;
        }
        measurement.calls += 1;
        measurement.rejected += u32::from(response == Response::Rejected);
        if measurement.calls >= measurement.needed_calls(view.instances) {
            self.evaluate(now, view);
        }
    }

    /// Evaluates a complete measurement: increases the rate tentatively, keeps an increase, or reverts it.
    fn evaluate(&mut self, now: Time, view: LimitView) {
        let Measurement {
            phase,
            since,
            calls,
            rejected,
            reversals,
        } = self.measurement;
        let rejected_share = f64::from(rejected) / f64::from(calls);
        let observed_rate = f64::from(calls) / (now - since).secs().max(MIN_MEASUREMENT_S);
        let is_limiting = observed_rate >= LIMITING_USE * self.rate;
        match phase {
            Phase::Regulated => {
                let may_be_random = (MIN_RANDOM_SHARE..1.0).contains(&rejected_share);
                let has_headroom = observed_rate <= HEADROOM_FACTOR * view.headroom;
                if is_limiting && has_headroom && may_be_random {
                    self.increase(now, rejected_share, observed_rate, view);
                } else {
                    self.measurement = Measurement::new(now, Phase::Regulated, reversals);
                }
            }
            Phase::Increased(before) | Phase::NotLimiting(before) => {
                if rejected_share > before.rejected_share + rejection_rise_threshold(before, view) {
                    self.revert(now, before);
                } else if is_limiting && observed_rate < view.headroom {
                    self.increase(now, before.rejected_share, observed_rate, view);
                } else {
                    self.keep_increase(now, before);
                }
            }
        }
    }

    /// Tentatively increases the rate, up to the headroom.
    fn increase(&mut self, now: Time, rejected_share: f64, observed_rate: f64, view: LimitView) {
        let saved = SavedState {
            rejected_share,
            rate: self.rate,
            full_rate: self.full_rate,
        };
        let reversals = self.measurement.reversals;
        self.measurement = Measurement::new(now, Phase::Increased(saved), reversals);
        self.rate = self
            .rate
            .max((INCREASE_FACTOR * observed_rate).min(view.headroom));
        self.full_rate = self.full_rate.max(self.rate);
    }

    /// Reverts an increase, as the rejections are caused by a limit.
    fn revert(&mut self, now: Time, before: SavedState) {
        self.rate = before.rate;
        self.full_rate = before.full_rate;
        let reversals = (self.measurement.reversals + 1).min(MAX_REVERSALS);
        self.measurement = Measurement::new(now, Phase::Regulated, reversals);
    }

    /// Keeps an increased rate that no longer limits the traffic. If the rejected share rises later, the limiter reverts to
    /// a slightly lower rate.
    fn keep_increase(&mut self, now: Time, before: SavedState) {
        let saved = SavedState {
            rejected_share: before.rejected_share,
            rate: self.rate * CUT_FACTOR,
            full_rate: self.full_rate * CUT_FACTOR,
        };
        self.measurement = Measurement::new(now, Phase::NotLimiting(saved), 0);
    }
}

/// Returns the rise of the rejected share above which an increase has exceeded a limit: half of the rise that is caused by
/// doubling the calls of one instance under a limit that all instances share.
fn rejection_rise_threshold(before: SavedState, view: LimitView) -> f64 {
    (1.0 - before.rejected_share) / (view.instances + 1.0) / 2.0
}
