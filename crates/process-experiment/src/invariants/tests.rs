//! Tests that each check reports the violation of its invariant and that a correct run has no violations.

use super::*;
use crate::observation::ChangeOutcomes;
use marblefall_process_harness::client::Submission;
use std::collections::HashSet;

fn event(at: Micros, action: &str, revision: u64) -> HistoryEvent {
    HistoryEvent {
        at,
        instance: "m00-1".to_owned(),
        action: action.to_owned(),
        revision,
    }
}

fn call(key: &str, endpoint: usize, started_at: Micros, executed: bool) -> Call {
    Call {
        key: key.to_owned(),
        endpoint,
        started_at,
        ended_at: started_at + 100,
        executed,
    }
}

fn submission(id: &str, status: u16) -> Submission {
    Submission {
        id: id.to_owned(),
        member: 0,
        status,
    }
}

fn correct_run() -> Observation {
    let outcomes: ChangeOutcomes = [("one".to_owned(), Some(2)), ("two".to_owned(), None)].into();
    Observation {
        events: vec![
            event(10, "takes", 1),
            event(20, "leg", 1),
            event(900_000, "takes", 2),
            event(900_010, "leg", 2),
        ],
        calls: vec![
            call("x", 0, 25, true),
            call("y", 1, 1_000_000, true),
            call("y", 1, 1_200_000, false),
        ],
        submissions: vec![
            submission("x", 204),
            submission("y", 0),
            submission("y", 429),
            submission("y", 204),
        ],
        reported_outcomes: vec![outcomes.clone(), outcomes.clone()],
        applied_outcomes: outcomes,
        caught_up: vec![true, true],
        drained_endpoints: [(2, HashSet::from([0]))].into(),
    }
}

#[test]
fn each_violation_is_reported_as_its_invariant() {
    assert_eq!(check(&correct_run()), []);
    type Mutation = fn(&mut Observation);
    let mutations: [(Invariant, Mutation); 10] = [
        (Invariant::SinglePolicy, |run| {
            run.events.push(event(900_005, "leg", 1));
        }),
        (Invariant::SingleOutcome, |run| {
            run.reported_outcomes[1].extend([("two".to_owned(), Some(3))]);
        }),
        (Invariant::SingleOutcome, |run| {
            run.applied_outcomes.extend([("three".to_owned(), Some(2))]);
        }),
        (Invariant::AllCaughtUp, |run| run.caught_up[1] = false),
        (Invariant::FinalOutcome, |run| {
            run.submissions.push(submission("z", 429));
        }),
        (Invariant::FinalOutcome, |run| {
            run.submissions.push(submission("x", 502));
        }),
        (Invariant::Delivered, |run| {
            run.submissions.push(submission("never", 204));
        }),
        (Invariant::NoDuplicate, |run| {
            run.calls.push(call("x", 1, 8_000_000, true));
        }),
        (Invariant::SingleAttempt, |run| {
            run.calls.push(call("x", 1, 60, false));
        }),
        (Invariant::DrainKept, |run| {
            run.calls.push(call("late", 0, 1_200_000, true));
        }),
    ];
    for (invariant, mutate) in mutations {
        let mut run = correct_run();
        mutate(&mut run);
        let found: Vec<Invariant> = check(&run)
            .into_iter()
            .map(|violation| violation.invariant)
            .collect();
        assert_eq!(found, [invariant], "{invariant}");
    }
}

#[test]
fn incomplete_history_lines_are_ignored() {
    assert_eq!(
        HistoryEvent::parse_all("12 a takes 3\n13 a le"),
        [HistoryEvent {
            instance: "a".to_owned(),
            ..event(12, "takes", 3)
        }]
    );
}
