//! The state of a destination during a run.
//!
//! The result of a call is determined when the call arrives, because outages are known in advance and queues are served in
//! order. This module performs no I/O and reads no clock.

use super::{Destination, Outage, OutageKind, RateLimit, MIN_DURATION_S};
use marblefall_scheduler::{Outcome, Span, Time};
use rand::Rng;
use std::collections::VecDeque;

/// Tolerance for rounding errors in the sum of token fractions.
const TOKEN_TOLERANCE: f64 = 1e-9;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;
/// Calls above the overload limit that a recovering destination tolerates, because calls of several instances may coincide.
const OVERLOAD_TOLERANCE_CALLS: f64 = 2.0;

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    /// The destination answers the call.
    Answered {
        /// Time at which the answer is sent.
        at: Time,
        /// Outcome of the call for its instance.
        outcome: Outcome,
    },
    /// The destination never answers the call.
    Unanswered,
    /// The destination refuses the call, which overloaded it while it was recovering.
    Overloaded {
        /// Time of the refusal.
        at: Time,
    },
}

impl CallResult {
    /// Returns the time at which the answer is sent and the outcome for the instance, or `None` if the call is never
    /// answered.
    pub fn answer(self) -> Option<(Time, Outcome)> {
        match self {
            CallResult::Answered { at, outcome } => Some((at, outcome)),
            CallResult::Unanswered => None,
            CallResult::Overloaded { at } => Some((at, Outcome::ConnectFailed)),
        }
    }

    fn answered(at: Time, outcome: Outcome) -> CallResult {
        CallResult::Answered { at, outcome }
    }
}

/// The servers and the queue of an endpoint.
#[derive(Clone, Debug)]
struct EndpointState {
    /// Time at which each server becomes free.
    free_at: Vec<Time>,
    /// Start time of each waiting call, in ascending order.
    waiting: VecDeque<Time>,
}

impl EndpointState {
    /// Reserves the server that becomes free first. Returns the start time of the call, or `None` if the queue is full.
    fn reserve(&mut self, now: Time, service_time: Span, max_waiting: usize) -> Option<Time> {
        while self
            .waiting
            .front()
            .is_some_and(|starts_at| *starts_at <= now)
        {
            self.waiting.pop_front();
        }
        let free_at = self
            .free_at
            .iter_mut()
            .min()
            .expect("an endpoint has a server");
        let starts_at = (*free_at).max(now);
        if starts_at > now {
            if self.waiting.len() >= max_waiting {
                return None;
            }
            self.waiting.push_back(starts_at);
        }
        *free_at = starts_at + service_time;
        Some(starts_at)
    }
}

/// The current window of a fixed-window rate limit.
#[derive(Clone, Copy, Debug)]
struct QuotaWindow {
    started_at: Time,
    calls: u32,
}

/// The state of a destination during a run.
#[derive(Debug)]
pub struct DestinationState {
    spec: Destination,
    endpoints: Vec<EndpointState>,
    tokens: f64,
    refilled_at: Time,
    window: Option<QuotaWindow>,
    /// Arrival time of the first call after the last outage.
    recovering_since: Option<Time>,
    overloaded_until: Option<Time>,
    /// Arrival times of the calls within the overload window.
    recent_calls: VecDeque<Time>,
}

impl DestinationState {
    /// Creates the state of a destination that has received no call.
    pub fn new(spec: &Destination) -> DestinationState {
        let tokens = match spec.limit {
            Some(RateLimit::TokenBucket { burst, .. }) => burst,
            Some(RateLimit::FixedWindow { .. }) | None => 0.0,
        };
        let idle = EndpointState {
            free_at: vec![Time(0); spec.servers.max(1)],
            waiting: VecDeque::new(),
        };
        DestinationState {
            endpoints: vec![idle; spec.endpoints],
            spec: spec.clone(),
            tokens,
            refilled_at: Time(0),
            window: None,
            recovering_since: None,
            overloaded_until: None,
            recent_calls: VecDeque::new(),
        }
    }

    /// Handles a call that arrives at an endpoint.
    ///
    /// # Panics
    /// If the destination has no endpoint with this index.
    pub fn receive(&mut self, now: Time, endpoint: usize, rng: &mut impl Rng) -> CallResult {
        if self.overloaded_until.is_some_and(|until| now < until) {
            return CallResult::answered(now, Outcome::ConnectFailed);
        }
        if let Some(outage) = self.outage_affecting_call(now, rng) {
            self.recovering_since = None;
            return self.outage_result(now, &outage, rng);
        }
        if self.record_recovery_call(now) {
            return CallResult::Overloaded { at: now };
        }
        let rate = self.spec.rejection_rate;
        if rate > 0.0 && rng.random::<f64>() < rate {
            return CallResult::answered(now, Outcome::Rejected { retry_after: None });
        }
        if let Some(wait) = self.reserve_quota(now) {
            return CallResult::answered(now, self.rejection(wait));
        }
        self.process(now, endpoint, rng)
    }

    /// Returns the outage that makes a call arriving now fail, if any.
    fn outage_affecting_call(&self, now: Time, rng: &mut impl Rng) -> Option<Outage> {
        let mut outages = self.spec.outages.iter();
        let active = outages.find(|outage| outage.is_active(now)).copied();
        active.filter(|outage| outage.is_total() || rng.random::<f64>() < outage.share)
    }

