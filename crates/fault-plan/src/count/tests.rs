//! Tests of the counts file.

use super::*;

#[test]
fn counts_are_read_in_the_order_of_kinds() {
    let mut bytes = vec![0; COUNTS_LEN];
    let kind = FaultKind::DiskFull;
    bytes[kind.index() * COUNT_BYTES] = 5;
    bytes[kind.index() * COUNT_BYTES + WORD_BYTES] = 3;
    let count = Count {
        seen: 5,
        injected: 3,
    };
    let counts = Counts::read(&bytes);
    assert_eq!(counts.of(kind), count);
    assert_eq!(counts.iter().filter(|(_, count)| count.seen > 0).count(), 1);
    let mut total = counts.clone();
    total.add(&counts);
    assert_eq!(total.of(kind).injected, 6);
}

#[test]
fn missing_file_counts_as_zero() {
    assert_eq!(Counts::read(b""), Counts::default());
}
