//! Hot restarts of the engine: an incarnation takes over from one that is running beside it. The tests set the clock.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::incarnation::{
    is_accepted, message, started_attempts, TestIncarnation, IDEMPOTENT_CLASS, MAX_BYTES,
};
use common::{attempt_finished, endpoint_list, folder as temporary_folder, timestamp};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::{RequestId, SubmitResponse};
use marblefall_scheduler::{Outcome, Span};
use std::fs;

#[test]
fn takeover_delivers_pending_messages_and_follows_attempts_in_flight() {
    let folder = temporary_folder("takeover");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    // A route that has not responded yet receives at most two attempts, so the third message is pending.
    let in_flight: Vec<_> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| started_attempts(&predecessor.submit(10, name, IDEMPOTENT_CLASS)))
        .collect();
    assert_eq!(in_flight.len(), 2);
    let mut successor = TestIncarnation::standby(&folder, 100);
    assert!(
        is_accepted(&successor.submit(110, "d", IDEMPOTENT_CLASS)),
        "the standby accepts messages"
    );
    predecessor.hand_over(200);
    assert!(
        is_accepted(&predecessor.submit(210, "e", IDEMPOTENT_CLASS)),
        "clients that are still connected are served"
    );
    let commands = successor.take_over(220, &[predecessor.generation], predecessor.generation);
    assert_eq!(
        started_attempts(&commands),
        [],
        "two attempts are in flight already, from the predecessor"
    );
    // The predecessor's attempts end: one is delivered, the other fails and may be retried.
    predecessor.step(
        300,
        vec![attempt_finished(
            in_flight[0].0,
            in_flight[0].1,
            Outcome::Delivered,
        )],
    );
    predecessor.step(
        310,
        vec![attempt_finished(
            in_flight[1].0,
            in_flight[1].1,
            Outcome::Error,
        )],
    );
    let names = successor.deliver_all_after(vec![EngineEvent::FollowPredecessors], 320..600);
    assert_eq!(
        names,
        ["b", "c", "d", "e"],
        "the delivered message is not sent again, and the others are sent once"
    );
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn backoff_survives_a_takeover_but_not_a_restart() {
    for is_killed in [false, true] {
        let folder = temporary_folder(&format!("backoff-{is_killed}"));
        let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
        let (id, attempt, _) =
            started_attempts(&predecessor.submit(10, "a", IDEMPOTENT_CLASS))[0].clone();
        let mut successor = TestIncarnation::standby(&folder, 50);
        let rejection = Outcome::Rejected {
            retry_after: Some(Span::from_ms(4000.0)),
        };
        let mut commands = Vec::new();
        if is_killed {
            // The predecessor is killed after the rejection.
            predecessor.step(100, vec![attempt_finished(id, attempt, rejection)]);
            commands.extend(successor.take_over(110, &[], predecessor.generation));
        } else {
            // The rejection is received after the handover.
            predecessor.hand_over(60);
            commands.extend(successor.take_over(
                70,
                &[predecessor.generation],
                predecessor.generation,
            ));
            predecessor.step(100, vec![attempt_finished(id, attempt, rejection)]);
            commands.extend(successor.step(110, vec![EngineEvent::FollowPredecessors]));
            commands.extend(successor.step(
                120,
                vec![EngineEvent::PredecessorExited(predecessor.generation)],
            ));
        }
        commands.extend(successor.submit(130, "b", IDEMPOTENT_CLASS));
        let mut started_ms = None;
        for ms in (130..8000).step_by(10) {
            commands.extend(successor.step(ms, vec![]));
            if started_ms.is_none() && !started_attempts(&commands).is_empty() {
                started_ms = Some(ms);
            }
        }
        assert!(
            started_ms.is_some_and(|started_ms| started_ms >= 4100),
            "the first attempt is started during the backoff, or never: {started_ms:?}"
        );
        // A restart without a standby ends the backoff.
        let _ = fs::remove_dir_all(&folder);
        let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 9000);
        let (id, attempt, _) = started_attempts(&predecessor.submit(9010, "c", IDEMPOTENT_CLASS))
            .pop()
            .unwrap();
        predecessor.step(9100, vec![attempt_finished(id, attempt, rejection)]);
        let (mut next, mut commands) = TestIncarnation::start_alone(&folder, 9200);
        commands.extend(next.step(9210, vec![]));
        assert!(
            !started_attempts(&commands).is_empty(),
            "a restart ends a backoff"
        );
        let _ = fs::remove_dir_all(&folder);
    }
}