    fn outage_result(&self, now: Time, outage: &Outage, rng: &mut impl Rng) -> CallResult {
        match outage.kind {
            OutageKind::RefuseConnections => CallResult::answered(now, Outcome::ConnectFailed),
            OutageKind::ResetConnections => CallResult::answered(now, Outcome::Reset),
            OutageKind::Blackhole => CallResult::Unanswered,
            OutageKind::ReturnErrors => {
                CallResult::answered(now + self.draw_service_time(rng), Outcome::Error)
            }
            OutageKind::RejectAll => CallResult::answered(now, self.rejection(outage.until - now)),
        }
    }

    /// Processes a call that the rate limit admitted.
    fn process(&mut self, now: Time, endpoint: usize, rng: &mut impl Rng) -> CallResult {
        let service_time = self.draw_service_time(rng);
        let Some(starts_at) = self.endpoints[endpoint].reserve(now, service_time, self.spec.queue)
        else {
            return CallResult::answered(now, Outcome::Rejected { retry_after: None });
        };
        let done = starts_at + service_time;
        match self.interruption(now, done) {
            Some(at) => CallResult::answered(at, Outcome::Reset),
            None => CallResult::answered(done, Outcome::Delivered),
        }
    }

    /// Returns the time at which an outage interrupts a call in progress, if any. A destination that rejects all calls still
    /// finishes the calls in progress.
    fn interruption(&self, now: Time, done: Time) -> Option<Time> {
        let interrupting = self.spec.outages.iter().filter(|outage| {
            outage.is_total()
                && outage.kind != OutageKind::RejectAll
                && outage.from > now
                && outage.from < done
        });
        interrupting.map(|outage| outage.from).min()
    }

    fn draw_service_time(&self, rng: &mut impl Rng) -> Span {
        Span::from_ms(self.spec.service_time.sample(rng))
    }

    fn rejection(&self, wait: Span) -> Outcome {
        Outcome::Rejected {
            retry_after: Some(wait).filter(|wait| self.spec.sends_retry_after && wait.0 > 0),
        }
    }

    /// Counts a call against the rate limit. Returns the time until the limit admits calls again if it rejects this call.
    fn reserve_quota(&mut self, now: Time) -> Option<Span> {
        match self.spec.limit? {
            RateLimit::TokenBucket { rate, burst } => self.take_token(now, rate, burst),
            RateLimit::FixedWindow { calls, length } => self.count_in_window(now, calls, length),
        }
    }

    fn take_token(&mut self, now: Time, rate: f64, burst: f64) -> Option<Span> {
        self.tokens = (self.tokens + (now - self.refilled_at).secs() * rate).min(burst);
        self.refilled_at = now;
        if self.tokens >= 1.0 - TOKEN_TOLERANCE {
            self.tokens -= 1.0;
            return None;
        }
        // Rounded up to a full microsecond. A token is then available for a call that observes this wait.
        let wait = Span(((1.0 - self.tokens) / rate * US_PER_S).ceil() as i64);
        if self.spec.counts_rejected {
            self.tokens = (self.tokens - 1.0).max(-burst);
        }
        Some(wait)
    }

    fn count_in_window(&mut self, now: Time, max_calls: u32, length: Span) -> Option<Span> {
        let current = self
            .window
            .filter(|window| now - window.started_at < length);
        let mut window = current.unwrap_or(QuotaWindow {
            started_at: now,
            calls: 0,
        });
        let is_full = window.calls >= max_calls;
        if !is_full || self.spec.counts_rejected {
            window.calls = window.calls.saturating_add(1);
        }
        self.window = Some(window);
        is_full.then(|| (window.started_at + length) - now)
    }

    /// Counts a call after an outage. Returns whether the call overloads the recovering destination.
    fn record_recovery_call(&mut self, now: Time) -> bool {
        let Some(warm_up) = self.spec.warm_up else {
            return false;
        };
        let mut outages = self.spec.outages.iter();
        if !outages.any(|outage| outage.is_total() && outage.until <= now) {
            return false;
        }
        let since = *self.recovering_since.get_or_insert(now);
        self.count_recent_call(now, warm_up.overload_window);
        let warm_up_progress =
            ((now - since).secs() / warm_up.duration.secs().max(MIN_DURATION_S)).min(1.0);
        let capacity = self.spec.capacity()
            * (warm_up.initial_capacity + (1.0 - warm_up.initial_capacity) * warm_up_progress);
        let max_calls = warm_up.overload_factor * capacity * warm_up.overload_window.secs()
            + OVERLOAD_TOLERANCE_CALLS;
        let is_overloaded = self.recent_calls.len() as f64 > max_calls;
        if is_overloaded {
            self.overloaded_until = Some(now + warm_up.overload_downtime);
            self.recovering_since = None;
            self.recent_calls.clear();
        }
        is_overloaded
    }

    fn count_recent_call(&mut self, now: Time, window: Span) {
        let is_old = |arrived: &Time| now - *arrived >= window;
        while self.recent_calls.front().is_some_and(is_old) {
            self.recent_calls.pop_front();
        }
        self.recent_calls.push_back(now);
    }
}
