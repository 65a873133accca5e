//! Results of attempts that cannot be journalled while one incarnation hands over to another.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::full_journal::FullJournal;
use common::incarnation::{message, started_attempts, TestIncarnation, IDEMPOTENT_CLASS};
use common::{attempt_finished, folder as temporary_folder};
use marblefall_delivery::core::engine::EngineEvent;
use marblefall_delivery::core::RequestId;
use marblefall_scheduler::Outcome;
use std::fs;

/// Regression: a delivery whose record was not written was never reported to the successor, which sent the message again.
#[test]
fn unjournalled_delivery_is_reported_to_the_successor_later() {
    for hands_over_before_result in [false, true] {
        let folder = temporary_folder(&format!("unwritten-{hands_over_before_result}"));
        let (mut predecessor, _) = TestIncarnation::start_alone(&folder, 0);
        let started = started_attempts(&predecessor.submit(10, "a", IDEMPOTENT_CLASS));
        let (id, attempt, _) = started[0].clone();
        let mut request = 1000;
        let journal = FullJournal::fill(&folder, |name, body| {
            request += 1;
            let filler = message(name, IDEMPOTENT_CLASS, 20, body);
            let submitted = EngineEvent::Submitted(RequestId(request), filler);
            predecessor.step(20, vec![submitted]);
        });
        let delivered = attempt_finished(id, attempt, Outcome::Delivered);
        let mut successor = TestIncarnation::standby(&folder, 50);
        if hands_over_before_result {
            predecessor.hand_over(60);
            predecessor.step(70, vec![delivered]);
        } else {
            predecessor.step(60, vec![delivered]);
            predecessor.hand_over(70);
        }
        assert!(predecessor.engine.has_unwritten_reports());
        journal.repair();
        let generation = predecessor.generation;
        let mut commands = successor.take_over(80, &[generation], generation);
        let retry_at = predecessor.engine.next_wake();
        assert!(retry_at.is_some(), "a retry of the report is scheduled");
        predecessor.step(120, Vec::new());
        assert!(!predecessor.engine.has_unwritten_reports());
        commands.extend(successor.step(130, vec![EngineEvent::FollowPredecessors]));
        drop(predecessor);
        commands.extend(successor.step(140, vec![EngineEvent::PredecessorExited(generation)]));
        for ms in 150..400 {
            commands.extend(successor.step(ms, Vec::new()));
        }
        let restarted = started_attempts(&commands);
        assert!(
            restarted.iter().all(|(started, _, _)| *started != id),
            "attempts after the takeover: {restarted:?}"
        );
        let _ = fs::remove_dir_all(&folder);
    }
}
