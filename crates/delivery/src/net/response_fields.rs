//! What endpoints report in header fields of their responses: when to try again, and their rate limit.

use super::http::ResponseHead;
use marblefall_scheduler::{RateLimitReport, Span};
use std::time::SystemTime;

/// A longer `Retry-After` is taken for this: it must not overflow a clock, nor outlast the day.
const MAX_RETRY_AFTER_S: f64 = 3600.0;
/// A reported rate of more calls a second than this is noise.
pub const MAX_RATE: f64 = 1e6;

/// The wait that a response asks for: in seconds, with or without decimals, or up to a date.
pub fn retry_after(response: &ResponseHead<'_>) -> Option<Span> {
    let text = response.fields.text("retry-after")?.trim();
    let until_date = |text| {
        let date = httpdate::parse_http_date(text).ok()?;
        // Counted by the clock that it was written by, as this machine's may show something else.
        let written_at = response
            .fields
            .text("date")
            .and_then(|text| httpdate::parse_http_date(text.trim()).ok())
            .unwrap_or_else(SystemTime::now);
        let left = date.duration_since(written_at);
        Some(left.map_or(0.0, |left| left.as_secs_f64()))
    };
    let seconds = text.parse::<f64>().ok().or_else(|| until_date(text))?;
    let seconds = Some(seconds).filter(|seconds| seconds.is_finite() && *seconds > 0.0)?;
    Some(Span::from_ms(seconds.min(MAX_RETRY_AFTER_S) * 1000.0))
}

/// Parses a report such as `TEXT x0=0.4, x1=25`. One that cannot be read in full is ignored in full: half of it may be
/// as wrong as the rest.
pub fn rate_limit_report(text: &str) -> RateLimitReport {
    parse_rate_limit(text).unwrap_or_default()
}

fn parse_rate_limit(text: &str) -> Option<RateLimitReport> {
    let mut report = RateLimitReport::default();
    for pair in text.trim().strip_prefix("TEXT")?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        match name.trim() {
            "x0" if (0.0..=1.0).contains(&value) => report.remaining = Some(value),
            "x1" if (0.0..=MAX_RATE).contains(&value) => report.limit = Some(value),
            "x0" | "x1" => return None,
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
