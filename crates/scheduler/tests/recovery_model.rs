//! The return controller, model-checked: every order of events up to a bound, by the controller alone and by the whole
//! scheduler. The rules are kept here once more, from what is seen from outside.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]

mod common;

use common::*;
use marblefall_scheduler::recovery_ramp::*;
use marblefall_scheduler::*;
use stateright::{Checker, Model, Property};

const STEP_MS: i64 = 500;

fn rules() -> Rules {
    Rules {
        ramp_duration: Span::from_ms(2000.0),
        overload_window: Span::from_ms(1000.0),
        ..settings().rules
    }
}

/// What at most may have been sent within the span of the rule to what came back this long ago.
fn bound(rules: &Rules, back: Span, own: f64, most: f64) -> usize {
    let ramp = rules.ramp_start + (1.0 - rules.ramp_start) * back.ms() / rules.ramp_duration.ms();
    let rate = rules.overload_factor * ramp * own;
    let rate = if back < rules.ramp_duration {
        rate
    } else {
        rate.min(most)
    };
    (rate * rules.overload_window.secs()).max(1.0) as usize
}

/// One route and everything that can happen to it, in steps of half a second.
struct Alone {
    own: f64,
    most: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    now: Time,
    controller: RecoveryRamp,
    held: u8,
    /// Send times of the calls that are out, in their order.
    out: Vec<Time>,
    failed: u8,
    /// Send times since it went down last, and when it first answered since.
    sends: Vec<Time>,
    back: Option<Time>,
    broken: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Pass,
    Hand,
    Send,
    Answer,
    Fail,
    /// A record of it is all that is left, as after a restart.
    Recall,
}

impl Model for Alone {
    type State = Seen;
    type Action = Step;

    fn init_states(&self) -> Vec<Seen> {
        let controller = RecoveryRamp::with_health(RouteHealth::Ejected(Time(0)));
        let (out, sends) = (vec![], vec![]);
        vec![Seen {
            now: Time(0),
            controller,
            held: 2,
            out,
            failed: 0,
            sends,
            back: None,
            broken: None,
        }]
    }

    fn actions(&self, state: &Seen, actions: &mut Vec<Step>) {
        let rules = rules();
        let terms = RampSettings {
            rules: &rules,
            instances: 1.0,
            unseen_load: 0.0,
        };
        let fraction = RouteCapacity {
            own_rate: self.own,
            max_rate: Some(self.most),
            jitter: 0.5,
            backoff_until: None,
        };
        actions.extend([Step::Pass, Step::Recall]);
        if state.held < 3 {
            actions.push(Step::Hand);
        }
        let open = state.controller.next_call_at(state.now, &terms, &fraction) <= state.now;
        if state.held > 0 && open && state.out.len() < 2 {
            actions.push(Step::Send);
        }
        if !state.out.is_empty() {
            actions.extend([Step::Answer, Step::Fail]);
        }
    }

