//! Recovery ramp: how a route that was ejected returns to service.
//!
//! A route is [`RouteHealth::Healthy`] until it is [`RouteHealth::Ejected`]. Then it is sent rare half-open trial
//! calls, as by a circuit breaker, which carry its own messages. The first one that is answered makes it
//! [`RouteHealth::Recovering`]. Over the ramp's duration the permitted rate rises from the ramp's start to the
//! route's full capacity, and continues to rise until nothing is pending for the route. Only then it is healthy;
//! otherwise the whole backlog of the outage would be sent at the end of the ramp.
//!
//! Instances don't coordinate: each has its own share of the ramp and its own jitter.

use crate::interface::{Rules, Span, Time};
use std::collections::VecDeque;

/// The least time between two half-open trial calls of an instance, in ms.
const MIN_TRIAL_INTERVAL_MS: f64 = 700.0;
/// The longest time between two half-open trial calls, in ms for each instance: all together send about one in it.
const MAX_TRIAL_INTERVAL_MS: f64 = 1000.0;
/// Calls that all instances together may send a recovering route in the overload window, at least.
const MIN_RECOVERING_BUDGET: f64 = 4.0;
/// Calls that all instances together may send an ejected route in the overload window, besides half-open trial calls.
const MIN_EJECTED_BUDGET: f64 = 1e-6;
/// Equal parts of the overload window over which a recovering route's calls are spread.
const WINDOW_PARTS: usize = 4;
/// The shortest ramp duration, in ms.
const MIN_RAMP_DURATION_MS: f64 = 1.0;
/// Mean of the jitter.
const MEAN_JITTER: f64 = 0.5;

/// Health of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RouteHealth {
    /// In service, without any limit from an outage.
    #[default]
    Healthy,
    /// Out of service since that time, except for half-open trial calls.
    Ejected(Time),
    /// Answering again since that time.
    Recovering(Time),
}

/// A change of a route's health that matters outside the ramp.
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
    /// Fraction of the load that this instance does not see, from 0 to 1.
    pub unseen_load: f64,
}

/// Capacity of a route for one instance.
#[derive(Clone, Copy, Debug)]
pub struct RouteCapacity {
    /// This instance's share of the healthy route's capacity, in calls per second.
    pub own_rate: f64,
    /// Upper bound of the rate once the ramp is over, in calls per second, as far as it is known.
    pub max_rate: Option<f64>,
    /// This instance's random number for the route, in 0..1.
    pub jitter: f64,
    /// End of the backoff that the route requested.
    pub backoff_until: Option<Time>,
}

/// The end of a call or health check.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When it was sent.
    pub sent: Time,
    /// Whether it was answered.
    pub answered: bool,
    /// Whether the route fails by now.
    pub failing: bool,
}

/// The calls and health checks sent within a window.
#[derive(Clone, Copy, Debug)]
pub struct RecentSends {
    /// How many there are.
    pub count: usize,
    /// Age of the first of them; the length of the window if there are none.
    pub age_of_first: Span,
}

/// The recovery ramp of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveryRamp {
    health: RouteHealth,
    /// Send times of the calls and health checks within the latest retention.
    sends: VecDeque<Time>,
}

impl Rules {
    /// Fraction of its capacity that a route has after recovering for this long, from the ramp's start to 1.
    pub(crate) fn capacity_share(&self, recovering_for: Span) -> f64 {
        self.ramp(recovering_for).min(1.0)
    }

    /// The same without the upper bound of 1.
    fn ramp(&self, recovering_for: Span) -> f64 {
        self.ramp_start
            + (1.0 - self.ramp_start) * recovering_for.ms()
                / self.ramp_duration.ms().max(MIN_RAMP_DURATION_MS)
    }
}

impl RecoveryRamp {
    /// The ramp of a route in this state of health, without sends.
    pub fn with_health(health: RouteHealth) -> RecoveryRamp {
        RecoveryRamp {
            health,
            sends: VecDeque::new(),
        }
    }

    /// The route's health.
    pub fn health(&self) -> RouteHealth {
        self.health
    }

    /// Whether the route is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.health, RouteHealth::Ejected(_))
    }

    /// Whether the route's deliveries show its full capacity: it is healthy, or its ramp is over.
    pub fn is_settled(&self, now: Time, ramp_duration: Span) -> bool {
        match self.health {
            RouteHealth::Healthy => true,
            RouteHealth::Recovering(since) => now - since >= ramp_duration,
            RouteHealth::Ejected(_) => false,
        }
    }

    /// Records a call or health check. Sends older than `retention` are forgotten.
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

    /// The calls and health checks sent within a window that ends now.
    pub fn recent_sends(&self, now: Time, window: Span) -> RecentSends {
        let recent = self.sends.iter().filter(|sent| now - **sent < window);
        let first = recent.clone().next();
        RecentSends {
            count: recent.count(),
            age_of_first: first.map_or(window, |first| now - *first),
        }
    }

    /// Records the end of a call or health check. `has_pending` reports whether messages are pending for the route;
    /// it is called only where that matters.
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

    /// Records that a healthy route answers after a silence in which it may have been out of service: its backlog is
    /// sent along the ramp.
    pub fn answered_after_silence(&mut self, now: Time) {
        if self.health == RouteHealth::Healthy {
            self.health = RouteHealth::Recovering(now);
        }
    }

    /// Earliest time at which the ramp permits the next call; a time in the past if it sets no limit.
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

    /// Earliest time at which a budget of calls in the overload window permits the next one. The same holds for each
    /// part of the window, as otherwise the whole budget would be spent at its start.
    fn next_within_budget(&self, budget: usize, window: Span) -> Time {
        let part_budget = budget.div_ceil(WINDOW_PARTS);
        let part = Span(window.0 / WINDOW_PARTS as i64);
        let whole_window = self.next_in_window(budget, window);
        whole_window.max(self.next_in_window(part_budget, part))
    }

    /// Earliest time at which a window of this length holds fewer sends than `max_calls`.
    fn next_in_window(&self, max_calls: usize, window: Span) -> Time {
        let index = self.sends.len().checked_sub(max_calls);
        index.map_or(Time::MIN, |index| self.sends[index] + window)
    }

    /// Earliest time of the next half-open trial call, or of the next call to a recovering route with a budget below
    /// one call: a budget of at least one, times hundreds of instances, would overload the route. The jitter keeps
    /// instances that learn of an outage or its end together from sending together.
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
        let after_backoff = Span::from_ms(interval * capacity.jitter * settings.unseen_load);
        let backoff_over = capacity
            .backoff_until
            .map_or(Time::MIN, |at| at + after_backoff);
        let jitter = settings.unseen_load * (capacity.jitter - MEAN_JITTER);
        let since_last = Span::from_ms(interval * (1.0 + jitter));
        let after_last = self
            .sends
            .back()
            .map_or(Time::MIN, |last| *last + since_last);
        let at = after_last.max(backoff_over);
        match self.health {
            // Early in the ramp the interval is long, but the end of the ramp ends the wait.
            RouteHealth::Recovering(since) => at.min(since + rules.ramp_duration),
            RouteHealth::Healthy | RouteHealth::Ejected(_) => at,
        }
    }
}
