//! The steps of a takeover. The tests set the clock.

use super::*;

/// Returns the distinct steps of a standby that polls every 10 ms, with their times in milliseconds. `view` receives the
/// time and the previous steps.
fn takeover_steps(
    view: impl Fn(i64, &[TakeoverStep]) -> PredecessorView,
) -> Vec<(i64, TakeoverStep)> {
    let mut takeover = Takeover::new(Time(0));
    let mut steps = Vec::<(i64, TakeoverStep)>::new();
    for ms in (0..4000).step_by(10) {
        let previous: Vec<TakeoverStep> = steps.iter().map(|(_, step)| *step).collect();
        let step = takeover.next_step(Time(ms * 1000), view(ms, &previous));
        let is_new = steps.last().is_none_or(|(_, last)| *last != step);
        if is_new && step != TakeoverStep::Wait {
            steps.push((ms, step));
        }
    }
    steps
}

const ACTIVE: PredecessorView = PredecessorView {
    running: 1,
    active: 1,
};
const HANDED_OVER: PredecessorView = PredecessorView {
    running: 1,
    active: 0,
};
const EXITED: PredecessorView = PredecessorView {
    running: 0,
    active: 0,
};

#[test]
fn standby_takes_over_and_follows_after_the_handover() {
    let steps = takeover_steps(|ms, _| if ms < 130 { ACTIVE } else { HANDED_OVER });
    assert_eq!(
        steps,
        [(130, TakeoverStep::TakeOver), (140, TakeoverStep::Follow)]
    );
}

#[test]
fn standby_takes_over_at_once_from_a_killed_predecessor() {
    assert_eq!(
        takeover_steps(|ms, _| if ms < 300 { ACTIVE } else { EXITED }),
        [(300, TakeoverStep::TakeOver)]
    );
}

#[test]
fn handover_is_requested_from_predecessor_that_is_not_shut_down() {
    let steps = takeover_steps(|_, steps| {
        if steps.contains(&TakeoverStep::RequestHandover) {
            HANDED_OVER
        } else {
            ACTIVE
        }
    });
    assert_eq!(
        steps[..2],
        [
            (800, TakeoverStep::RequestHandover),
            (810, TakeoverStep::TakeOver)
        ]
    );
}

#[test]
fn unresponsive_predecessor_is_fenced_before_takeover() {
    let steps = takeover_steps(|_, steps| {
        if steps.contains(&TakeoverStep::Fence) {
            HANDED_OVER
        } else {
            ACTIVE
        }
    });
    assert_eq!(
        steps[..3],
        [
            (800, TakeoverStep::RequestHandover),
            (1500, TakeoverStep::Fence),
            (1510, TakeoverStep::TakeOver)
        ]
    );
}

#[test]
fn unfenced_active_predecessor_prevents_takeover() {
    assert_eq!(
        takeover_steps(|_, _| ACTIVE),
        [
            (800, TakeoverStep::RequestHandover),
            (1500, TakeoverStep::Fence)
        ]
    );
}

/// A fence whose mark could not be written must be repeated. Otherwise the standby would not deliver any message while the
/// process of its predecessor is stopped.
#[test]
fn fence_is_repeated_while_a_predecessor_is_active() {
    let mut takeover = Takeover::new(Time(0));
    let mut fences = 0;
    for ms in (0..6000).step_by(10) {
        let view = if fences < 3 { ACTIVE } else { HANDED_OVER };
        match takeover.next_step(Time(ms * 1000), view) {
            TakeoverStep::Fence => fences += 1,
            TakeoverStep::TakeOver => return,
            _ => {}
        }
    }
    panic!("the standby has not taken over after {fences} fences");
}