#[test]
fn attempt_in_flight_to_removed_endpoint_is_not_repeated() {
    let folder = temporary_folder("removed-endpoint");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    let (id, attempt, _) =
        started_attempts(&predecessor.submit(10, "a", IDEMPOTENT_CLASS))[0].clone();
    let mut successor = TestIncarnation::standby(&folder, 50);
    successor.step(60, vec![endpoint_list(&["other"])]);
    predecessor.hand_over(70);
    let mut commands = successor.take_over(80, &[predecessor.generation], predecessor.generation);
    commands.extend(
        (90..1000)
            .step_by(10)
            .flat_map(|ms| successor.step(ms, vec![EngineEvent::FollowPredecessors])),
    );
    assert_eq!(started_attempts(&commands), []);
    predecessor.step(1000, vec![attempt_finished(id, attempt, Outcome::Error)]);
    let mut commands = successor.step(1010, vec![EngineEvent::FollowPredecessors]);
    commands.extend(
        (1020..3000)
            .step_by(10)
            .flat_map(|ms| successor.step(ms, vec![])),
    );
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "the message is retried once the attempt has ended"
    );
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn two_incarnations_stay_within_the_disk_limit() {
    let folder = temporary_folder("disk");
    let size = || -> u64 {
        let len = |file: fs::DirEntry| file.metadata().unwrap().len().div_ceil(512) * 512;
        fs::read_dir(&folder)
            .unwrap()
            .map(|file| len(file.unwrap()))
            .sum()
    };
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    // No attempt ends, so all messages stay open.
    let mut open_count = 0;
    let mut fill_journal = |incarnation: &mut TestIncarnation, name: &str, ms: i64| {
        let mut accepted_count = 0;
        for n in 0..150 {
            let request = RequestId(n);
            let message = message(&format!("{name}-{n}"), IDEMPOTENT_CLASS, ms, 20_000);
            accepted_count += usize::from(is_accepted(
                &incarnation.step(ms, vec![EngineEvent::Submitted(request, message)]),
            ));
        }
        open_count += accepted_count;
        accepted_count
    };
    assert!(
        fill_journal(&mut predecessor, "predecessor", 10) > 60,
        "the predecessor uses its part of the disk limit"
    );
    let mut successor = TestIncarnation::standby(&folder, 100);
    assert!(
        fill_journal(&mut successor, "successor", 110) > 5,
        "the disk limit leaves space for a standby"
    );
    predecessor.hand_over(120);
    fill_journal(&mut predecessor, "late", 130);
    assert!(size() <= MAX_BYTES, "{}", size());
    let commands = successor.take_over(140, &[predecessor.generation], predecessor.generation);
    let recovered_count = |commands: &[EngineCommand]| {
        commands.iter().find_map(|command| match command {
            EngineCommand::TookOver(count) => Some(*count),
            _ => None,
        })
    };
    successor.step(150, vec![EngineEvent::FollowPredecessors]);
    successor.step(
        160,
        vec![EngineEvent::PredecessorExited(predecessor.generation)],
    );
    assert_eq!(recovered_count(&commands), Some(open_count));
    drop(predecessor);
    for ms in 170..400 {
        let submission = vec![EngineEvent::Submitted(
            RequestId(1),
            message(&format!("more-{ms}"), IDEMPOTENT_CLASS, ms, 1000),
        )];
        successor.step(ms, submission);
        assert!(size() <= MAX_BYTES, "{} at {ms}", size());
    }
    let _ = fs::remove_dir_all(&folder);
}

