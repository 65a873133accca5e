//! Tests of the rate limits of log lines.

use super::*;

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let admitted = (0..80).filter(|_| admit(&Level::INFO, start)).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert!(admit(&Level::INFO, start + Duration::from_secs(1)));
    assert_eq!((take_dropped(), take_dropped()), (30, 0));
}

#[test]
fn message_lines_have_a_limit_of_their_own() {
    let start = Instant::now();
    let admitted = (0..500).filter(|_| admit(&Level::DEBUG, start)).count();
    assert_eq!(admitted, MAX_MESSAGE_LINES_PER_SECOND as usize);
    assert!(admit(&Level::INFO, start));
}

#[test]
fn delivery_lines_leave_room_for_message_lines() {
    let start = Instant::now();
    let admitted = (0..500).filter(|_| admit(&Level::TRACE, start)).count();
    assert_eq!(admitted, MAX_DELIVERY_LINES_PER_SECOND as usize);
    assert!(admit(&Level::DEBUG, start));
}
