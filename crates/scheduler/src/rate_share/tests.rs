//! The token bucket of an instance's share, with an explicit clock.

use super::*;

/// An instance of 300 at a limit of 15 calls per second has one call in 20 s, while messages wait for 5 to 24 s.
#[test]
fn saved_tokens_serve_a_burst_after_a_lull() {
    let rate = share_of(15.0, 300, 0.99).unwrap();
    let mut share = RateShare::default();
    let lull = Time(600_000_000);
    for call in 0..3 {
        assert_eq!(share.next_call_at(lull, rate), lull, "call {call}");
        share.sent(lull, rate);
    }
    // However long the lull, a longer stream keeps to the rate.
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
