use super::super::test_lists::entry;
use super::*;

/// Parses a complete list and returns its endpoints.
fn listed_endpoints(entries: &str) -> Vec<ListedEndpoint> {
    let text = format!("{{\"revision\":1,\"complete\":true,\"members\":[{entries}]}}");
    let list: EndpointList = serde_json::from_str(&text).unwrap();
    match list.into_event(&NameIndex::default()) {
        EngineEvent::EndpointsReplaced(endpoints) => endpoints,
        other => panic!("{entries}: {other:?}"),
    }
}

#[test]
fn malformed_entry_does_not_invalidate_the_others() {
    let draining = entry("DRAINING");
    for malformed in [
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":-7,"phase":"SERVING"}"#,
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":1e400,"phase":"SERVING"}"#,
        r#"{"id":"x","cell":7,"phase":"SERVING"}"#,
        r#"{"id":3,"host_port":"127.0.0.1:1","phase":"SERVING"}"#,
        r#""noise""#,
    ] {
        let statuses: Vec<_> = listed_endpoints(&format!("{malformed},{draining}"))
            .iter()
            .map(|endpoint| endpoint.status)
            .collect();
        assert_eq!(statuses, [EndpointStatus::Draining], "{malformed}");
    }
}

#[test]
fn implausible_rate_is_treated_as_missing() {
    let entry = entry("DRAINING");
    for (size, rate) in [
        ("1e400", 0.0),
        ("-3", 0.0),
        ("1e300", 0.0),
        ("null", 0.0),
        ("\"7\"", 0.0),
        ("7.5", 7.5),
    ] {
        let entry = entry.replace("\"size\":1.0", &format!("\"size\":{size}"));
        let rates: Vec<_> = listed_endpoints(&entry)
            .iter()
            .map(|endpoint| endpoint.advertised_rate)
            .collect();
        assert_eq!(rates, [rate], "{size}");
    }
}
