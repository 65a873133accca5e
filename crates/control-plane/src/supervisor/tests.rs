//! Tests of the supervisor's wait for its next round.

use super::receive_or_wait;
use futures_lite::future;

/// Regression: after a thread had panicked, its closed channel woke the supervisor immediately in every round.
#[test]
fn closed_channel_does_not_wake_supervisor() {
    let (sender, receiver) = async_channel::bounded::<u32>(1);
    sender.try_send(1).unwrap();
    drop(sender);
    async_io::block_on(async {
        assert_eq!(receive_or_wait(&receiver).await, 1);
        assert_eq!(future::poll_once(receive_or_wait(&receiver)).await, None);
    });
}
