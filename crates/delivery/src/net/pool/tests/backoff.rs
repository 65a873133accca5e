use super::*;
use marblefall_scheduler::Span;

/// Length of a body in bytes that exceeds what the operating system buffers for an endpoint that does not read.
const LARGE_BODY_LEN: usize = 32 << 20;

/// A backoff also applies to attempts that were started before the `Retry-After` was received.
#[test]
fn retry_after_received_during_connect_is_honoured() {
    let own_route = |id| Route {
        endpoint: Some(EndpointId(id)),
        ..SHARED_ROUTE
    };
    for (routes, expected) in [
        ([SHARED_ROUTE, SHARED_ROUTE], Outcome::NotSent),
        ([own_route(0), own_route(1)], Outcome::Delivered),
    ] {
        let listeners = [listen(), listen()];
        let pool = pool(9, &listeners[0]);
        list_endpoint(&pool, EndpointId(1), &listeners[1]);
        let endpoints = std::thread::spawn(move || {
            let serve = |listener: &TcpListener, response: &[u8]| {
                let mut stream = accept(listener);
                let received = receive(&mut stream);
                send(&mut stream, response);
                received
            };
            let rejection = b"HTTP/1.1 429 x\r\nRetry-After: 15\r\nContent-Length: 0\r\n\r\n";
            serve(&listeners[1], rejection);
            serve(&listeners[0], OK_RESPONSE)
        });
        let first = async_io::block_on(async {
            let mut first = std::pin::pin!(run_attempt_at(&pool, 1, ENDPOINT, routes[0]));
            // The first attempt is connecting, and is not polled again until the second one has its response.
            assert!(future::poll_once(&mut first).await.is_none());
            let second = run_attempt_at(&pool, 2, EndpointId(1), routes[1]).await;
            let rejected_for_15_s = Outcome::Rejected {
                retry_after: Some(Span::from_ms(15_000.0)),
            };
            assert_eq!(second, rejected_for_15_s);
            first.await
        });
        assert_eq!(first, expected);
        drop(pool);
        assert_eq!(
            endpoints.join().unwrap() > 0,
            expected == Outcome::Delivered,
            "whether the first endpoint received a request"
        );
    }
}

/// An endpoint executes a request once it receives the last byte, which must not be written during a backoff.
#[test]
fn partial_write_stops_in_backoff() {
    let body = vec![b'x'; LARGE_BODY_LEN];
    let listener = listen();
    let pool = pool(9, &listener);
    let outcome = async_io::block_on(async {
        let running = run_attempt_with_body(&pool, &body, test_deadline());
        let mut running = std::pin::pin!(running);
        let async_listener = Async::<TcpListener>::new(listener.try_clone().unwrap()).unwrap();
        let accepting = async { async_listener.accept().await.unwrap() };
        let (stream, _) = await_while_running(&mut running, accepting).await;
        // Once the endpoint has bytes to read, a part of the request has been written.
        let first_bytes = async { stream.readable().await.unwrap() };
        await_while_running(&mut running, first_bytes).await;
        pool.back_off(SHARED_ROUTE, Instant::now() + Duration::from_secs(60));
        let reading = std::thread::spawn(move || {
            let stream = stream.into_inner().unwrap();
            stream.set_nonblocking(false).unwrap();
            read_to_end(stream)
        });
        let outcome = running.await;
        assert!(
            reading.join().unwrap() < LARGE_BODY_LEN,
            "the endpoint has received the complete request"
        );
        outcome
    });
    assert_eq!(outcome, Outcome::NotSent);
}

/// The last byte of a request must not be written after the deduplication window for repeated attempts.
#[test]
fn partial_write_stops_at_its_deadline() {
    let body = vec![b'x'; LARGE_BODY_LEN];
    let listener = listen();
    let pool = pool(9, &listener);
    let outcome = async_io::block_on(async {
        let write_by = Instant::now() + Duration::from_millis(300);
        run_attempt_with_body(&pool, &body, write_by).await
    });
    assert_eq!(outcome, Outcome::NotSent);
    drop(pool);
    assert!(
        read_to_end(accept(&listener)) < LARGE_BODY_LEN,
        "the endpoint has received the complete request"
    );
}
