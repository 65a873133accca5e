//! Tests of the actions that the rules permit and refuse.

use super::*;
use crate::core::message_record::{AttemptRecord, MessageState};
use crate::core::{Message, Origin};
use marblefall_scheduler::{ClassId, DeduplicationScope, DestinationId, Span, Time};
use std::rc::Rc;
use std::time::Duration;

const STARTED_MS: i64 = 50_000;

fn class(idempotency: Idempotency) -> MessageClass {
    MessageClass {
        priority_weight: 1.0,
        latency_objective: Span::from_ms(1000.0),
        deadline: Span::from_ms(9000.0),
        late_value: 0.1,
        idempotency,
        ordered: false,
    }
}

fn keyed() -> MessageClass {
    class(Idempotency::IdempotencyKey {
        scope: DeduplicationScope::All,
        window: Span::from_ms(6000.0),
    })
}

fn record(may_have_executed: bool) -> MessageRecord {
    let message = Message {
        origin: Origin::Platform,
        identity: b"m".to_vec(),
        idempotency_key: None,
        class: ClassId(0),
        destination: DestinationId(1),
        expires_ms: 90_000,
        attributes: Vec::new(),
        body: Vec::new(),
    };
    let mut record = MessageRecord::new(Rc::new(message));
    record.first_possible_execution = may_have_executed.then(attempt);
    record
}

fn attempt() -> AttemptRecord {
    AttemptRecord {
        started_ms: STARTED_MS,
        endpoint: "s-1".to_owned(),
    }
}

fn after_ms(ms: i64) -> Timestamp {
    Timestamp {
        monotonic: Time(7_000_000 + ms * 1000),
        unix_ms: STARTED_MS + ms,
    }
}

#[test]
fn refused_start_returns_the_violated_rule() {
    let non_idempotent = class(Idempotency::NonIdempotent);
    let idempotent = class(Idempotency::Idempotent);
    let check_start = |record: &MessageRecord, class: &MessageClass, ms| {
        may_start(record, Some(class), after_ms(ms))
    };
    assert_eq!(check_start(&record(false), &non_idempotent, 9), Ok(()));
    assert_eq!(
        check_start(&record(true), &non_idempotent, 9),
        Err(Rule::NoRepeat)
    );
    assert_eq!(check_start(&record(true), &idempotent, 60_000), Ok(()));
    assert_eq!(check_start(&record(true), &keyed(), 5_999), Ok(()));
    assert_eq!(
        check_start(&record(true), &keyed(), 6_000),
        Err(Rule::RepeatWithinWindow)
    );
    let mut in_flight = record(false);
    in_flight.state = MessageState::InFlight(attempt());
    assert_eq!(
        check_start(&in_flight, &idempotent, 9),
        Err(Rule::OneAttemptInFlight)
    );
}

#[test]
fn attempt_is_withheld_for_the_first_reason() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(50);
    let conditions = SendConditions {
        endpoint_accepts: true,
        backoff_until: None,
        write_by: soon,
    };
    assert_eq!(conditions.may_begin(now), Ok(()));
    assert_eq!(conditions.may_begin(soon), Err(Withheld::Late));
    let draining = SendConditions {
        endpoint_accepts: false,
        ..conditions
    };
    assert_eq!(draining.may_begin(now), Err(Withheld::EndpointGone));
    assert_eq!(draining.may_continue(now), Ok(()), "the request has begun");
    let backing_off = SendConditions {
        backoff_until: Some(soon),
        ..conditions
    };
    assert_eq!(backing_off.may_begin(now), Err(Withheld::Backoff));
    assert_eq!(backing_off.may_continue(now), Err(Withheld::Backoff));
}

#[test]
fn connection_with_unread_request_bytes_is_not_closed() {
    for (may_send_request, has_unread, expected) in [
        (true, true, false),
        (true, false, true),
        (false, true, true),
        (false, false, true),
    ] {
        let conditions = CloseConditions {
            may_send_request,
            has_unread,
        };
        assert_eq!(conditions.may_close(), expected, "{conditions:?}");
    }
}
