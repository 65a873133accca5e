//! How a route that was ejected is eased back into service.
//!
//! A route is [`RouteHealth::Healthy`] until it is [`RouteHealth::Ejected`]. Then messages of its own are its only trials,
//! far apart. The first answer to a trial makes it [`RouteHealth::Recovering`]: over the ramp's duration the calls that
//! are let go rise from the ramp's start to all of the route's capacity, and from there on further until nothing is
//! pending for it any more. Only then it is healthy, or all that waited through the outage would go out at the end of
//! the ramp at once.
//!
//! Instances do not speak of it with each other: each takes its own share of the ramp and has a jitter of its own.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Rules, Span, Time};
use std::collections::VecDeque;

/// Trials of an ejected route are at least this far apart, in ms ...
const MIN_TRIAL_INTERVAL_MS: f64 = 700.0;
/// ... and at most this for each instance there is: all together try about once in it.
const MAX_TRIAL_INTERVAL_MS: f64 = 1000.0;
/// Instances that share the one call in the overload window which a recovering route is always left.
const MIN_INSTANCES: f64 = 4.0;
/// The calls per second that an ejected route is given to start from: none but trials.
const EJECTED_BUDGET: f64 = 1e-6;
/// Parts of the overload window over which a recovering route's calls are evened out.
const WINDOW_PARTS: usize = 4;

/// Health of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RouteHealth {
    /// In service; nothing is held back on account of an outage.
    #[default]
    Healthy,
    /// Out of service since then, but for trials.
    Ejected(Time),
    /// It answered again, first at that time.
    Recovering(Time),
}

/// What holds for all routes of an instance.
#[derive(Clone, Copy, Debug)]
pub struct RampSettings<'a> {
    /// The ramp's start and duration, and what would overload a recovering route.
    pub rules: &'a Rules,
    /// Instances there are, this one counted; 1 or more.
    pub instances: f64,
    /// The part of the load that this instance does not see, from 0 to 1.
    pub unseen_load: f64,
}

/// What an instance may count on of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteCapacity {
    /// This instance's share of what the healthy route bears, in calls per second.
    pub own_rate: f64,
    /// More than this is not let go after the ramp either, in calls per second, as far as it is known.
    pub max_rate: Option<f64>,
    /// This instance's jitter for the route, in 0..1.
    pub jitter: f64,
    /// Until when the route asked to back off.
    pub backoff_until: Option<Time>,
}

/// The end of a call or health check, as the ramp sees it.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When it was sent.
    pub sent: Time,
    /// Whether it was answered.
    pub answered: bool,
    /// Whether the route is failing by now.
    pub failing: bool,
}

/// The recovery ramp of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RecoveryRamp {
    health: RouteHealth,
    /// Calls and health checks sent within the retention that was asked for last.
    sends: VecDeque<Time>,
}

impl Rules {
    /// The share of its capacity that a route has that has been recovering for so long, from the ramp's start to 1.
    pub(crate) fn capacity_share(&self, recovering_for: Span) -> f64 {
        self.ramp(recovering_for).min(1.0)
    }

    /// The same, rising on beyond 1.
    fn ramp(&self, recovering_for: Span) -> f64 {
        self.ramp_start
            + (1.0 - self.ramp_start) * recovering_for.ms() / self.ramp_duration.ms().max(1.0)
    }
}

impl RecoveryRamp {
    /// A ramp of a route with this health; what it was sent is not known.
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

    /// Whether what the route delivers tells what it can do: it is healthy, or its ramp is over.
    pub fn is_settled(&self, now: Time, ramp_duration: Span) -> bool {
        match self.health {
            RouteHealth::Healthy => true,
            RouteHealth::Recovering(since) => now - since >= ramp_duration,
            RouteHealth::Ejected(_) => false,
        }
    }

    /// Notes a call or health check; those sent `retention` or longer ago are forgotten.
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

