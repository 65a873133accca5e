use super::*;
use std::net::TcpListener;

#[test]
fn dropped_read_leaves_the_buffer_unchanged() {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let connecting = Connection::connect(listener.get_ref().local_addr().unwrap());
        let (near, far) = future::zip(connecting, listener.accept()).await;
        let (mut near, mut far) = (near.unwrap(), Connection::new(far.unwrap().0));
        assert!(
            future::poll_once(near.fill()).await.is_none(),
            "nothing was sent yet"
        );
        assert!(near.bytes().is_empty() && near.is_reusable());
        far.write(b"GET / HTTP/1.1\r\n\r\n", b"").await.unwrap();
        assert_eq!(near.read_head(64).await.unwrap(), 18);
    });
}
