use super::*;

#[test]
fn flood_is_limited_and_counted_until_the_next_second() {
    let start = Instant::now();
    let admitted = (0..80).filter(|_| admit(&Level::INFO, start)).count();
    assert_eq!(admitted, MAX_LINES_PER_SECOND as usize);
    assert!(admit(&Level::INFO, start + Duration::from_secs(1)));
    assert_eq!((take_dropped(), take_dropped()), (30, 0));
}

#[test]
fn lines_about_messages_leave_room_for_the_others() {
    let start = Instant::now();
    let admitted = (0..500).filter(|_| admit(&Level::DEBUG, start)).count();
    assert_eq!(admitted, MAX_MESSAGE_LINES_PER_SECOND as usize);
    assert!(admit(&Level::INFO, start));
}
