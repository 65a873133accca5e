//! What is observed of one route: its calls, refusals, failures and usual rate. Nothing is decided here.

use super::{Route, FAILS_OUT, LEAST_RECENT, RECENT, REFUSED_PART, SHUT_AFTER, SHUT_CALLS, USUAL_S};
use crate::interface::*;
use crate::limits::{Pace, Sight};

impl Route {
    pub(super) fn sent(&mut self, now: Time, keep: Span) {
        self.health.sent(now, keep);
        if let Some(pace) = &mut self.pace {
            pace.sent(now);
        }
    }

    pub(super) fn failed(&mut self, sent: Time, part: f64) {
        self.streak += if Some(sent) >= self.last_good_send { part } else { 0.0 };
    }

    /// The usual rate as it is now; it rests while the route is not well.
    pub(super) fn usual(&self, now: Time) -> f64 {
        let gap = self.usual_at.map_or(0.0, |at| (now - at).secs());
        self.usual.min(2.0 / gap.max(1e-3))
    }

    pub(super) fn told_limit(&mut self, told: Option<f64>, even: f64) {
        self.limit = told.or(self.limit);
        if let (Some(limit), Some(pace)) = (told, &mut self.pace) {
            pace.told(limit, even);
        }
    }

    pub(super) fn told(&mut self, until: Time) {
        self.wait_until = self.wait_until.max(Some(until));
    }

    pub(super) fn good(&mut self, now: Time, sent: Time, cold: Span, sight: Option<Sight>) {
        self.timeouts = 0;
        self.refusals = None;
        self.last_good_send = self.last_good_send.max(Some(sent));
        self.streak = 0.0;
        let gap = self.usual_at.map_or(0.0, |at| (now - at).secs());
        if self.health.settled(now, cold) {
            self.usual = self.usual * (-gap / USUAL_S).exp() + 1.0 / USUAL_S;
        }
        self.usual_at = Some(now);
        let down = self.health.is_down();
        self.pace.take_if(|pace| !pace.served(now, sent, gap, down, sight));
    }

    pub(super) fn refused(&mut self, now: Time, sent: Time, least: f64, sight: Option<Sight>) {
        self.failed(sent, REFUSED_PART);
        let (since, count) = self.refusals.get_or_insert((now, 0));
        *count += 1;
        if *count >= SHUT_CALLS && now - *since >= SHUT_AFTER {
            self.streak = self.streak.max(FAILS_OUT);
        }
        let served = self.last_good_send;
        match &mut self.pace {
            None => {
                // Right after a start the sends of an instant stand for less than the whole span.
                let (count, first) = self.health.recent(now, RECENT);
                let rate = (count as f64 / first.max(LEAST_RECENT).secs()).max(least);
                self.pace = Some(Pace::new(now, rate, sight));
            }
            Some(pace) => pace.refused(now, sent, served, least, sight),
        }
    }
}
