//! The rate limit that endpoints report in a header field of their responses.

use crate::net::discovery::MAX_RATE_PER_S;
use marblefall_scheduler::RateLimitReport;

/// Prefix of a report in the text format.
const TEXT_FORMAT: &str = "TEXT";
/// Key of the fraction of the limit that remains, from 0 to 1.
const REMAINING_KEY: &str = "x0";
/// Key of the limit, in calls per second.
const LIMIT_KEY: &str = "x1";

/// Parses a report such as `TEXT x0=0.4, x1=25`. A malformed report is ignored entirely, since its other values may be
/// wrong too.
pub fn parse_load_report(text: &str) -> RateLimitReport {
    parse(text).unwrap_or_default()
}

fn parse(text: &str) -> Option<RateLimitReport> {
    let mut report = RateLimitReport::default();
    for pair in text.trim().strip_prefix(TEXT_FORMAT)?.split(',') {
        let (key, value) = pair.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        match key.trim() {
            REMAINING_KEY if (0.0..=1.0).contains(&value) => report.remaining = Some(value),
            LIMIT_KEY if (0.0..=MAX_RATE_PER_S).contains(&value) => report.limit = Some(value),
            REMAINING_KEY | LIMIT_KEY => return None,
            _ => {}
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
