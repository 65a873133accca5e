//! Recovery ramp: gradual return of an ejected route to service.
//!
//! A route is [`RouteHealth::Healthy`] until it is [`RouteHealth::Ejected`]. An ejected route is sent half-open trial
//! calls at long intervals, as by a circuit breaker. They carry regular messages. The first trial call that is answered
//! makes the route [`RouteHealth::Recovering`]. Over the ramp's duration the permitted rate rises from the ramp's start to
//! the route's full capacity, and continues to rise until nothing is pending for the route. Only then does the route
//! become healthy. Otherwise the entire backlog of the outage would be sent at the end of the ramp.
//!
//! Instances don't coordinate. Each has its own share of the ramp and its own jitter.

use crate::interface::{Rules, Span, Time};
use std::collections::VecDeque;

/// Minimum time between two half-open trial calls of an instance, in ms.
const MIN_TRIAL_INTERVAL_MS: f64 = 700.0;
/// Maximum time between two half-open trial calls of an instance, in ms, to be multiplied by the number of instances:
/// all instances together send about one trial call in the time stated here.
const MAX_TRIAL_INTERVAL_MS: f64 = 1000.0;
/// Minimum number of calls that all instances together may send to a recovering route in the overload window.
const MIN_RECOVERING_BUDGET: f64 = 4.0;
/// Number of calls that all instances together may send to an ejected route in the overload window, besides half-open
/// trial calls.
const MIN_EJECTED_BUDGET: f64 = 1e-6;
/// Number of equal parts of the overload window over which a recovering route's calls are spread.
const WINDOW_PARTS: usize = 4;
/// Minimum ramp duration, in ms.
const MIN_RAMP_DURATION_MS: f64 = 1.0;
/// Mean of the jitter.
const MEAN_JITTER: f64 = 0.5;

/// Health of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RouteHealth {
    /// The route is in service, and the ramp does not limit it.
    #[default]
    Healthy,
    /// The route has been out of service since this time, except for half-open trial calls.
    Ejected(Time),
    /// The route has been answering again since this time.
    Recovering(Time),
}

/// A change of a route's health that is reported to the caller of the ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The route was ejected.
    Ejected,
    /// The ejected route began to recover.
    Recovering,
}

/// Settings that all routes of an instance share.
#[derive(Clone, Copy, Debug)]
pub struct RampSettings<'a> {
    /// Start and duration of the ramp, and the load that overloads a recovering route.
    pub rules: &'a Rules,
    /// Number of instances, this one included; at least 1.
    pub instances: f64,
    /// Fraction of the load that this instance does not observe, from 0 to 1.
    pub unobserved_load: f64,
}

/// Capacity of a route for one instance.
#[derive(Clone, Copy, Debug)]
pub struct RouteCapacity {
    /// This instance's share of the healthy route's capacity, in calls per second.
    pub own_rate: f64,
    /// Upper bound of the rate after the end of the ramp, in calls per second; `None` if no bound is known.
    pub max_rate: Option<f64>,
    /// This instance's random number for the route, in 0..1.
    pub jitter: f64,
    /// End of the backoff that the route requested.
    pub backoff_until: Option<Time>,
}

/// The end of a call or health check.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Send time of the call or health check.
    pub sent: Time,
    /// Whether the call or health check succeeded.
    pub answered: bool,
    /// Whether the route has reached the number of failures that ejects it.
    pub failing: bool,
}

/// Summary of the calls and health checks sent within a window.
#[derive(Clone, Copy, Debug)]
pub struct RecentSends {
    /// Number of calls and health checks.
    pub count: usize,
    /// Age of the first one, or the length of the window if there are none.
    pub age_of_first: Span,
}

/// The recovery ramp of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveryRamp {
    health: RouteHealth,
    /// Send times of the recent calls and health checks, oldest first.
    sends: VecDeque<Time>,
}

impl Rules {
    /// Returns the fraction of its full capacity that a route has after recovering for this long, from the ramp's start
    /// to 1.
    pub(crate) fn capacity_share(&self, recovering_for: Span) -> f64 {
        self.ramp(recovering_for).min(1.0)
    }

    /// Returns the value of [`Rules::capacity_share`] without its upper bound of 1.
    fn ramp(&self, recovering_for: Span) -> f64 {
        self.ramp_start
            + (1.0 - self.ramp_start) * recovering_for.ms()
                / self.ramp_duration.ms().max(MIN_RAMP_DURATION_MS)
    }
}

impl RecoveryRamp {
    /// Creates the ramp of a route with this health and without recorded sends.
    pub fn with_health(health: RouteHealth) -> RecoveryRamp {
        RecoveryRamp {
            health,
            sends: VecDeque::new(),
        }
    }

    /// Returns the route's health.
    pub fn health(&self) -> RouteHealth {
        self.health
    }

