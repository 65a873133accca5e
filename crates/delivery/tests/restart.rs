//! State that an engine preserves over a restart: deduplication windows, attempt counts, and pending notices.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::restarting_engine::{submission, RestartingEngine, KEYED_CLASS};
use common::{folder as temporary_folder, notice_outcomes, started_attempts};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::Origin;

#[test]
fn restart_preserves_deduplication_window_and_attempt_count() {
    for (downtime_ms, is_repeated) in [(3000, true), (5900, false)] {
        let (mut incarnation, _) =
            RestartingEngine::start(temporary_folder(&format!("window-{downtime_ms}")), 0);
        let commands = incarnation.step(0, vec![submission(1, "m", Origin::Platform, KEYED_CLASS)]);
        assert_eq!(started_attempts(&commands)[0].1, 0);
        let (_, commands) = RestartingEngine::start(incarnation.folder.clone(), downtime_ms);
        let second = started_attempts(&commands);
        assert_eq!(
            second.len(),
            usize::from(is_repeated),
            "{downtime_ms} ms after the first attempt"
        );
        assert_eq!(notice_outcomes(&commands).len(), usize::from(!is_repeated));
        assert!(
            second.iter().all(|started| started.1 == 1),
            "the attempt count includes those of earlier incarnations"
        );
    }
}

#[test]
fn deduplication_window_starts_with_first_attempt_despite_crashes() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("crashes"), 0);
    incarnation.step(0, vec![submission(1, "m", Origin::Platform, KEYED_CLASS)]);
    assert_eq!(
        started_attempts(&RestartingEngine::start(incarnation.folder.clone(), 2000).1).len(),
        1,
        "within the window of the first attempt"
    );
    // The window closes six seconds after the first attempt, even though the second attempt was only 4.5 s ago.
    let (_, commands) = RestartingEngine::start(incarnation.folder.clone(), 6500);
    assert_eq!(
        (
            started_attempts(&commands).len(),
            notice_outcomes(&commands).len()
        ),
        (0, 1)
    );
}

#[test]
fn unacknowledged_notice_is_sent_again_after_a_restart() {
    let (mut incarnation, _) = RestartingEngine::start(temporary_folder("notice"), 0);
    incarnation.step(0, vec![submission(1, "m", Origin::Platform, KEYED_CLASS)]);
    let (mut incarnation, commands) = RestartingEngine::start(incarnation.folder.clone(), 7000);
    assert_eq!(notice_outcomes(&commands).len(), 1);
    let Some(EngineCommand::SendNotice { message_id: id, .. }) = commands
        .iter()
        .find(|command| matches!(command, EngineCommand::SendNotice { .. }))
    else {
        unreachable!()
    };
    incarnation.step(10, vec![]);
    let (_, reopened) = RestartingEngine::start(incarnation.folder.clone(), 7100);
    assert_eq!(notice_outcomes(&reopened).len(), 1, "not acknowledged yet");
    incarnation.step(20, vec![EngineEvent::NoticeAcknowledged(*id)]);
    assert!(
        notice_outcomes(&RestartingEngine::start(incarnation.folder.clone(), 7200).1).is_empty()
    );
}
