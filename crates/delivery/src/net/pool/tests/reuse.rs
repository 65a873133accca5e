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