#[test]
fn handed_over_engine_rejects_when_its_journal_is_full() {
    let folder = temporary_folder("full-after-handover");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    predecessor.hand_over(10);
    let (mut accepted_count, mut rejected_count) = (0, 0);
    for n in 0..20 {
        let submission = EngineEvent::Submitted(
            RequestId(n),
            message(&format!("m{n}"), IDEMPOTENT_CLASS, 20, 20_000),
        );
        let mut commands = Vec::new();
        let now = timestamp(20);
        predecessor
            .engine
            .step(now, vec![submission], &mut commands);
        accepted_count += usize::from(is_accepted(&commands));
        rejected_count += commands
            .iter()
            .filter(|command| {
                matches!(
                    command,
                    EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
                )
            })
            .count();
        assert!(
            !predecessor.engine.has_backlog(),
            "the engine must not require a step at once"
        );
        assert_eq!(predecessor.engine.next_wake(), None);
    }
    assert!(
        accepted_count > 2 && rejected_count > 2 && accepted_count + rejected_count == 20,
        "{accepted_count} accepted, {rejected_count} rejected"
    );
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against calls during a backoff: after the active incarnation had adopted the messages of a standby, its next
/// successor did not respect the backoffs that were journalled before.
#[test]
fn backoff_survives_adoption_of_a_standby_and_a_takeover() {
    let folder = temporary_folder("backoff-adoption");
    let (mut active, _) = TestIncarnation::start_alone(&folder, 0);
    let (id, attempt, _) = started_attempts(&active.submit(10, "a", IDEMPOTENT_CLASS))[0].clone();
    let rejection = Outcome::Rejected {
        retry_after: Some(Span::from_ms(3000.0)),
    };
    active.step(100, vec![attempt_finished(id, attempt, rejection)]);
    let standby = TestIncarnation::standby(&folder, 110);
    let renewed = standby.generation.next();
    drop(standby);
    active.step(120, vec![EngineEvent::StandbyExited(renewed)]);
    let mut successor = TestIncarnation::standby(&folder, 130);
    drop(active);
    let mut commands = successor.take_over(140, &[], renewed);
    for ms in (150..3100).step_by(10) {
        commands.extend(successor.step(ms, vec![]));
    }
    assert_eq!(started_attempts(&commands), [], "the backoff has not ended");
    let names = successor.deliver_all(3100..4000);
    assert_eq!(names, ["a"]);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against repeated deliveries: an incarnation that adopted the messages of a standby read the journal of a
/// predecessor that was still running from its start again.
#[test]
fn adopting_a_standby_forgets_no_outcome_of_messages_of_a_running_predecessor() {
    let folder = temporary_folder("adoption-beside-predecessor");
    let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
    let mut active = TestIncarnation::standby(&folder, 10);
    predecessor.hand_over(20);
    assert!(is_accepted(&predecessor.submit(30, "a", IDEMPOTENT_CLASS)));
    let commands = active.take_over(40, &[predecessor.generation], predecessor.generation);
    let (id, attempt, name) = started_attempts(&commands)[0].clone();
    let mut names = vec![name];
    active.step(45, vec![attempt_finished(id, attempt, Outcome::Delivered)]);
    let follow = || vec![EngineEvent::FollowPredecessors];
    assert!(is_accepted(&predecessor.submit(50, "b", IDEMPOTENT_CLASS)));
    names.extend(active.deliver_all_after(follow(), 60..200));
    let mut standby = TestIncarnation::standby(&folder, 200);
    assert!(is_accepted(&standby.submit(210, "c", IDEMPOTENT_CLASS)));
    let renewed = standby.generation.next();
    drop(standby);
    names.extend(active.deliver_all_after(vec![EngineEvent::StandbyExited(renewed)], 220..400));
    assert!(is_accepted(&predecessor.submit(400, "d", IDEMPOTENT_CLASS)));
    names.extend(active.deliver_all_after(follow(), 410..600));
    let exited = vec![EngineEvent::PredecessorExited(predecessor.generation)];
    names.extend(active.deliver_all_after(exited, 600..800));
    assert_eq!(names, ["a", "b", "c", "d"], "each message is sent once");
    drop((active, predecessor));
    let (mut next, _) = TestIncarnation::start_alone(&folder, 800);
    assert_eq!(next.deliver_all(801..1000), Vec::<String>::new());
    let _ = fs::remove_dir_all(&folder);
}
