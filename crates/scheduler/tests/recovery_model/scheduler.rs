//! Model of the complete scheduler with one destination that is out of service: all orders of events up to a length.

use super::common::{
    attempt_finished, listed_endpoint, rejected_for, sends, settings, TestScheduler, REJECTED,
};
use super::max_calls;
use marblefall_scheduler::{
    Action, Event, MessageId, Outcome, RateHints, Rules, Settings, Span, Time,
};
use stateright::{Checker, Model, Property};

/// Listed rate of the destination, in calls per second.
const LISTED_RATE: f64 = 6.0;
/// Number of consecutive failures that eject the destination.
const FAILURES_TO_EJECT: u32 = 3;
/// Maximum number of concurrent half-open trial calls.
const MAX_TRIAL_CALLS: usize = 2;
/// Maximum number of events in an order.
const EVENTS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Submit,
    Deliver,
    Reset,
    Reject,
    RejectForTwoSeconds,
    TimePasses { ms: i64 },
}

const ALL_STEPS: [Step; 7] = [
    Step::Submit,
    Step::Deliver,
    Step::Reset,
    Step::Reject,
    Step::RejectForTwoSeconds,
    Step::TimePasses { ms: 700 },
    Step::TimePasses { ms: 1400 },
];

/// Steps that eject the destination and leave messages pending.
const OUTAGE: [Step; 6] = [
    Step::Submit,
    Step::Reset,
    Step::Reset,
    Step::Reset,
    Step::Submit,
    Step::Submit,
];

/// An attempt in flight.
struct InFlight {
    message: MessageId,
    attempt: u32,
    sent: Time,
}

/// State of the destination, derived only from the scheduler's input and output.
#[derive(Default)]
struct Observer {
    in_flight: Vec<InFlight>,
    sends: Vec<(MessageId, Time)>,
    backoff_until: Time,
    ejected_since: Option<Time>,
    recovering_since: Option<Time>,
    consecutive_failures: u32,
}

impl Observer {
    fn attempts(&self, message: MessageId) -> u32 {
        let sends = self.sends.iter().filter(|(sent, _)| *sent == message);
        sends.count() as u32
    }

    fn finished(&mut self, now: Time, sent: Time, outcome: Outcome) {
        match outcome {
            Outcome::Delivered => {
                if self.ejected_since.is_some_and(|since| sent >= since) {
                    (self.ejected_since, self.recovering_since) = (None, Some(now));
                }
                self.consecutive_failures = 0;
            }
            Outcome::Rejected { retry_after } => {
                let until = now + retry_after.unwrap_or(Span::ZERO);
                self.backoff_until = self.backoff_until.max(until);
            }
            _ => {
                self.consecutive_failures += 1;
                if self.consecutive_failures == FAILURES_TO_EJECT {
                    (self.ejected_since, self.recovering_since) = (Some(now), None);
                }
            }
        }
    }

    /// Records a send and checks it.
    fn sent(
        &mut self,
        now: Time,
        message: MessageId,
        rules: &Rules,
        own_rate: f64,
    ) -> Result<(), &'static str> {
        if self.in_flight.iter().any(|other| other.message == message) {
            return Err("two attempts of one message in flight");
        }
        self.in_flight.push(InFlight {
            message,
            attempt: self.attempts(message),
            sent: now,
        });
        self.sends.push((message, now));
        if now < self.backoff_until {
            return Err("sent within a backoff");
        }
        if self.ejected_since.is_some() && self.in_flight.len() > MAX_TRIAL_CALLS {
            return Err("too many half-open trial calls");
        }
        let Some(since) = self.recovering_since else {
            return Ok(());
        };
        let recovering_for = now - since;
        if recovering_for >= rules.ramp_duration {
            return Ok(());
        }
        // Calls before the start of the recovery do not count against the present capacity.
        let counts = |sent: Time| sent >= since && now - sent < rules.overload_window;
        let recent = self.sends.iter().filter(|(_, sent)| counts(*sent)).count();
        if recent > max_calls(rules, recovering_for, own_rate, f64::INFINITY) {
            return Err("more calls than this instance's share of the ramp");
        }
        Ok(())
    }
}

/// Runs an outage and then `steps`. Returns the number of sends, or the rule that was violated.
fn run(steps: &[Step]) -> Result<usize, &'static str> {
    let settings = Settings {
        rate_hints: RateHints::Exact,
        ..settings()
    };
    let rules = settings.rules.clone();
    let own_rate = LISTED_RATE / settings.instances as f64;
    let mut scheduler = TestScheduler::new(settings);
    let mut listed = listed_endpoint(0, 0, 0, 0);
    listed.advertised_rate = LISTED_RATE;
    scheduler.handle(Event::EndpointsReplaced(vec![listed]));
    scheduler.warm_up(0);
    let mut observer = Observer::default();
    for step in OUTAGE.iter().chain(steps) {
        let actions = apply(&mut scheduler, &mut observer, *step);
        for (message, _) in sends(&actions) {
            observer.sent(scheduler.now, message, &rules, own_rate)?;
        }
    }
    Ok(observer.sends.len())
}

fn apply(scheduler: &mut TestScheduler, observer: &mut Observer, step: Step) -> Vec<Action> {
    let now = scheduler.now;
    let outcome = match step {
        Step::Submit => return scheduler.submit(0, 0).1,
        Step::TimePasses { ms } => return scheduler.idle(now.ms() + ms as f64),
        Step::Deliver => Outcome::Delivered,
        Step::Reset => Outcome::Reset,
        Step::Reject => REJECTED,
        Step::RejectForTwoSeconds => rejected_for(2000.0),
    };
    if observer.in_flight.is_empty() {
        return vec![];
    }
    let call = observer.in_flight.remove(0);
    observer.finished(now, call.sent, outcome);
    scheduler.handle(attempt_finished(call.message, call.attempt, outcome))
}

/// Model whose states are all orders of steps up to a length.
struct SchedulerModel {
    length: usize,
}

impl Model for SchedulerModel {
    type State = Vec<Step>;
    type Action = Step;

    fn init_states(&self) -> Vec<Self::State> {
        vec![vec![]]
    }

    fn actions(&self, state: &Self::State, actions: &mut Vec<Step>) {
        if state.len() < self.length {
            actions.extend(ALL_STEPS);
        }
    }

    fn next_state(&self, last: &Self::State, step: Step) -> Option<Self::State> {
        Some([last.as_slice(), &[step]].concat())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is violated", |_, steps: &Vec<Step>| {
                run(steps).is_ok()
            }),
            Property::sometimes("many calls are sent", |_, steps: &Vec<Step>| {
                run(steps).is_ok_and(|sent| sent > 5)
            }),
        ]
    }
}

#[test]
fn no_order_of_events_breaks_backoff_or_ramp() {
    let model = SchedulerModel { length: EVENTS };
    let checker = model.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 100_000,
        "{}",
        checker.unique_state_count()
    );
}