    /// How many calls were sent within the window, and how long ago the first of them: the window itself if none were.
    pub fn recent(&self, now: Time, window: Span) -> (usize, Span) {
        let recent = self.sends.iter().filter(|sent| now - **sent < window);
        let age_of_first = recent.clone().next().map_or(window, |first| now - *first);
        (recent.count(), age_of_first)
    }

    /// Takes the end of a call; whether messages are pending for the route is looked up only where it matters. Returns
    /// whether the route was ejected or began to recover.
    pub fn observe(
        &mut self,
        now: Time,
        observation: Observation,
        has_pending: impl FnOnce() -> bool,
        ramp_duration: Span,
    ) -> bool {
        let was_ejected = self.is_ejected();
        let Observation {
            sent,
            answered,
            failing,
        } = observation;
        self.health = match self.health {
            // What was sent before it was ejected tells nothing of a recovery.
            RouteHealth::Ejected(since) if answered && sent >= since => {
                RouteHealth::Recovering(now)
            }
            RouteHealth::Healthy | RouteHealth::Recovering(_) if failing => {
                RouteHealth::Ejected(now)
            }
            RouteHealth::Recovering(since) if now - since >= ramp_duration && !has_pending() => {
                RouteHealth::Healthy
            }
            health => health,
        };
        was_ejected != self.is_ejected()
    }

    /// The route answers after a silence in which too few calls failed to eject it, as where they hang for long: what
    /// is pending for it must not go out at once all the same.
    pub fn answered_after_silence(&mut self, now: Time) {
        if self.health == RouteHealth::Healthy {
            self.health = RouteHealth::Recovering(now);
        }
    }

    /// From when on the route may be sent another call; the past if nothing holds it back.
    pub fn next_call_at(
        &self,
        now: Time,
        settings: &RampSettings,
        capacity: &RouteCapacity,
    ) -> Time {
        let rules = settings.rules;
        let (recovering_for, min_budget) = match self.health {
            RouteHealth::Healthy => return Time(i64::MIN),
            RouteHealth::Ejected(_) => (Span::ZERO, EJECTED_BUDGET),
            RouteHealth::Recovering(since) => (now - since, MIN_INSTANCES),
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

    /// From when on a budget of calls in the overload window leaves another one; part by part of the window too, or all
    /// of it would go out at its start.
    fn next_within_budget(&self, budget: usize, window: Span) -> Time {
        let even = budget.div_ceil(WINDOW_PARTS);
        let windows = [
            (budget, window),
            (even, Span(window.0 / WINDOW_PARTS as i64)),
        ];
        let after = |(calls, window): (usize, Span)| {
            let index = self.sends.len().checked_sub(calls);
            index.map_or(Time(i64::MIN), |index| self.sends[index] + window)
        };
        windows
            .map(after)
            .into_iter()
            .max()
            .unwrap_or(Time(i64::MIN))
    }

    /// A budget under one call stretches the window: a least of one, times hundreds of instances, would overload what
    /// recovers. Each has a jitter of its own, or what they saw at once they would try at once.
    fn next_trial_at(
        &self,
        budget: f64,
        settings: &RampSettings,
        capacity: &RouteCapacity,
    ) -> Time {
        let (rules, past) = (settings.rules, Time(i64::MIN));
        let longest = MAX_TRIAL_INTERVAL_MS * settings.instances.max(1.0);
        let interval = (rules.overload_window.ms() / budget).clamp(MIN_TRIAL_INTERVAL_MS, longest);
        let after_backoff = Span::from_ms(interval * capacity.jitter * settings.unseen_load);
        let backoff_over = capacity.backoff_until.map_or(past, |at| at + after_backoff);
        let spread =
            Span::from_ms(interval * (1.0 + settings.unseen_load * (capacity.jitter - 0.5)));
        let at = self
            .sends
            .back()
            .map_or(past, |last| *last + spread)
            .max(backoff_over);
        // A trial is far off early in the ramp, but not farther than the end of it.
        match self.health {
            RouteHealth::Recovering(since) => at.min(since + rules.ramp_duration),
            RouteHealth::Healthy | RouteHealth::Ejected(_) => at,
        }
    }
}
