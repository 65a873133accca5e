//! Tests of the text form of a fault.

use super::*;

#[test]
fn every_fault_kind_round_trips_through_text() {
    for kind in FaultKind::ALL {
        let fault = Fault {
            kind: *kind,
            from_ms: 10,
            until_ms: 20,
            amount: -5,
        };
        assert_eq!(fault.to_string().parse(), Ok(fault));
    }
}

#[test]
fn malformed_line_is_reported_with_its_text() {
    for line in [
        "",
        "disk-eio",
        "disk-eio 1 2",
        "disk-eio 1 2 many",
        "no-such-fault 1 2 3",
    ] {
        let error = line.parse::<Fault>();
        assert_eq!(
            error,
            Err(ParseFaultError {
                line: line.to_owned()
            })
        );
    }
}
