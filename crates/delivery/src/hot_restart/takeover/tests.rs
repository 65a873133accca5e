use super::*;

/// The steps of a standby that looks every 10 ms, given what is seen at each millisecond after which steps.
fn steps_taken(view: impl Fn(i64, &[TakeoverStep]) -> PredecessorView) -> Vec<(i64, TakeoverStep)> {
    let mut takeover = Takeover::new(Time(0));
    let mut steps = Vec::<(i64, TakeoverStep)>::new();
    for ms in (0..4000).step_by(10) {
        let so_far: Vec<TakeoverStep> = steps.iter().map(|(_, step)| *step).collect();
        let step = takeover.next_step(Time(ms * 1000), view(ms, &so_far));
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
fn handed_over_predecessor_is_taken_over_and_followed() {
    let steps = steps_taken(|ms, _| if ms < 130 { ACTIVE } else { HANDED_OVER });
    assert_eq!(
        steps,
        [(130, TakeoverStep::TakeOver), (140, TakeoverStep::Follow)]
    );
}

#[test]
fn killed_predecessor_is_taken_over_at_once() {
    assert_eq!(
        steps_taken(|ms, _| if ms < 300 { ACTIVE } else { EXITED }),
        [(300, TakeoverStep::TakeOver)]
    );
}

#[test]
fn predecessor_without_shutdown_is_requested_to_hand_over() {
    let steps = steps_taken(|_, steps| {
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
    let steps = steps_taken(|_, steps| {
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
        steps_taken(|_, _| ACTIVE),
        [
            (800, TakeoverStep::RequestHandover),
            (1500, TakeoverStep::Fence)
        ]
    );
}

/// A fence whose mark the disk did not take was never written again: behind a predecessor that was stopped, the standby
/// accepted messages for ever and delivered none.
#[test]
fn fence_is_repeated_while_a_predecessor_stays_active() {
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
    panic!("never taken over, {fences} fences");
}
