use super::*;

#[test]
fn flood_is_limited_and_counted_until_the_next_second() {
    let start = Instant::now();
    let admitted = (0..80).filter(|_| admit(start)).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert!(admit(start + Duration::from_secs(1)));
    assert_eq!((take_dropped(), take_dropped()), (30, 0));
}
