use super::*;
use async_executor::LocalExecutor;
use async_io::Async;
use std::net::TcpListener;
use std::rc::Rc;

/// A notice counts as lost 300 ms after its message's time; this leaves a crowded machine as much again and more.
const IN_TIME: Duration = Duration::from_millis(1200);

async fn accept(listener: &Async<TcpListener>) -> Connection {
    let (stream, _) = listener.accept().await.unwrap();
    Connection::new(stream)
}

/// Reads one request with notices and returns its body.
async fn read_notices(connection: &mut Connection) -> String {
    let head_len = connection.read_head(MAX_HEAD).await.unwrap();
    let framing = http::request(&connection.bytes()[..head_len])
        .unwrap()
        .framing;
    let body_len = connection
        .read_body(head_len, framing, MAX_HEAD)
        .await
        .unwrap();
    let body = connection.bytes()[head_len..head_len + body_len].to_vec();
    connection.consume(head_len + body_len);
    String::from_utf8(body).unwrap()
}

/// The connection that was kept said nothing more, and the notice on it was sent again only after 2 s.
#[test]
fn notice_on_a_silent_connection_is_sent_on_another_in_time() {
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
        let mut kept = accept(&listener).await;
        assert_eq!(read_notices(&mut kept).await, "m1\n");
        kept.write(b"HTTP/1.1 204 No Content\r\n\r\n", b"")
            .await
            .unwrap();
        acknowledged.recv().await.unwrap();
        // From here on its peer is gone, and the connection does not notice.
        sender.try_send(notice(2)).unwrap();
        let deadline = Instant::now() + IN_TIME;
        let second = before(deadline, async {
            let mut second = accept(&listener).await;
            let notices = read_notices(&mut second).await;
            second
                .write(b"HTTP/1.1 204 No Content\r\n\r\n", b"")
                .await
                .unwrap();
            notices
        });
        assert_eq!(second.await.as_deref(), Some("m2\n"));
        acknowledged.recv().await.unwrap();
        drop(kept);
    }));
}
