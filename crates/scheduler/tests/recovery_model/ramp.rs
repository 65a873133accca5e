//! Model of the recovery ramp of one route alone, in steps of half a second.

use super::common::settings;
use super::max_calls;
use marblefall_scheduler::recovery_ramp::{
    HealthChange, Observation, RampSettings, RecoveryRamp, RouteCapacity, RouteHealth,
};
use marblefall_scheduler::{Rules, Span, Time};
use stateright::{Checker, Model, Property};

const STEP: Span = Span::from_secs(0.5);
/// Minimum time between two half-open trial calls.
const MIN_TRIAL_INTERVAL: Span = Span::from_secs(0.7);
/// Number of consecutive failures that eject the route.
const FAILURES_TO_EJECT: u8 = 2;
const MAX_PENDING: u8 = 3;
const MAX_IN_FLIGHT: usize = 2;
/// End of the model, in ms.
const END_MS: f64 = 5000.0;

/// Model of a route, with the rates of its [`RouteCapacity`].
struct RampModel {
    own_rate: f64,
    max_rate: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RampState {
    now: Time,
    ramp: RecoveryRamp,
    pending: u8,
    /// Send times of the calls in flight, in the order of the sends.
    in_flight: Vec<Time>,
    consecutive_failures: u8,
    /// Send times since the latest ejection.
    sends: Vec<Time>,
    /// Time of the first answer since the latest ejection.
    recovering_since: Option<Time>,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum RampEvent {
    TimePasses,
    Submit,
    Send,
    Answer,
    Fail,
    /// Everything except the route's health is lost, as in a restart of the instance.
    Restart,
}

fn rules() -> Rules {
    Rules {
        ramp_duration: Span::from_ms(2000.0),
        overload_window: Span::from_ms(1000.0),
        ..settings().rules
    }
}

impl RampState {
    fn send(&mut self, rules: &Rules, model: &RampModel) {
        let since_last = self.sends.last().map(|sent| self.now - *sent);
        self.pending -= 1;
        self.in_flight.push(self.now);
        self.sends.push(self.now);
        self.ramp.sent(self.now, rules.overload_window);
        match (self.ramp.health(), self.recovering_since) {
            (RouteHealth::Ejected(_), _)
                if since_last.is_some_and(|since| since < MIN_TRIAL_INTERVAL) =>
            {
                self.violation = Some("too little time between half-open trial calls");
            }
            (RouteHealth::Recovering(_), Some(since)) => {
                let is_recent = |sent: &&Time| self.now - **sent < rules.overload_window;
                let recent = self.sends.iter().filter(is_recent).count();
                let recovering_for = self.now - since;
                if recent > max_calls(rules, recovering_for, model.own_rate, model.max_rate) {
                    self.violation = Some("more calls than the ramp permits");
                }
            }
            _ => {}
        }
    }

    fn end_call(&mut self, rules: &Rules, answered: bool) {
        let sent = self.in_flight.remove(0);
        self.consecutive_failures = if answered {
            0
        } else {
            (self.consecutive_failures + 1).min(FAILURES_TO_EJECT)
        };
        let before = self.ramp.health();
        let has_pending = self.pending > 0;
        let observation = Observation {
            sent,
            answered,
            failing: self.consecutive_failures == FAILURES_TO_EJECT,
        };
        let change = self
            .ramp
            .observe(self.now, observation, || has_pending, rules.ramp_duration);
        let after = self.ramp.health();
        match (before, after) {
            (RouteHealth::Ejected(since), RouteHealth::Recovering(_)) if sent < since => {
                self.violation = Some("a call sent before the ejection started the recovery");
            }
            (RouteHealth::Ejected(_), RouteHealth::Recovering(_)) => {
                self.recovering_since = Some(self.now);
            }
            (RouteHealth::Recovering(since), RouteHealth::Healthy)
                if has_pending || self.now - since < rules.ramp_duration =>
            {
                self.violation =
                    Some("healthy before the end of the ramp or with pending messages");
            }
            (_, RouteHealth::Ejected(_)) if change.is_some() => {
                (self.sends, self.recovering_since) = (vec![], None);
            }
            _ => {}
        }
        if change != expected_change(before, after) {
            self.violation = Some("the reported change differs from the actual one");
        }
    }

    /// Removes the sends that are older than the window, except the last one, so that equivalent states compare equal.
    fn forget_old_sends(&mut self, rules: &Rules) {
        let now = self.now;
        let last = self.sends.last().copied();
        self.sends
            .retain(|sent| now - *sent < rules.overload_window || Some(*sent) == last);
    }
}

fn expected_change(before: RouteHealth, after: RouteHealth) -> Option<HealthChange> {
    let is_ejected = |health| matches!(health, RouteHealth::Ejected(_));
    match (is_ejected(before), is_ejected(after)) {
        (false, true) => Some(HealthChange::Ejected),
        (true, false) => Some(HealthChange::Recovering),
        (false, false) | (true, true) => None,
    }
}

impl Model for RampModel {
    type State = RampState;
    type Action = RampEvent;

    fn init_states(&self) -> Vec<RampState> {
        vec![RampState {
            now: Time(0),
            ramp: RecoveryRamp::with_health(RouteHealth::Ejected(Time(0))),
            pending: 2,
            in_flight: vec![],
            consecutive_failures: 0,
            sends: vec![],
            recovering_since: None,
            violation: None,
        }]
    }

    fn actions(&self, state: &RampState, actions: &mut Vec<RampEvent>) {
        let rules = rules();
        let settings = RampSettings {
            rules: &rules,
            instances: 1.0,
            unobserved_load: 0.0,
        };
        let capacity = RouteCapacity {
            own_rate: self.own_rate,
            max_rate: Some(self.max_rate),
            jitter: 0.5,
            backoff_until: None,
        };
        actions.extend([RampEvent::TimePasses, RampEvent::Restart]);
        if state.pending < MAX_PENDING {
            actions.push(RampEvent::Submit);
        }
        let permitted_at = state.ramp.next_call_at(state.now, &settings, &capacity);
        let is_permitted = permitted_at <= state.now;
        if state.pending > 0 && is_permitted && state.in_flight.len() < MAX_IN_FLIGHT {
            actions.push(RampEvent::Send);
        }
        if !state.in_flight.is_empty() {
            actions.extend([RampEvent::Answer, RampEvent::Fail]);
        }
    }

    fn next_state(&self, last: &RampState, event: RampEvent) -> Option<RampState> {
        let (rules, mut state) = (rules(), last.clone());
        match event {
            RampEvent::TimePasses => state.now = state.now + STEP,
            RampEvent::Submit => state.pending += 1,
            RampEvent::Send => state.send(&rules, self),
            RampEvent::Answer => state.end_call(&rules, true),
            RampEvent::Fail => state.end_call(&rules, false),
            RampEvent::Restart => {
                state.ramp = RecoveryRamp::with_health(state.ramp.health());
                (state.in_flight, state.sends) = (vec![], vec![]);
            }
        }
        state.forget_old_sends(&rules);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is violated", |_, state: &RampState| {
                state.violation.is_none()
            }),
            Property::sometimes("the route becomes healthy", |_, state: &RampState| {
                state.recovering_since.is_some() && state.ramp.health() == RouteHealth::Healthy
            }),
            Property::sometimes(
                "the route is ejected again while it recovers",
                |_, state: &RampState| {
                    state.now > Time(0)
                        && matches!(state.ramp.health(), RouteHealth::Ejected(since) if since > Time(0))
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &RampState) -> bool {
        state.now.ms() <= END_MS
    }
}

#[test]
fn no_order_of_events_breaks_a_recovery() {
    for (own_rate, max_rate) in [(0.2, 10.0), (1.0, 1.5), (2.0, 10.0)] {
        let checker = RampModel { own_rate, max_rate }
            .checker()
            .target_max_depth(24)
            .spawn_bfs()
            .join();
        checker.assert_properties();
        assert!(
            checker.unique_state_count() > 10_000,
            "{} states",
            checker.unique_state_count()
        );
    }
}
