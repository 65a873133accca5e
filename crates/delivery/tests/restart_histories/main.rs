//! Random histories of an instance whose incarnations start, hand over and are killed. Seeds are fixed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "../common/mod.rs"]
mod common;
mod history;

use common::incarnation::MAX_BYTES;
use history::{HistoryParameters, RestartHistory};
use std::fs;

/// Duration of a history, in ms.
const END_MS: i64 = 40_000;

/// Histories in which the journal never reaches its limit.
const SHORT_MESSAGES: HistoryParameters = HistoryParameters {
    max_bytes: MAX_BYTES,
    body_bytes: 50,
    steps_before_exit: 20,
    steps_between_submissions: 3,
    max_attempt_ms: 400,
    min_accepted: 100,
};
/// Histories in which the journal is compacted several times a second, also while a predecessor still runs.
const LARGE_MESSAGES: HistoryParameters = HistoryParameters {
    max_bytes: 1_200_000,
    body_bytes: 12_000,
    steps_before_exit: 2000,
    steps_between_submissions: 3,
    max_attempt_ms: 60,
    min_accepted: 20,
};

/// Plays a history for each seed. In every history, each accepted message is executed or has a notice, no message has two
/// attempts in flight or is executed more often than its class permits, and no attempt is sent during a backoff.
fn play_histories(seeds: std::ops::Range<u64>, parameters: HistoryParameters) {
    for seed in seeds {
        let mut history = RestartHistory::new(seed, parameters);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while history.ms < END_MS {
                history.advance();
            }
            history.check_outcomes();
        }));
        if result.is_err() {
            panic!("seed {seed}:\n{}", history.trace.join("\n"));
        }
        let accepted = history.accepted_messages.len();
        assert!(
            accepted > parameters.min_accepted,
            "seed {seed}: only {accepted} messages were accepted"
        );
        let _ = fs::remove_dir_all(&history.folder);
    }
}

#[test]
fn random_restart_histories_break_no_invariant() {
    play_histories(0..150, SHORT_MESSAGES);
}

/// Guards against repeated deliveries: compaction beside a predecessor removed the records of deliveries too early.
#[test]
fn random_restart_histories_with_compaction_break_no_invariant() {
    play_histories(0..400, LARGE_MESSAGES);
}
