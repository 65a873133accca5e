//! What fuzzing does with bytes: each reader takes them without a panic, and what it accepts keeps its word.

use crate::rate_expression::Curve;
use crate::scenario::Scenario;
use crate::trace;

/// A scenario's text: read twice, it is the same.
pub fn scenario(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Ok(scenario) = Scenario::parse(text, &[], 1) {
        let again = Scenario::parse(text, &[], 1);
        assert_eq!(
            again.ok().as_ref().map(|again| format!("{again:?}")),
            Some(format!("{scenario:?}"))
        );
    }
}

/// A curve: its values can be used as rates.
pub fn rate_expression(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Ok(curve) = Curve::parse(text) {
        for at in [0.0, 0.5, 59.9, 1e5] {
            let value = curve.at(at);
            assert!(!value.is_nan(), "{text}: {value} at {at}");
        }
    }
}

/// A trace: its times are in order.
pub fn trace(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Ok(times) = trace::parse(text) {
        assert!(!times.is_empty() && times.windows(2).all(|two| two[0] <= two[1]));
    }
}
