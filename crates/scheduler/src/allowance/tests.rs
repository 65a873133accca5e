use super::*;

/// A courier of 300 at a limit of 15 calls a second has one call in 20 s, while messages may wait for 5 to 24 s: of three
/// that came within a second after a lull of minutes, two waited beyond their time (`herd+mass` of many-ledgers).
#[test]
fn what_was_left_unused_in_a_lull_serves_the_messages_that_come_after_it() {
    let rate = part(15.0, 300, 0.99).unwrap();
    let mut allowance = Allowance::default();
    let lull = Time(600_000_000);
    for call in 0..3 {
        assert_eq!(allowance.next(lull, rate), lull, "call {call}");
        allowance.sent(lull, rate);
    }
    // However long the lull, what goes on for longer keeps to the rate.
    let (mut now, mut calls) = (lull, 3);
    while now < lull + Span(600_000_000) {
        now = allowance.next(now, rate).max(now + Span(1));
        allowance.sent(now, rate);
        calls += 1;
    }
    assert!(f64::from(calls) <= 600.0 * rate + DEPTH + 1.0, "{calls} calls at {rate} a second");
}
