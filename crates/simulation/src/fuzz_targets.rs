//! Bodies of the fuzz targets. A parser must not panic on any bytes, and a value that it returns must be valid.

use crate::rate_expression::RateExpression;
use crate::scenario::Scenario;
use crate::trace;

/// Times at which a rate expression is evaluated, in s.
const EVALUATED_AT_S: [f64; 4] = [0.0, 0.5, 59.9, 1e5];

/// Parses a scenario twice and compares the results.
///
/// # Panics
/// If the same text gives different scenarios.
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

/// Parses a rate expression and evaluates it.
///
/// # Panics
/// If a value is not a number.
pub fn rate_expression(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Ok(rate) = RateExpression::parse(text) {
        for at in EVALUATED_AT_S {
            let value = rate.at(at);
            assert!(!value.is_nan(), "{text}: {value} at {at}");
        }
    }
}

/// Parses a trace and checks the order of its times.
///
/// # Panics
/// If the trace has no times, or if they are not in ascending order.
pub fn trace(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if let Ok(times) = trace::parse(text) {
        assert!(!times.is_empty() && times.windows(2).all(|two| two[0] <= two[1]));
    }
}
