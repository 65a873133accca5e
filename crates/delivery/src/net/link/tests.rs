use super::*;
use std::net::TcpListener;

#[test]
fn a_read_that_is_dropped_leaves_nothing_in_the_buffer() {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let dialled = Link::connect(listener.get_ref().local_addr().unwrap());
        let (near, far) = future::zip(dialled, listener.accept()).await;
        let (mut near, mut far) = (near.unwrap(), Link::new(far.unwrap().0));
        assert!(
            future::poll_once(near.fill()).await.is_none(),
            "nothing was sent yet"
        );
        assert!(near.bytes().is_empty() && near.is_fresh());
        far.write(b"GET / HTTP/1.1\r\n\r\n", b"").await.unwrap();
        assert_eq!(near.head(64).await.unwrap(), 18);
    });
}
