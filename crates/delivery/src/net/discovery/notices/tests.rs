use super::*;
use async_executor::LocalExecutor;
use async_io::Async;
use std::net::TcpListener;
use std::rc::Rc;

/// Time limit for the delivery of a notice. A notice counts as lost 300 ms after its message's deadline. The limit is
/// longer to allow for a loaded machine.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(1200);

async fn accept(listener: &Async<TcpListener>) -> Connection {
    let (stream, _) = listener.accept().await.unwrap();
    Connection::new(stream)
}

/// Reads one request with notices, and returns its body. Returns `None` if the connection is closed without a request.
async fn read_notices(connection: &mut Connection) -> Option<String> {
    let head_len = connection.read_head(MAX_HEAD_LEN).await.ok()?;
    let framing = http::parse_request(&connection.bytes()[..head_len])
        .unwrap()
        .framing;
    let body_len = connection
        .read_body(head_len, framing, MAX_HEAD_LEN)
        .await
        .unwrap();
    let body = connection.bytes()[head_len..head_len + body_len].to_vec();
    connection.consume(head_len + body_len);
    Some(String::from_utf8(body).unwrap())
}

/// Accepts connections until one of them has a request with notices, and returns its body.
async fn accept_notices(listener: &Async<TcpListener>) -> (Connection, String) {
    loop {
        let mut connection = accept(listener).await;
        if let Some(notices) = read_notices(&mut connection).await {
            return (connection, notices);
        }
    }
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
        let (mut first, notices) = accept_notices(&listener).await;
        assert_eq!(notices, "m1\n");
        first
            .write(b"HTTP/1.1 204 No Content\r\n\r\n", b"")
            .await
            .unwrap();
        acknowledged.recv().await.unwrap();
        sender.try_send(notice(2)).unwrap();
        let copied = async {
            if read_notices(&mut first).await.is_none() {
                return future::pending().await;
            }
            let _ = first.write(b"HTTP/1.1 204 No Content\r\n\r\n", b"").await;
            future::pending().await
        };
        let deadline = Instant::now() + DELIVERY_TIMEOUT;
        let second = with_deadline(deadline, async {
            let (mut second, notices) = accept_notices(&listener).await;
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
