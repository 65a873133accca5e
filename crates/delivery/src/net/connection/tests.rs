use super::*;
use std::net::TcpListener;

#[test]
fn dropped_read_leaves_the_buffer_unchanged() {
    async_io::block_on(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let connecting = Connection::connect(listener.get_ref().local_addr().unwrap());
        let (client, peer) = future::zip(connecting, listener.accept()).await;
        let (mut client, mut peer) = (client.unwrap(), Connection::new(peer.unwrap().0));
        assert!(
            future::poll_once(client.fill()).await.is_none(),
            "the read completed before anything was sent"
        );
        assert!(client.bytes().is_empty() && client.is_reusable());
        peer.write(b"GET / HTTP/1.1\r\n\r\n", b"").await.unwrap();
        assert_eq!(client.read_head(64).await.unwrap(), 18);
    });
}