    /// Whether the route is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.health, RouteHealth::Ejected(_))
    }

    /// Whether the route is at full capacity: it is healthy, or its ramp is over.
    pub fn is_at_full_capacity(&self, now: Time, ramp_duration: Span) -> bool {
        match self.health {
            RouteHealth::Healthy => true,
            RouteHealth::Recovering(since) => now - since >= ramp_duration,
            RouteHealth::Ejected(_) => false,
        }
    }

    /// Records a sent call or health check, and drops the records of sends older than `retention`.
    pub fn sent(&mut self, now: Time, retention: Span) {
        while self
            .sends
            .front()
            .is_some_and(|sent| now - *sent >= retention)
        {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Returns a summary of the calls and health checks sent within a window that ends now.
    pub fn recent_sends(&self, now: Time, window: Span) -> RecentSends {
        let recent = self.sends.iter().filter(|sent| now - **sent < window);
        let first = recent.clone().next();
        RecentSends {
            count: recent.count(),
            age_of_first: first.map_or(window, |first| now - *first),
        }
    }

    /// Records the end of a call or health check. Returns a change if the route is ejected or begins to recover as a result.
    /// `has_pending` returns whether messages are pending for the route. It is called only if the result depends on it.
    pub fn observe(
        &mut self,
        now: Time,
        observation: Observation,
        has_pending: impl FnOnce() -> bool,
        ramp_duration: Span,
    ) -> Option<HealthChange> {
        let Observation {
            sent,
            answered,
            failing,
        } = observation;
        let (health, change) = match self.health {
            // A call that was sent before the ejection does not show a recovery.
            RouteHealth::Ejected(since) if answered && sent >= since => {
                (RouteHealth::Recovering(now), Some(HealthChange::Recovering))
            }
            RouteHealth::Healthy | RouteHealth::Recovering(_) if failing => {
                (RouteHealth::Ejected(now), Some(HealthChange::Ejected))
            }
            RouteHealth::Recovering(since) if now - since >= ramp_duration && !has_pending() => {
                (RouteHealth::Healthy, None)
            }
            health => (health, None),
        };
        self.health = health;
        change
    }

    /// Records that a healthy route answers after a silence in which it may have been out of service. The route begins to
    /// recover, so its backlog is sent along the ramp.
    pub fn answered_after_silence(&mut self, now: Time) {
        if self.health == RouteHealth::Healthy {
            self.health = RouteHealth::Recovering(now);
        }
    }

    /// Returns the earliest time at which the ramp permits the next call. The time is in the past if the ramp sets no
    /// limit.
    pub fn next_call_at(
        &self,
        now: Time,
        settings: &RampSettings,
        capacity: &RouteCapacity,
    ) -> Time {
        let rules = settings.rules;
        let (recovering_for, min_budget) = match self.health {
            RouteHealth::Healthy => return Time::MIN,
            RouteHealth::Ejected(_) => (Span::ZERO, MIN_EJECTED_BUDGET),
            RouteHealth::Recovering(since) => (now - since, MIN_RECOVERING_BUDGET),
        };
        let rate = rules.overload_factor * rules.ramp(recovering_for) * capacity.own_rate;
        let max_rate = capacity
            .max_rate
            .filter(|_| recovering_for >= rules.ramp_duration);
        let rate = rate.min(max_rate.unwrap_or(f64::INFINITY));
        let budget =
            (rate * rules.overload_window.secs()).max((min_budget / settings.instances).min(1.0));
        if budget >= 1.0 && !self.is_ejected() {
            return self.next_within_budget(budget as usize, rules.overload_window);
        }
        self.next_trial_at(budget, settings, capacity)
    }

    /// Returns the earliest time at which a budget of calls in the overload window permits the next call. Each part of the
    /// window has its part of the budget, as otherwise all of it would be spent at the start of the window.
    fn next_within_budget(&self, budget: usize, window: Span) -> Time {
        let part_budget = budget.div_ceil(WINDOW_PARTS);
        let part = Span(window.0 / WINDOW_PARTS as i64);
        let within_window = self.next_in_window(budget, window);
        within_window.max(self.next_in_window(part_budget, part))
    }

    /// Returns the earliest time at which a window of this length contains fewer than `max_calls` sends.
    fn next_in_window(&self, max_calls: usize, window: Span) -> Time {
        let index = self.sends.len().checked_sub(max_calls);
        index.map_or(Time::MIN, |index| self.sends[index] + window)
    }

    /// Returns the earliest time of the next half-open trial call, or of the next call to a recovering route whose budget
    /// is below one call. A minimum budget of one call for each of hundreds of instances would overload the route. The
    /// jitter prevents instances that detect an outage or its end at the same time from sending at the same time.
    fn next_trial_at(
        &self,
        budget: f64,
        settings: &RampSettings,
        capacity: &RouteCapacity,
    ) -> Time {
        let rules = settings.rules;
        let max_interval = MAX_TRIAL_INTERVAL_MS * settings.instances.max(1.0);
        let interval =
            (rules.overload_window.ms() / budget).clamp(MIN_TRIAL_INTERVAL_MS, max_interval);
        let after_backoff = Span::from_ms(interval * capacity.jitter * settings.unobserved_load);
        let backoff_over = capacity
            .backoff_until
            .map_or(Time::MIN, |at| at + after_backoff);
        let jitter = settings.unobserved_load * (capacity.jitter - MEAN_JITTER);
        let since_last = Span::from_ms(interval * (1.0 + jitter));
        let after_last = self
            .sends
            .back()
            .map_or(Time::MIN, |last| *last + since_last);
        let at = after_last.max(backoff_over);
        match self.health {
            // The interval is long early in the ramp, but the wait never extends beyond the end of the ramp.
            RouteHealth::Recovering(since) => at.min(since + rules.ramp_duration),
            RouteHealth::Healthy | RouteHealth::Ejected(_) => at,
        }
    }
}
