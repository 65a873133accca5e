use super::*;
use crate::hot_restart::driver;
use crate::hot_restart::incarnation::Incarnation;

/// A process that was suspended and resumes after another process has taken over must not send the attempts that it had
/// started. Otherwise a message would have two attempts in flight.
#[test]
fn started_attempt_is_not_sent_once_fenced() {
    let folder = std::env::temp_dir().join(format!("marblefall-pool-fence-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let incarnation = RefCell::new(Incarnation::claim(&folder).unwrap());
    let listener = listen();
    let pool = pool(9, &listener);
    let endpoint_listener = listener.try_clone().unwrap();
    let endpoint = std::thread::spawn(move || {
        let mut stream = accept(&endpoint_listener);
        receive(&mut stream);
        send(&mut stream, OK_RESPONSE);
        receive(&mut stream)
    });
    let encode = |_| post(b"");
    let permit = || driver::may_start_attempt(&incarnation).then(LeasePermit::unconditional);
    let run = |message| {
        pool.run_attempt(Attempt {
            message_id: MessageId(message),
            endpoint: ENDPOINT,
            route: SHARED_ROUTE,
            timeout_at: test_deadline(),
            write_by: test_deadline(),
            encode: &encode,
            classify_response: platform::classify_response,
            permit: &permit,
        })
    };
    async_io::block_on(async {
        assert_eq!(run(1).await.outcome, Outcome::Delivered);
        let successor = Incarnation::claim(&folder).unwrap();
        let generation = incarnation.borrow().generation();
        let reusing = run(2);
        successor.fence(generation).unwrap();
        assert_eq!(
            reusing.await.outcome,
            Outcome::NotSent,
            "over a reused connection"
        );
        pool.close_idle(ENDPOINT);
        assert_eq!(
            run(3).await.outcome,
            Outcome::NotSent,
            "over a new connection"
        );
    });
    drop(pool);
    assert_eq!(endpoint.join().unwrap(), 0, "bytes after the fence");
    let _ = std::fs::remove_dir_all(&folder);
}
