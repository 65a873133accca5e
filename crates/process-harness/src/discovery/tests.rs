//! Tests of the wire format of discovery.

use super::*;

#[test]
fn endpoint_list_is_serialized_with_its_wire_names() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    let endpoint = ListedEndpoint::new("s-1", address, 3, 4.0).in_phase(EndpointPhase::Draining);
    let list = EndpointList {
        revision: 42,
        is_complete: false,
        endpoints: vec![endpoint],
    };
    assert_eq!(
        list.to_json(),
        r#"{"revision":42,"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:80","locality":"a","flavor":"clinic","cell":3,"phase":"DRAINING","size":4.0,"up_since_ms":0}]}"#
    );
}
