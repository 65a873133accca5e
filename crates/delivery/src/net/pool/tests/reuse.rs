use super::*;
use std::sync::mpsc;

/// The reset of a reused connection is not a failure of its endpoint, which must not be ejected because of it.
#[test]
fn reset_of_a_reused_connection_is_a_stale_connection() {
    let listener = listen();
    let pool = pool(9, &listener);
    std::thread::spawn(move || {
        // The first connection is closed at its second request, and the second connection at its first request.
        for responses in [1, 0] {
            let mut stream = accept(&listener);
            for _ in 0..responses {
                receive(&mut stream);
                send(&mut stream, OK_RESPONSE);
            }
            receive(&mut stream);
        }
    });
    let outcomes = async_io::block_on(async {
        [
            run_attempt(&pool, 1).await,
            run_attempt(&pool, 2).await,
            run_attempt(&pool, 3).await,
        ]
    });
    assert_eq!(
        outcomes,
        [Outcome::Delivered, Outcome::StaleConnection, Outcome::Reset]
    );
}

#[test]
fn idle_connection_with_unrequested_bytes_carries_no_attempt() {
    for unrequested in [OK_RESPONSE, b"HTTP/1.1 50", b"\r\n"] {
        let listener = listen();
        let pool = pool(9, &listener);
        let (first_delivered, send_unrequested) = mpsc::channel();
        let (sent, unrequested_sent) = mpsc::channel();
        let endpoint = std::thread::spawn(move || {
            let mut first = accept(&listener);
            receive(&mut first);
            first.write_all(OK_RESPONSE).unwrap();
            send_unrequested.recv().unwrap();
            first.write_all(unrequested).unwrap();
            sent.send(()).unwrap();
            let mut second = accept(&listener);
            receive(&mut second);
            second.write_all(OK_RESPONSE).unwrap();
            // No other request may arrive on the first connection before it is closed.
            receive(&mut first)
        });
        let outcomes = async_io::block_on(async {
            let first = run_attempt(&pool, 1).await;
            first_delivered.send(()).unwrap();
            unrequested_sent.recv().unwrap();
            (first, run_attempt(&pool, 2).await)
        });
        assert_eq!(outcomes, (Outcome::Delivered, Outcome::Delivered));
        drop(pool);
        assert_eq!(endpoint.join().unwrap(), 0, "bytes on the first connection");
    }
}

/// Responses are assigned to requests by their order, so that a copy which arrives behind the next request would be taken
/// for the response to it.
#[test]
fn connection_is_not_reused_before_it_was_quiet() {
    let listener = listen();
    let pool = pool_with_quiet_time(9, TEST_TIMEOUT, &listener);
    let endpoint = std::thread::spawn(move || {
        let mut first = accept(&listener);
        receive(&mut first);
        first.write_all(OK_RESPONSE).unwrap();
        let mut second = accept(&listener);
        receive(&mut second);
        first.write_all(OK_RESPONSE).unwrap();
        second
            .write_all(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
    });
    let outcomes =
        async_io::block_on(async { (run_attempt(&pool, 1).await, run_attempt(&pool, 2).await) });
    let rejected = Outcome::Rejected { retry_after: None };
    assert_eq!(outcomes, (Outcome::Delivered, rejected));
    endpoint.join().unwrap();
}

/// A wait that is shorter than a call costs less than a connection.
#[test]
fn attempt_waits_for_a_connection_until_it_was_quiet() {
    let listener = listen();
    let quiet_time = Duration::from_millis(30);
    let pool = pool_with_quiet_time(9, quiet_time, &listener);
    let endpoint = std::thread::spawn(move || {
        let mut stream = accept(&listener);
        receive(&mut stream);
        // The call must take longer than the wait.
        std::thread::sleep(2 * quiet_time);
        stream.write_all(OK_RESPONSE).unwrap();
        let answered_at = Instant::now();
        receive(&mut stream);
        let idle = answered_at.elapsed();
        stream.write_all(OK_RESPONSE).unwrap();
        idle
    });
    let outcomes =
        async_io::block_on(async { (run_attempt(&pool, 1).await, run_attempt(&pool, 2).await) });
    assert_eq!(outcomes, (Outcome::Delivered, Outcome::Delivered));
    assert!(endpoint.join().unwrap() >= quiet_time);
    assert_eq!(pool.counters.connections_opened.get(), 1);
}

/// Bytes on a connection that was quiet show that the endpoint may send copies later than connections rest.
#[test]
fn no_connection_is_reused_after_late_unrequested_bytes_on_another() {
    let listener = listen();
    let pool = pool(9, &listener);
    let (send_copy, was_quiet) = mpsc::channel();
    let (has_copy, wait_for_copy) = async_channel::bounded(1);
    let endpoint = std::thread::spawn(move || {
        let mut streams = [accept(&listener), accept(&listener)];
        for stream in &mut streams {
            receive(stream);
        }
        for stream in &mut streams {
            stream.write_all(OK_RESPONSE).unwrap();
        }
        was_quiet.recv().unwrap();
        streams[1].write_all(OK_RESPONSE).unwrap();
        has_copy.send_blocking(()).unwrap();
        for _ in 0..2 {
            let mut stream = accept(&listener);
            receive(&mut stream);
            stream.write_all(OK_RESPONSE).unwrap();
        }
        streams.map(|mut stream| receive(&mut stream))
    });
    async_io::block_on(async {
        future::zip(run_attempt(&pool, 1), run_attempt(&pool, 2)).await;
        pool.check_quiet(ENDPOINT).await;
        send_copy.send(()).unwrap();
        wait_for_copy.recv().await.unwrap();
        pool.close_expired();
        for message in [3, 4] {
            assert_eq!(run_attempt(&pool, message).await, Outcome::Delivered);
        }
    });
    assert_eq!(endpoint.join().unwrap(), [0, 0], "bytes on the first two");
}
