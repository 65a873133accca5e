//! Tests of the transitions between active and idle destinations, with a simulated clock.

use super::*;

#[test]
fn destination_becomes_idle_after_its_last_use() {
    let mut destinations = ActiveDestinations::default();
    let (a, b) = (DestinationId(1), DestinationId(2));
    assert!(destinations.touch(Time(0), a) && destinations.touch(Time(1), b));
    assert!(!destinations.touch(Time(20_000_000), a), "active already");
    assert_eq!(destinations.next_idle(Time(29_999_999)), None);
    assert_eq!(destinations.next_idle(Time(31_000_000)), Some(b));
    destinations.deactivate(b, IdleRecord::default());
    assert_eq!(
        (destinations.take_record(b), destinations.is_active(b)),
        (None, false),
        "its record is not significant"
    );
    assert_eq!(destinations.next_idle(Time(31_000_000)), None);
    assert_eq!(destinations.next_check(), Some(Time(50_000_000)));
    assert_eq!(destinations.next_idle(Time(50_000_000)), Some(a));
    let ejected = IdleRecord {
        ejected_since: Some(Time(5)),
        ..IdleRecord::default()
    };
    destinations.deactivate(a, ejected);
    assert_eq!(destinations.take_record(a), Some(ejected));
}
