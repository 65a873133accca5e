//! Events whose clients wait when the process ends, and the next incarnation's treatment of them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::full_journal::FullJournal;
use common::restarting_engine::{
    attempt_finished, message, submission, RestartingEngine, IDEMPOTENT_CLASS, KEYED_CLASS,
    NON_IDEMPOTENT_CLASS,
};
use common::{folder as temporary_folder, responses, started_attempts, timestamp_of};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::{FinalOutcome, Origin, RequestId, SubmitResponse};
use marblefall_scheduler::{Outcome, Time};
use std::collections::BTreeMap;

/// Time at which the process ends, in ms.
const END_MS: i64 = 4000;
/// Time from which no attempt is started, in ms.
const ATTEMPT_CUTOFF_MS: i64 = END_MS - 1200;
/// The response to an event that is given back.
const RETURNED: SubmitResponse = SubmitResponse::Finished(FinalOutcome::Returned {
    retry_after_ms: 1000,
});
const FAILED: SubmitResponse = SubmitResponse::Finished(FinalOutcome::Failed);

fn shutdown() -> EngineEvent {
    EngineEvent::Shutdown {
        deadline: Time(END_MS * 1000),
    }
}

/// Steps an engine until a time, and returns all responses by the number of their request.
fn respond_until(
    engine: &mut RestartingEngine,
    ms: std::ops::Range<i64>,
) -> BTreeMap<u64, SubmitResponse> {
    let commands: Vec<EngineCommand> = ms
        .step_by(10)
        .flat_map(|ms| engine.step(ms, Vec::new()))
        .collect();
    responses(&commands)
        .into_iter()
        .filter(|(_, response)| *response != SubmitResponse::Accepted)
        .collect()
}

/// Ends an engine, and returns its last responses by the number of their request.
fn end(engine: &mut RestartingEngine) -> BTreeMap<u64, SubmitResponse> {
    let mut commands = Vec::new();
    engine.engine.end(timestamp_of(0, END_MS), &mut commands);
    responses(&commands).into_iter().collect()
}

/// Starts the next incarnation, and returns the number of attempts that it starts.
fn attempts_of_next_incarnation(engine: RestartingEngine) -> usize {
    let folder = engine.folder.clone();
    drop(engine);
    let (mut next, mut commands) = RestartingEngine::start(folder, END_MS + 600);
    for ms in (10..2000).step_by(10) {
        commands.extend(next.step(ms, Vec::new()));
    }
    started_attempts(&commands).len()
}

/// Submits an event of each class, whose attempts get no result, and events that wait behind them. Returns the events that
/// wait.
fn occupy_destination(engine: &mut RestartingEngine, in_flight: &[(u64, usize)]) -> Vec<u64> {
    for (request, class) in in_flight {
        let name = format!("in-flight-{request}");
        let event = submission(*request, &name, Origin::CloudEvents, *class);
        let commands = engine.step(10, vec![event]);
        assert_eq!(started_attempts(&commands).len(), 1, "{name} is attempted");
    }
    let waiting = vec![11, 12, 13];
    for request in &waiting {
        let name = format!("waiting-{request}");
        let class = NON_IDEMPOTENT_CLASS;
        let event = submission(*request, &name, Origin::CloudEvents, class);
        let commands = engine.step(20, vec![event]);
        assert_eq!(started_attempts(&commands), [], "{name} waits");
    }
    waiting
}

/// Guards against duplicated effects: events that waited when their process ended were refused, and delivered by the next
/// process all the same.
#[test]
fn refused_event_is_not_delivered_by_the_next_incarnation() {
    let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-waiting"), 0);
    let waiting = occupy_destination(
        &mut engine,
        &[(1, NON_IDEMPOTENT_CLASS), (2, NON_IDEMPOTENT_CLASS)],
    );
    engine.step(30, vec![shutdown()]);
    let early = respond_until(&mut engine, 40..ATTEMPT_CUTOFF_MS - 10);
    assert_eq!(early, BTreeMap::new(), "attempts may still be started");
    let late = respond_until(&mut engine, ATTEMPT_CUTOFF_MS - 10..END_MS);
    let returned = waiting.iter().map(|request| (*request, RETURNED));
    assert_eq!(late, returned.collect());
    assert_eq!(
        end(&mut engine),
        BTreeMap::from([(1, FAILED), (2, FAILED)]),
        "attempts in flight may have been executed"
    );
    assert_eq!(attempts_of_next_incarnation(engine), 0);
}

/// Guards against duplicated effects: an event whose attempt failed after the last attempt could start.
#[test]
fn event_whose_attempt_ends_after_the_cutoff_has_one_outcome() {
    for (class, outcome, expected) in [
        (NON_IDEMPOTENT_CLASS, Outcome::Error, FAILED),
        (NON_IDEMPOTENT_CLASS, Outcome::ConnectFailed, RETURNED),
        (KEYED_CLASS, Outcome::Error, RETURNED),
        (IDEMPOTENT_CLASS, Outcome::Reset, RETURNED),
    ] {
        let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-ended"), 0);
        let event = submission(1, "a", Origin::CloudEvents, class);
        let started = started_attempts(&engine.step(10, vec![event]));
        engine.step(30, vec![shutdown()]);
        respond_until(&mut engine, 40..ATTEMPT_CUTOFF_MS + 100);
        let commands = engine.step(
            ATTEMPT_CUTOFF_MS + 100,
            vec![attempt_finished(started[0], outcome)],
        );
        let mut last: BTreeMap<_, _> = responses(&commands).into_iter().collect();
        last.extend(end(&mut engine));
        assert_eq!(last, BTreeMap::from([(1, expected)]), "{class} {outcome:?}");
        assert_eq!(attempts_of_next_incarnation(engine), 0);
    }
}

