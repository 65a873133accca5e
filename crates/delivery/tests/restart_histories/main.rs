//! Random histories of an instance whose incarnations start, hand over and are killed. Seeds are fixed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[path = "../common/mod.rs"]
mod common;
mod history;

use history::RestartHistory;
use std::fs;

/// Duration of a history, in ms.
const END_MS: i64 = 40_000;

/// In every history, each accepted message is executed or has a notice, no message has two attempts in flight or is executed
/// more often than its class permits, and no attempt is sent during a backoff.
#[test]
fn random_restart_histories_break_no_invariant() {
    for seed in 0..150 {
        let mut history = RestartHistory::new(seed);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            while history.ms < END_MS {
                history.advance();
            }
            history.check_outcomes();
        }));
        if result.is_err() {
            panic!("seed {seed}:\n{}", history.trace.join("\n"));
        }
        assert!(
            history.accepted_messages.len() > 100,
            "too few messages were accepted"
        );
        let _ = fs::remove_dir_all(&history.folder);
    }
}
