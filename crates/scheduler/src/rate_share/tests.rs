//! Tests of the token bucket with explicit times.

use super::*;

/// One of 300 instances that share a limit of 15 calls per second has one call every 20 s, while messages may wait for 5
/// to 24 s.
#[test]
fn saved_tokens_serve_a_burst_after_a_lull() {
    let rate = instance_share(15.0, 300, 0.99).unwrap();
    let mut share = RateShare::default();
    let lull = Time(600_000_000);
    for call in 0..3 {
        assert_eq!(share.next_call_at(lull, rate), lull, "call {call}");
        share.sent(lull, rate);
    }
    // The length of the idle period does not matter: a longer stream of calls stays within the rate.
    let (mut now, mut calls) = (lull, 3);
    while now < lull + Span(600_000_000) {
        now = share.next_call_at(now, rate).max(now + Span(1));
        share.sent(now, rate);
        calls += 1;
    }
    assert!(
        f64::from(calls) <= 600.0 * rate + BUCKET_DEPTH + 1.0,
        "{calls} calls at {rate} per second"
    );
}
