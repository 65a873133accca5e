//! Tests of the snapshot encoding, with incomplete and corrupt snapshots.

use super::*;

#[test]
fn incomplete_or_corrupt_snapshot_is_rejected() {
    let record = |n: u64| DestinationRecord {
        destination: n << 40,
        ejected_since_ms: Some(-5).filter(|_| n.is_multiple_of(2)),
        mean_latency_ms: Some(12.5),
        baseline_rate: 0.25,
        pending: 3,
        active: n > 3,
        ..DestinationRecord::default()
    };
    let records: Vec<DestinationRecord> = (0..20).map(record).collect();
    let bytes = encode(&records);
    assert_eq!(decode(&bytes), Ok(records));
    // A write that stopped after any number of bytes, and a corruption of any byte.
    for cut in 0..bytes.len() {
        assert!(decode(&bytes[..cut]).is_err(), "cut at {cut}");
        let mut corrupt = bytes.clone();
        corrupt[cut] ^= 0x10;
        assert!(decode(&corrupt).is_err(), "corrupt at {cut}");
    }
    let mut newer = bytes.clone();
    newer[4] = 2;
    assert_eq!(decode(&newer), Err(SnapshotError::Version(2)));
    assert_eq!(
        decode(b"something else altogether"),
        Err(SnapshotError::Foreign)
    );
    assert_eq!(decode(&encode(&[])), Ok(Vec::new()));
}
