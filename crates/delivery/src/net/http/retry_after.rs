//! The `Retry-After` field of responses.

use super::{header, ResponseHead};
use marblefall_scheduler::Span;
use std::time::SystemTime;

/// Maximum delay in seconds. Longer delays are reduced to it, since adding them to a time could overflow.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
const MS_PER_S: f64 = 1000.0;

/// Returns the delay that a response requests in its `Retry-After` field: seconds, with or without decimals, or the
/// time until a date.
///
/// Returns `None` if the field is missing, cannot be parsed, or contains no positive delay.
pub fn retry_after(response: &ResponseHead<'_>) -> Option<Span> {
    let text = response.fields.text(header::RETRY_AFTER)?.trim();
    let seconds = text
        .parse::<f64>()
        .ok()
        .or_else(|| seconds_until(text, response))
        .filter(|seconds| seconds.is_finite() && *seconds > 0.0)?;
    Some(Span::from_ms(seconds.min(MAX_RETRY_AFTER_S) * MS_PER_S))
}

/// Returns the seconds between the time when the response was written and a date, or 0 for an earlier date.
fn seconds_until(date: &str, response: &ResponseHead<'_>) -> Option<f64> {
    let date = httpdate::parse_http_date(date).ok()?;
    // Both dates are from the sender's clock, which may differ from this machine's clock.
    let written_at = response
        .fields
        .text(header::DATE)
        .and_then(|text| httpdate::parse_http_date(text.trim()).ok())
        .unwrap_or_else(SystemTime::now);
    let remaining = date.duration_since(written_at);
    Some(remaining.map_or(0.0, |remaining| remaining.as_secs_f64()))
}