#[test]
fn attempt_in_flight_at_the_end_is_returned_only_if_its_repeat_is_harmless() {
    for (class, expected) in [
        (NON_IDEMPOTENT_CLASS, FAILED),
        (KEYED_CLASS, RETURNED),
        (IDEMPOTENT_CLASS, RETURNED),
    ] {
        let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-out"), 0);
        engine.step(10, vec![submission(1, "a", Origin::CloudEvents, class)]);
        engine.step(30, vec![shutdown()]);
        respond_until(&mut engine, 40..END_MS);
        assert_eq!(end(&mut engine), BTreeMap::from([(1, expected)]));
        assert_eq!(attempts_of_next_incarnation(engine), 0);
    }
}

/// Guards against late answers: events that waited while an instance restarted for a setting got no answer for 8 s.
#[test]
fn restart_returns_waiting_events_at_once_and_finishes_attempts() {
    let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-restart"), 0);
    let never = NON_IDEMPOTENT_CLASS;
    let first = submission(1, "a", Origin::CloudEvents, never);
    let started = started_attempts(&engine.step(10, vec![first]));
    let second = submission(2, "b", Origin::CloudEvents, IDEMPOTENT_CLASS);
    let retried = started_attempts(&engine.step(10, vec![second]));
    let waiting = submission(3, "c", Origin::CloudEvents, never);
    assert_eq!(started_attempts(&engine.step(20, vec![waiting])), []);
    let accepted = message("d", Origin::Platform, IDEMPOTENT_CLASS, 9);
    engine.step(25, vec![EngineEvent::Submitted(RequestId(4), accepted)]);
    let restart = EngineEvent::Restart {
        deadline: Time(END_MS * 1000),
    };
    let commands = engine.step(30, vec![restart]);
    assert_eq!(responses(&commands), [(3, RETURNED)]);
    assert!(engine.engine.delays_restart(), "attempts are in flight");
    let late = submission(5, "e", Origin::CloudEvents, never);
    let commands = engine.step(40, vec![late]);
    assert_eq!(responses(&commands), [(5, common::REJECTED)]);
    let commands = engine.step(
        50,
        vec![
            attempt_finished(started[0], Outcome::Delivered),
            attempt_finished(retried[0], Outcome::Error),
        ],
    );
    let delivered = SubmitResponse::Finished(FinalOutcome::Delivered);
    let answered: BTreeMap<_, _> = responses(&commands).into_iter().collect();
    assert_eq!(answered, BTreeMap::from([(1, delivered), (2, RETURNED)]));
    assert!(!engine.engine.delays_restart());
    let already_answered = BTreeMap::from([(4, SubmitResponse::Undetermined)]);
    assert_eq!(end(&mut engine), already_answered);
    assert_eq!(
        attempts_of_next_incarnation(engine),
        1,
        "only the accepted message"
    );
}

/// The next incarnation delivers what the journal has as open. Its clients must not be told to submit it elsewhere.
#[test]
fn event_whose_outcome_is_not_journalled_is_not_refused() {
    let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-full"), 0);
    let folder = engine.folder.clone();
    let waiting = occupy_destination(&mut engine, &[(1, IDEMPOTENT_CLASS), (2, IDEMPOTENT_CLASS)]);
    let mut request = 100;
    let journal = FullJournal::fill(&folder, |name, body| {
        request += 1;
        let filler = message(name, Origin::Platform, IDEMPOTENT_CLASS, body);
        engine.step(25, vec![EngineEvent::Submitted(RequestId(request), filler)]);
    });
    engine.step(30, vec![shutdown()]);
    let before = respond_until(&mut engine, 40..END_MS);
    let unknown = waiting.iter().chain(&[1, 2]);
    let unknown: BTreeMap<_, _> = unknown
        .map(|request| (*request, SubmitResponse::Undetermined))
        .collect();
    assert_eq!(before, BTreeMap::new());
    let mut last = end(&mut engine);
    last.retain(|request, _| *request < 100);
    assert_eq!(last, unknown);
    journal.repair();
    assert!(attempts_of_next_incarnation(engine) > 0);
}

/// A client that does not wait was not answered, and the next incarnation delivers its event.
#[test]
fn event_of_a_client_that_left_is_delivered_by_the_next_incarnation() {
    let (mut engine, _) = RestartingEngine::start(temporary_folder("shutdown-left"), 0);
    let waiting = occupy_destination(
        &mut engine,
        &[(1, NON_IDEMPOTENT_CLASS), (2, NON_IDEMPOTENT_CLASS)],
    );
    engine.step(25, vec![EngineEvent::ClientGone(RequestId(waiting[0]))]);
    engine.step(30, vec![shutdown()]);
    respond_until(&mut engine, 40..END_MS);
    end(&mut engine);
    assert_eq!(attempts_of_next_incarnation(engine), 1);
}
