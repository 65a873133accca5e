//! Tests of the rate limits of log lines.

use super::*;

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let start = Instant::now();
    let admit_instance_line = |now| admit(LineKind::Instance, now);
    let admitted = (0..80).filter(|_| admit_instance_line(start)).count();
    assert_eq!(admitted, 50);
    assert!(admit_instance_line(start + Duration::from_secs(1)));
    assert_eq!((take_dropped(), take_dropped()), (30, 0));
}

#[test]
fn kinds_of_lines_do_not_displace_each_other() {
    let start = Instant::now();
    let kinds = [
        (LineKind::Delivery, 10),
        (LineKind::Message, 20),
        (LineKind::Connection, 50),
        (LineKind::Instance, 50),
    ];
    for (kind, limit) in kinds {
        let admitted = (0..500).filter(|_| admit(kind, start)).count();
        assert_eq!(admitted, limit, "{kind:?}");
    }
    assert_eq!(take_dropped(), 480 + 450 + 450);
}
