use super::*;
use crate::front::relay::Relay;

/// One at a time was too slow for a crowd that came at 300 a second.
#[test]
fn as_many_silent_connections_make_room_at_once_as_are_asked() {
    let seats = Seats::default();
    let told: Vec<_> = (0..10).map(|_| seats.take().1).collect();
    let left = || told.iter().filter(|told| !told.is_empty()).count();
    let earlier = Instant::now().checked_sub(Duration::from_secs(1)).unwrap();
    seats.seats.borrow_mut().values_mut().for_each(|seat| seat.since = earlier);
    seats.is_at(0, Phase::Open);
    seats.make_room(4);
    assert_eq!(left(), 4);
    assert!(told[0].is_empty(), "a request is open there");
}

/// Runs `play` against a platform's front served on loopback, with so many places and so much patience.
fn served<P, F>(places: usize, patience: Duration, play: P)
where
    P: FnOnce(SocketAddr, Rc<Desk>) -> F,
    F: future::Future<Output = ()>,
{
    let tasks = Rc::new(LocalExecutor::new());
    let spawner = Spawner::new(&tasks);
    async_io::block_on(tasks.run(async {
        let (queue, _inputs) = async_channel::bounded(1);
        let desk = Rc::new(Desk::new(queue, places, Rc::default()));
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        let front = Rc::new(Relay { classes: vec![], keyed: vec![], numbers: None });
        spawner.clone().spawn(serve(listener, front, desk.clone(), Patience(patience), spawner));
        play(at, desk).await;
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
        for half in ["POST /api HT", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"] {
            let mut slow = Link::connect(at).await.unwrap();
            assert_eq!(ask(&mut slow, half.as_bytes()).await.0, 408);
        }
    });
}

#[test]
fn a_drained_desk_says_no_when_asked_if_ready_and_closes_with_its_answer() {
    const READY: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";
    served(8, Duration::from_secs(5), |at, desk| async move {
        let mut open = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut open, READY).await, (200, true));
        desk.drain(true);
        // The idle connection is closed at the call; a new one hears no, and the end of the connection.
        assert!(!open.fill().await.unwrap_or(false));
        let mut late = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut late, READY).await, (503, false));
        desk.drain(false);
        let mut again = Link::connect(at).await.unwrap();
        assert_eq!(ask(&mut again, READY).await.0, 200);
    });
}
