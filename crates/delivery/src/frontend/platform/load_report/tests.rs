//! Parsing of load reports.

use super::*;

#[test]
fn malformed_load_report_is_ignored_as_a_whole() {
    assert_eq!(
        parse_load_report("TEXT x0=0.4, x1=25"),
        RateLimitReport {
            remaining: Some(0.4),
            limit: Some(25.0)
        }
    );
    for malformed in [
        "",
        "x0=0.4",
        "TEXT x0=0.4, x1=",
        "TEXT x0=0.4; x1=25",
        "TEXT x0=7, x1=25",
        "TEXT x1=1e99",
    ] {
        assert_eq!(
            parse_load_report(malformed),
            RateLimitReport::default(),
            "{malformed}"
        );
    }
}
