//! Processes that end.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

/// Regression: the last lines of a process were missing from its log right after its exit.
#[test]
fn log_is_complete_once_the_process_has_ended() {
    const LINES: usize = 20_000;
    let script = format!("seq {LINES} >&2");
    let mut process = Process::start(Path::new("/bin/sh"), &["-c", &script], &[]).unwrap();
    assert!(process.wait_for_exit().unwrap().success());
    assert_eq!(process.log().lines().count(), LINES);
}