    fn next_state(&self, last: &Seen, step: Step) -> Option<Seen> {
        let (rules, mut state) = (rules(), last.clone());
        match step {
            Step::Pass => state.now = state.now + Span::from_ms(STEP_MS as f64),
            Step::Hand => state.held += 1,
            Step::Send => {
                let gap = state.sends.last().map(|sent| state.now - *sent);
                state.held -= 1;
                state.out.push(state.now);
                state.sends.push(state.now);
                state.controller.sent(state.now, rules.overload_window);
                let lately = state
                    .sends
                    .iter()
                    .filter(|sent| state.now - **sent < rules.overload_window)
                    .count();
                match (state.controller.health(), state.back) {
                    (RouteHealth::Ejected(_), _)
                        if gap.is_some_and(|gap| gap < Span::from_ms(700.0)) =>
                    {
                        state.broken = Some("trials too close to each other");
                    }
                    (RouteHealth::Recovering(_), Some(back))
                        if lately > bound(&rules, state.now - back, self.own, self.most) =>
                    {
                        state.broken = Some("more than the ramp lets go");
                    }
                    _ => {}
                }
            }
            Step::Answer | Step::Fail => {
                let sent = state.out.remove(0);
                let answered = step == Step::Answer;
                state.failed = if answered {
                    0
                } else {
                    (state.failed + 1).min(2)
                };
                let was = state.controller.health();
                let (failing, held) = (state.failed == 2, state.held > 0);
                let changed = state.controller.observe(
                    state.now,
                    Observation {
                        sent,
                        answered,
                        failing,
                    },
                    || held,
                    rules.ramp_duration,
                );
                let stage = state.controller.health();
                match (was, stage) {
                    (RouteHealth::Ejected(since), RouteHealth::Recovering(_)) if sent < since => {
                        state.broken = Some("what was sent before the outage ended it");
                    }
                    (RouteHealth::Ejected(_), RouteHealth::Recovering(_)) => {
                        state.back = Some(state.now)
                    }
                    (RouteHealth::Recovering(since), RouteHealth::Healthy)
                        if held || state.now - since < rules.ramp_duration =>
                    {
                        state.broken = Some("warm before its time, or while messages wait");
                    }
                    (_, RouteHealth::Ejected(_)) if changed.is_some() => {
                        (state.sends, state.back) = (vec![], None)
                    }
                    _ => {}
                }
                if changed.is_some()
                    != (state.controller.is_ejected() != matches!(was, RouteHealth::Ejected(_)))
                {
                    state.broken = Some("a change that is not told");
                }
            }
            Step::Recall => {
                let stage = state.controller.health();
                state.controller = RecoveryRamp::with_health(stage);
                (state.out, state.sends) = (vec![], vec![]);
            }
        }
        // What is older than the span says nothing more; so states meet again.
        let now = state.now;
        let keep = state.sends.last().copied();
        state
            .sends
            .retain(|sent| now - *sent < rules.overload_window || Some(*sent) == keep);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule broken", |_, state: &Seen| state.broken.is_none()),
            Property::sometimes("it gets warm", |_, state: &Seen| {
                state.back.is_some() && state.controller.health() == RouteHealth::Healthy
            }),
            Property::sometimes("it goes down again while it is eased", |_, state: &Seen| {
                state.now > Time(0)
                    && matches!(state.controller.health(), RouteHealth::Ejected(since) if since > Time(0))
            }),
        ]
    }

    fn within_boundary(&self, state: &Seen) -> bool {
        state.now.ms() <= 5000.0
    }
}

