//! Messages that are resumed after a restart: the attempts of the earlier incarnation count.

mod common;

use common::*;
use marblefall_scheduler::*;

/// Resumes a message with this number of attempts and this first attempt that may have been executed.
fn resume(
    scheduler: &mut TestScheduler,
    class: usize,
    attempts: u32,
    first_possible_execution: Option<AttemptStart>,
) -> Vec<Action> {
    let new_message = scheduler.new_message(class, 0, 0.0);
    let prior = PriorAttempts {
        attempts,
        first_possible_execution,
        in_flight: None,
    };
    scheduler.handle(Event::Resumed(new_message, prior))
}

#[test]
fn resumed_message_keeps_its_classs_retry_rules() {
    let executed_at = |ms| {
        Some(AttemptStart {
            sent: Time::from_ms(ms),
            endpoint: EndpointId(0),
        })
    };
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.at(9000.0);
    let within_window = resume(&mut scheduler, 1, 1, executed_at(6000.0));
    assert_eq!(sends(&within_window).len(), 1);
    let beyond_window = (1, executed_at(4900.0));
    let non_idempotent = (2, executed_at(8900.0));
    for (class, execution) in [beyond_window, non_idempotent] {
        let actions = resume(&mut scheduler, class, 1, execution);
        assert_eq!((sends(&actions).len(), given_up(&actions).len()), (0, 1));
    }
    let idempotent = resume(&mut scheduler, 0, 1, executed_at(-60_000.0));
    assert_eq!(sends(&idempotent).len(), 1);
}

#[test]
fn resumed_message_has_only_its_remaining_attempts() {
    let mut scheduler = TestScheduler::with_destinations(settings(), 1);
    scheduler.at(9000.0);
    assert_eq!(sends(&resume(&mut scheduler, 0, 5, None)).len(), 1);
    let actions = resume(&mut scheduler, 0, 6, None);
    assert_eq!((sends(&actions).len(), given_up(&actions).len()), (0, 1));
}
