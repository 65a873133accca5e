//! Tests of the events that excuse a missing response.

use super::*;
use crate::record::{Class, ClientResult, ProcessEvent};

/// Time at which the request was sent.
const AT: Micros = 5000 * MILLISECOND;

/// Counts the violations if the connection of a request is closed without a response and its process then ends this way.
fn violations(end: ProcessEventKind) -> usize {
    let request = Request {
        id: "0-1-1".to_owned(),
        process: 0,
        class: Class::Idempotent,
        destination: 0,
        sent_at: AT,
        expires_at: AT + 2000 * MILLISECOND,
        result: ClientResult::Closed,
        ended_at: AT + 10 * MILLISECOND,
    };
    let ended = ProcessEvent {
        process: 0,
        at: AT + 20 * MILLISECOND,
        kind: end,
    };
    let record = Record {
        requests: vec![request],
        process_events: vec![ended],
        ..Record::default()
    };
    Oracle::check(&record, 0, 30.0).len()
}

#[test]
fn only_a_kill_or_a_crash_excuses_a_request_without_a_response() {
    assert_eq!(violations(ProcessEventKind::Ended), 1);
    assert_eq!(violations(ProcessEventKind::Killed), 0);
    assert_eq!(violations(ProcessEventKind::Crashed), 0);
}