#[test]
fn no_order_of_events_breaks_a_recovery() {
    for (own, most) in [(0.2, 10.0), (1.0, 1.5), (2.0, 10.0)] {
        let checker = Alone { own, most }
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

/// The whole scheduler with one destination that is down: all orders of events of this length.
struct Whole {
    length: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Move {
    Hand,
    Deliver,
    Break,
    TurnAway,
    TellToWait,
    Pass(i64),
}

const ALL: [Move; 7] = [
    Move::Hand,
    Move::Deliver,
    Move::Break,
    Move::TurnAway,
    Move::TellToWait,
    Move::Pass(700),
    Move::Pass(1400),
];
const LISTED: f64 = 6.0;

/// Plays the events from the outage on; says which rule was broken.
fn play(events: &[Move]) -> Result<usize, &'static str> {
    let set = Settings {
        rate_hints: RateHints::Exact,
        ..settings()
    };
    let rules = set.rules.clone();
    let own = LISTED / set.instances as f64;
    let mut scheduler = TestScheduler::new(set);
    let mut listed = listed_endpoint(0, 0, 0, 0);
    listed.advertised_rate = LISTED;
    scheduler.handle(Event::EndpointsReplaced(vec![listed]));
    scheduler.warm_up(0);
    let mut world = World {
        out: vec![],
        sends: vec![],
        wait: Time(0),
        back: None,
        down: None,
        fails: 0,
    };
    let begun = [
        Move::Hand,
        Move::Break,
        Move::Break,
        Move::Break,
        Move::Hand,
        Move::Hand,
    ];
    for event in begun.iter().chain(events) {
        let now = scheduler.now;
        let brought = match event {
            Move::Hand => scheduler.submit(0, 0).1,
            Move::Pass(ms) => scheduler.idle(now.ms() + *ms as f64),
            _ if world.out.is_empty() => continue,
            _ => {
                let (message, attempt, sent) = world.out.remove(0);
                let outcome = match event {
                    Move::Deliver => Outcome::Delivered,
                    Move::TurnAway => Outcome::Rejected { retry_after: None },
                    Move::TellToWait => Outcome::Rejected {
                        retry_after: Some(Span::from_ms(2000.0)),
                    },
                    _ => Outcome::Reset,
                };
                world.learn(now, sent, outcome);
                scheduler.handle(attempt_finished(message, attempt, outcome))
            }
        };
        for action in &brought {
            if let Action::Send { message, .. } = action {
                let attempt = world.out.iter().filter(|(out, ..)| out == message).count();
                if attempt > 0 {
                    return Err("two legs of one message");
                }
                let attempt = world.attempts(*message);
                world.out.push((*message, attempt, scheduler.now));
                world.sends.push((*message, scheduler.now));
                world.check(scheduler.now, &rules, own)?;
            }
        }
    }
    Ok(world.sends.len())
}

struct World {
    out: Vec<(MessageId, u32, Time)>,
    sends: Vec<(MessageId, Time)>,
    wait: Time,
    back: Option<Time>,
    down: Option<Time>,
    fails: u32,
}

impl World {
    fn attempts(&self, message: MessageId) -> u32 {
        self.sends
            .iter()
            .filter(|(sent, _)| *sent == message)
            .count() as u32
    }

    fn learn(&mut self, now: Time, sent: Time, outcome: Outcome) {
        match outcome {
            Outcome::Delivered => {
                if self.down.is_some_and(|since| sent >= since) {
                    (self.down, self.back) = (None, Some(now));
                }
                self.fails = 0;
            }
            Outcome::Rejected { retry_after: wait } => {
                self.wait = self.wait.max(now + wait.unwrap_or(Span::ZERO))
            }
            _ => {
                self.fails += 1;
                if self.fails == 3 {
                    (self.down, self.back) = (Some(now), None);
                }
            }
        }
    }

    fn check(&self, now: Time, rules: &Rules, own: f64) -> Result<(), &'static str> {
        if now < self.wait {
            return Err("sent inside a told wait");
        }
        if self.down.is_some() && self.out.len() > 2 {
            return Err("more than two trials out");
        }
        let eased = self.back.filter(|back| now - *back < rules.ramp_duration);
        // Only what was sent since it came back counts against what it can do now.
        let lately = |back: Time| {
            self.sends
                .iter()
                .filter(|(_, sent)| *sent >= back && now - *sent < rules.overload_window)
                .count()
        };
        match eased {
            Some(back) if lately(back) > bound(rules, now - back, own, f64::INFINITY) => {
                Err("more than its part of the ramp")
            }
            _ => Ok(()),
        }
    }
}

impl Model for Whole {
    type State = Vec<Move>;
    type Action = Move;

    fn init_states(&self) -> Vec<Self::State> {
        vec![vec![]]
    }

    fn actions(&self, state: &Self::State, actions: &mut Vec<Move>) {
        if state.len() < self.length {
            actions.extend(ALL);
        }
    }

    fn next_state(&self, last: &Self::State, event: Move) -> Option<Self::State> {
        Some([last.as_slice(), &[event]].concat())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule broken", |_, events: &Vec<Move>| {
                play(events).is_ok()
            }),
            Property::sometimes("many calls go out", |_, events: &Vec<Move>| {
                play(events).is_ok_and(|sent| sent > 5)
            }),
        ]
    }
}

#[test]
fn no_order_of_events_breaks_backoff_or_ramp() {
    let checker = Whole { length: 6 }.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 100_000,
        "{}",
        checker.unique_state_count()
    );
}
