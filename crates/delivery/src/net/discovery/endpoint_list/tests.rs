use super::super::test_lists::entry;
use super::*;

/// An entry with a number out of range kept the whole list from being taken, drains of others with it.
#[test]
fn malformed_entry_does_not_hide_the_others() {
    let draining = entry("DRAINING");
    for bad in [
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":-7,"phase":"SERVING"}"#,
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":1e400,"phase":"SERVING"}"#,
        r#"{"id":"x","cell":7,"phase":"SERVING"}"#,
        r#"{"id":3,"host_port":"127.0.0.1:1","phase":"SERVING"}"#,
        r#""noise""#,
    ] {
        let text = format!("{{\"revision\":1,\"complete\":true,\"members\":[{bad},{draining}]}}");
        let list: EndpointList = serde_json::from_str(&text).unwrap();
        let EngineEvent::EndpointsReplaced(endpoints) = list.into_event(&NameIndex::default())
        else {
            panic!("{bad}")
        };
        assert_eq!(
            endpoints
                .iter()
                .map(|endpoint| endpoint.status)
                .collect::<Vec<_>>(),
            [EndpointStatus::Draining],
            "{bad}"
        );
    }
    for (size, rate) in [
        ("1e400", 0.0),
        ("-3", 0.0),
        ("1e300", 0.0),
        ("null", 0.0),
        ("\"7\"", 0.0),
        ("7.5", 7.5),
    ] {
        let text = format!("{{\"revision\":1,\"complete\":true,\"members\":[{draining}]}}");
        let list: EndpointList =
            serde_json::from_str(&text.replace("\"size\":1.0", &format!("\"size\":{size}")))
                .unwrap();
        let EngineEvent::EndpointsReplaced(endpoints) = list.into_event(&NameIndex::default())
        else {
            panic!("{size}")
        };
        assert_eq!(
            endpoints
                .iter()
                .map(|endpoint| endpoint.advertised_rate)
                .collect::<Vec<_>>(),
            [rate],
            "{size}"
        );
    }
}
