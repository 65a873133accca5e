//! Tests of processes that exit.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;
use std::sync::mpsc;
use std::time::Duration;

/// Time within which a wait that ignores the incomplete log would have returned.
const SHORT_WAIT: Duration = Duration::from_millis(300);

/// Regression: the last lines of a process were missing from its log right after it had exited.
#[test]
fn wait_for_exit_includes_the_last_log_lines() {
    let mut process = Process::start(Path::new("/bin/sh"), &["-c", "echo last >&2"], &[]).unwrap();
    let log = Arc::clone(&process.log);
    let (exited_sender, exited) = mpsc::channel();
    // The held lock keeps the collector from adding the line.
    let log_guard = log.lock().unwrap();
    let waiting = thread::spawn(move || {
        let status = process.wait_for_exit().unwrap();
        exited_sender.send(()).unwrap();
        (status, process)
    });
    assert!(
        exited.recv_timeout(SHORT_WAIT).is_err(),
        "the log lacks a line"
    );
    drop(log_guard);
    let (status, process) = waiting.join().unwrap();
    assert!(status.success());
    assert_eq!(process.log(), "last\n");
}
