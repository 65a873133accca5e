use super::*;
use crate::frontend::platform::PlatformFrontend;

/// One at a time was too slow for a crowd that came at 300 a second.
#[test]
fn as_many_silent_connections_make_room_at_once_as_are_asked() {
    let connections = Connections::default();
    let told: Vec<_> = (0..10).map(|_| connections.take().1).collect();
    let left = || told.iter().filter(|told| !told.is_empty()).count();
    let earlier = Instant::now().checked_sub(Duration::from_secs(1)).unwrap();
    connections
        .connections
        .borrow_mut()
        .values_mut()
        .for_each(|connection| connection.since = earlier);
    connections.is_at(0, Phase::Open);
    connections.make_room(4);
    assert_eq!(left(), 4);
    assert!(told[0].is_empty(), "a request is open there");
}

/// Runs `play` against a platform's front served on loopback, with so many places and so much patience.
fn served<P, F>(places: usize, patience: Duration, play: P)
where
    P: FnOnce(SocketAddr, Rc<ClientConnections>) -> F,
    F: future::Future<Output = ()>,
{
    let tasks = Rc::new(LocalExecutor::new());
    let spawner = Spawner::new(&tasks);
    async_io::block_on(tasks.run(async {
        let (queue, _inputs) = async_channel::bounded(1);
        let clients = Rc::new(ClientConnections::new(queue, places, Rc::default()));
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let front = Rc::new(PlatformFrontend {
            classes: vec![],
            keyed: vec![],
            numbers: None,
        });
        spawner.clone().spawn(serve(
            listener,
            front,
            clients.clone(),
            ReadTimeout(patience),
            spawner,
        ));
        play(at, clients).await;
    }));
}

/// Sends what is given and reads the status of the answer and whether the connection is kept.
async fn ask(link: &mut Link, what: &[u8]) -> (u16, bool) {
    link.write(what, b"").await.unwrap();
    let head = link.head(HEAD).await.unwrap();
    let read = http::response(&link.bytes()[..head]).unwrap();
    let said = (read.status, read.keeps);
    link.consume(head);
    said
}

#[test]
fn a_peer_that_does_not_finish_its_request_is_timed_out() {
    served(4, Duration::from_millis(50), |at, _| async move {
        for half in [
            "POST /api HT",
            "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
        ] {
            let mut slow = Link::connect(at).await.unwrap();
            assert_eq!(ask(&mut slow, half.as_bytes()).await.0, 408);
        }
    });
}

#[test]
fn a_drained_desk_says_no_when_asked_if_ready_and_closes_with_its_answer() {
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
    served(8, Duration::from_secs(5), |at, clients| async move {
        let mut open = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut open, READY).await, (200, true));
        clients.drain(true);
        // The idle connection is closed at the call; a new one hears no, and the end of the connection.
        assert!(!open.fill().await.unwrap_or(false));
        let mut late = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut late, READY).await, (503, false));
        clients.drain(false);
        let mut again = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut again, READY).await.0, 200);
    });
}

const READY: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";

/// A connection that has been answered once, from a client that writes without giving way to anybody.
async fn rested(at: SocketAddr) -> (Link, TcpStream) {
    let mut link = Link::connect(at).await.unwrap();
    assert_eq!(ask(&mut link, READY).await, (200, true));
    let beside = link.socket().try_clone().unwrap();
    (link, beside)
}

#[test]
fn a_request_that_crosses_the_close_of_its_resting_connection_is_answered() {
    use std::io::Write;
    served(8, Duration::from_secs(5), |at, clients| async move {
        for (first, rest) in [(READY, &b""[..]), READY.split_at(9), READY.split_at(1)] {
            let (mut link, mut beside) = rested(at).await;
            // Both come between two steps of the connection's task: bytes first, then the word to leave.
            beside.write_all(first).unwrap();
            clients.leaving.set(Some(Instant::now()));
            clients.close_idle();
            clients.close_quiet(Duration::ZERO);
            for _ in 0..100 {
                future::yield_now().await;
            }
            clients.close_idle();
            let last = ask(&mut link, rest).await;
            assert_eq!(
                last,
                (200, false),
                "its first {} bytes had come",
                first.len()
            );
            assert!(
                !link.fill().await.unwrap(),
                "and the end of its connection after that"
            );
            clients.leaving.set(None);
        }
        // The other way round, it is closed, and the client knows that nothing of it was read.
        let (mut link, mut beside) = rested(at).await;
        clients.close_idle();
        assert!(!link.fill().await.unwrap_or(false));
        let _ = beside.write_all(READY);
        assert_eq!(clients.connections(), 0);
    });
}

#[test]
fn who_waits_in_the_listeners_queue_at_its_end_is_answered_and_who_comes_later_refused() {
    use std::io::Write;
    served(8, Duration::from_secs(5), |at, clients| async move {
        // The task that accepts has not run since: these wait in the system's queue.
        let waiting: Vec<TcpStream> = (0..20)
            .map(|_| {
                let mut stream = TcpStream::connect(at).unwrap();
                stream.write_all(READY).unwrap();
                stream
            })
            .collect();
        clients.leaving.set(Some(Instant::now()));
        clients.stop_accepting();
        for stream in waiting {
            let mut link = Link::new(Async::new(stream).unwrap());
            assert_eq!(ask(&mut link, b"").await, (200, false));
        }
        assert!(!clients.listens());
        assert!(TcpStream::connect(at).is_err());
    });
}

#[test]
fn a_client_that_sends_on_after_its_last_answer_still_gets_that_answer() {
    use std::io::Write;
    served(8, Duration::from_secs(5), |at, clients| async move {
        let (mut link, mut beside) = rested(at).await;
        clients.leaving.set(Some(Instant::now()));
        beside.write_all(READY).unwrap();
        // The answer is on its way once the courier has ended its sending; what comes now is read and sent nowhere.
        while clients
            .connections
            .connections
            .borrow()
            .values()
            .any(|connection| connection.phase != Phase::Lingering)
        {
            future::yield_now().await;
        }
        beside.write_all(&READY.repeat(2000)).unwrap();
        while clients.connections() > 0 {
            future::yield_now().await;
        }
        assert_eq!(ask(&mut link, b"").await, (200, false));
        assert!(!link.fill().await.unwrap(), "an end, no reset");
        assert_eq!(clients.counters.offered.get(), 0);
    });
}
