//! How what was out is eased back into service: the return controller of one route.
//!
//! A route is *warm* until it is judged *down*. Then messages of its own are its only trials, far apart: while one of
//! them is out, the route is being *probed*. The first answer to a trial begins the *easing*: over the cold time the
//! calls that are let go rise from the cold share of the route's capacity to all of it, and from there on they rise
//! further until nothing is held for it any more. Only then it is warm, or all that waited through the outage would go
//! out at the end of the cold time at once.
//!
//! Couriers do not speak of it with each other: each takes its own part of the ramp and has draws of its own.
//!
//! Free of I/O, clocks and threads: every call is told what time it is.

use crate::interface::{Rules, Span, Time};
use std::collections::VecDeque;

/// Trials of a route that is down are at least this far apart, in ms ...
const TRIAL_LEAST_MS: f64 = 700.0;
/// ... and at most this for each courier there is: all together try about once in it.
const TRIAL_MOST_MS: f64 = 1000.0;
/// Couriers that share the one call in the span of the rule which an easing route is always left.
const LEAST_COURIERS: f64 = 4.0;

/// Parts of the span of the rule over which an easing route's calls are evened out.
const PARTS: usize = 4;

/// How a route stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    /// In service; nothing is held back on account of an outage.
    #[default]
    Warm,
    /// Judged to be out, since then. With a trial out it is being probed.
    Down(Time),
    /// It answered again, first at that time.
    Easing(Time),
}

/// What holds for all routes of a courier.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The ramp: its start, its length, and what would push a returning route over.
    pub rules: &'a Rules,
    /// Couriers there are, this one counted; 1 or more.
    pub couriers: f64,
    /// How far this courier goes its own way, from 0 (it sees most of the load) to 1.
    pub vary: f64,
}

/// What a courier may count on of one route.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// This courier's part of what the route bears when it is warm, in calls a second.
    pub own: f64,
    /// More than this is not let go after the cold time either, in calls a second, as far as it is known.
    pub most: Option<f64>,
    /// This courier's own draw for the route, in 0..1.
    pub phase: f64,
    /// Until when the route told it to wait.
    pub wait_until: Option<Time>,
}

/// The return controller of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Comeback {
    stage: Stage,
    /// Calls and probes sent within the span that was asked for last.
    sends: VecDeque<Time>,
}

impl Rules {
    /// The part of its capacity that what came back this long ago has by now, from the cold share to 1.
    pub(crate) fn warmth(&self, back: Span) -> f64 {
        self.ramp(back).min(1.0)
    }

    /// The same, rising on beyond 1.
    fn ramp(&self, back: Span) -> f64 {
        self.ramp_start + (1.0 - self.ramp_start) * back.ms() / self.ramp_duration.ms().max(1.0)
    }
}

impl Comeback {
    /// One that stands as a record of it says; what it was sent is not known.
    pub fn at(stage: Stage) -> Comeback {
        Comeback { stage, sends: VecDeque::new() }
    }

    /// How the route stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the route is down.
    pub fn is_down(&self) -> bool {
        matches!(self.stage, Stage::Down(_))
    }

    /// Whether what the route delivers tells what it can do: it is warm, or its cold time is over.
    pub fn settled(&self, now: Time, cold: Span) -> bool {
        match self.stage {
            Stage::Warm => true,
            Stage::Easing(since) => now - since >= cold,
            Stage::Down(_) => false,
        }
    }

    /// Notes a call or probe; those sent `keep` or longer ago are forgotten.
    pub fn sent(&mut self, now: Time, keep: Span) {
        while self.sends.front().is_some_and(|sent| now - *sent >= keep) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// How many calls went out within the span, and how long ago the first of them: the span itself if none did.
    pub fn recent(&self, now: Time, span: Span) -> (usize, Span) {
        let recent = self.sends.iter().filter(|sent| now - **sent < span);
        (recent.clone().count(), recent.clone().next().map_or(span, |first| now - *first))
    }

    /// Takes the end of a call sent at `sent`: whether it was answered, whether the route is failing by now, and whether
    /// messages are still held for it, which is looked up only where it matters. Says whether it went down or came up.
    pub fn judged(
        &mut self,
        now: Time,
        sent: Time,
        answered: bool,
        failing: bool,
        held: impl FnOnce() -> bool,
        cold: Span,
    ) -> bool {
        let was_down = self.is_down();
        self.stage = match self.stage {
            // What was sent before it went down tells nothing of a return.
            Stage::Down(since) if answered && sent >= since => Stage::Easing(now),
            Stage::Warm | Stage::Easing(_) if failing => Stage::Down(now),
            Stage::Easing(since) if now - since >= cold && !held() => Stage::Warm,
            stage => stage,
        };
        was_down != self.is_down()
    }

    /// It answers after a silence in which too few calls failed to call it down, as where they hang for long: what waits
    /// for it must not go out at once all the same.
    pub fn woke(&mut self, now: Time) {
        if self.stage == Stage::Warm {
            self.stage = Stage::Easing(now);
        }
    }

    /// From when on the route may be sent another call; the past if nothing holds it back.
    pub fn opens(&self, now: Time, terms: &Terms, part: &Part) -> Time {
        let (rules, past) = (terms.rules, Time(i64::MIN));
        let (back, least) = match self.stage {
            Stage::Warm => return past,
            Stage::Down(_) => (Span::ZERO, 1e-6),
            Stage::Easing(since) => (now - since, LEAST_COURIERS),
        };
        let rate = rules.overload_factor * rules.ramp(back) * part.own;
        let most = part.most.filter(|_| back >= rules.ramp_duration).unwrap_or(f64::INFINITY);
        let budget = (rate.min(most) * rules.overload_window.secs()).max((least / terms.couriers).min(1.0));
        if budget >= 1.0 && !self.is_down() {
            // Part by part of the span too, or all of it would go out at its start.
            let even = (budget as usize).div_ceil(PARTS);
            let spans = [
                (budget as usize, rules.overload_window),
                (even, Span(rules.overload_window.0 / PARTS as i64)),
            ];
            let after = |(calls, span): (usize, Span)| {
                let place = self.sends.len().checked_sub(calls);
                place.map_or(past, |place| self.sends[place] + span)
            };
            return spans.map(after).into_iter().max().unwrap_or(past);
        }
        // A budget under one call stretches the span: a least of one, times hundreds of couriers, would push
        // over what returns. Each has a phase of its own, or what they saw at once they would try at once.
        let apart = (rules.overload_window.ms() / budget)
            .clamp(TRIAL_LEAST_MS, TRIAL_MOST_MS * terms.couriers.max(1.0));
        let waited = part.wait_until.map_or(past, |at| at + Span::from_ms(apart * part.phase * terms.vary));
        let spread = Span::from_ms(apart * (1.0 + terms.vary * (part.phase - 0.5)));
        let at = self.sends.back().map_or(past, |last| *last + spread).max(waited);
        // A trial is far off while a route is cold, but not farther than the end of its cold time.
        match self.stage {
            Stage::Easing(since) => at.min(since + rules.ramp_duration),
            Stage::Warm | Stage::Down(_) => at,
        }
    }
}
