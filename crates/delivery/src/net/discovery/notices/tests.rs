use super::*;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;

/// Time limit for the delivery of a notice. A notice counts as lost 300 ms after its message's deadline. The limit is
/// longer to allow for a loaded machine.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1200);

async fn accept(listener: &Async<TcpListener>) -> Connection {
    let (stream, _) = listener.accept().await.unwrap();
    Connection::new(stream)
}

/// Reads one request with notices, and returns its body.
async fn read_notices(connection: &mut Connection) -> String {
    let Ok(head_len) = connection.read_head(MAX_HEAD_LEN).await else {
        return future::pending().await;
    };
    let framing = http::parse_request(&connection.bytes()[..head_len])
        .unwrap()
        .framing;
    let body_len = connection
        .read_body(head_len, framing, MAX_HEAD_LEN)
        .await
        .unwrap();
    let body = connection.bytes()[head_len..head_len + body_len].to_vec();
    connection.consume(head_len + body_len);
    String::from_utf8(body).unwrap()
}

/// Neither a peer that no longer responds on a connection nor a copy of its last acknowledgement concerns a later notice.
#[test]
fn copy_of_an_acknowledgement_acknowledges_no_later_notice() {
    let tasks = Rc::new(LocalExecutor::new());
    async_io::block_on(tasks.run(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let (sender, pending) = async_channel::unbounded();
        let (engine, acknowledged) = async_channel::unbounded();
        let (_changes, changes) = async_channel::unbounded();
        let discovery = DiscoveryEndpoint { address, changes };
        let encode: EncodeNotice = |identity, _| format!("{}\n", String::from_utf8_lossy(identity));
        tasks
            .spawn(deliver_notices(discovery, pending, engine, encode))
            .detach();
        let notice = |id: u64| PendingNotice {
            message_id: MessageId(id),
            identity: format!("m{id}").into_bytes(),
            outcome: FinalOutcome::Failed,
        };
        sender.try_send(notice(1)).unwrap();
        let mut first = accept(&listener).await;
        assert_eq!(read_notices(&mut first).await, "m1\n");
        first
            .write(b"HTTP/1.1 204 No Content\r\n\r\n", b"")
            .await
            .unwrap();
        acknowledged.recv().await.unwrap();
        sender.try_send(notice(2)).unwrap();
        let copied = async {
            read_notices(&mut first).await;
            let _ = first.write(b"HTTP/1.1 204 No Content\r\n\r\n", b"").await;
            future::pending().await
        };
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let second = with_deadline(deadline, async {
            let mut second = accept(&listener).await;
            let notices = read_notices(&mut second).await;
            assert!(acknowledged.is_empty(), "acknowledged before its response");
            second
                .write(b"HTTP/1.1 204 No Content\r\n\r\n", b"")
                .await
                .unwrap();
            notices
        });
        assert_eq!(future::or(second, copied).await.as_deref(), Some("m2\n"));
        acknowledged.recv().await.unwrap();
    }));
}
