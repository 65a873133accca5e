use super::*;
use std::net::TcpStream;

/// Binds a shared socket and listens.
fn listen_shared(address: SocketAddr) -> TcpListener {
    let listener = bind_shared(address).unwrap();
    listen(&listener).unwrap();
    listener
}

#[test]
fn bound_socket_refuses_connections_until_it_listens() {
    let bound = bind_shared(([127, 0, 0, 1], 0).into()).unwrap();
    let address = bound.local_addr().unwrap();
    assert!(TcpStream::connect(address).is_err());
    listen(&bound).unwrap();
    assert!(TcpStream::connect(address).is_ok());
}

#[test]
fn shared_address_rejects_a_listener_without_reuse_port() {
    let first = listen_shared(([127, 0, 0, 1], 0).into());
    let address = first.local_addr().unwrap();
    let second = listen_shared(address);
    assert_eq!(second.local_addr().unwrap(), address);
    assert!(
        TcpListener::bind(address).is_err(),
        "a listener without SO_REUSEPORT was bound"
    );
}

#[test]
fn preferred_listener_receives_all_connections_until_it_closes() {
    let first = listen_shared(([127, 0, 0, 1], 0).into());
    let address = first.local_addr().unwrap();
    let second = listen_shared(address);
    prefer(&second, 1).unwrap();
    let accepted = |listener: &TcpListener| {
        listener.set_nonblocking(true).unwrap();
        std::iter::from_fn(|| listener.accept().ok()).count()
    };
    let _open: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    assert_eq!((accepted(&first), accepted(&second)), (0, 50));
    drop(second);
    let _open: Vec<_> = (0..50)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    assert_eq!(accepted(&first), 50);
    assert!(
        prefer(&TcpListener::bind("127.0.0.1:0").unwrap(), 1).is_err(),
        "the address of the listener is not shared"
    );
}

/// Regression test: with a backlog of 128 until the server accepts, a client beyond the 128 waits for a second.
#[test]
fn burst_before_the_first_accept_is_queued() {
    const BURST: usize = 600;
    const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);
    for bound in [bind_shared, bind_exclusive] {
        let listener = bound(([127, 0, 0, 1], 0).into()).unwrap();
        listen(&listener).unwrap();
        let address = listener.local_addr().unwrap();
        let connected = (0..BURST)
            .map_while(|_| TcpStream::connect_timeout(&address, FAILURE_TIMEOUT).ok())
            .collect::<Vec<_>>();
        assert_eq!(connected.len(), BURST);
    }
}
