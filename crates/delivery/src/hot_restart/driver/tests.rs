//! The driver of a standby beside more than one other incarnation.

use super::*;
use crate::clock::SteadyClock;
use async_executor::LocalExecutor;
use futures_lite::future;

/// Time within which the driver must report an exit.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

struct TestInstance;

impl HotRestartInstance for TestInstance {
    fn load_operator_state(&self) -> io::Result<()> {
        Ok(())
    }

    fn is_active(&self) -> bool {
        true
    }

    fn is_shutting_down(&self) -> bool {
        false
    }
}

/// Returns the generation of the next predecessor whose exit the driver reports, or `None` if it reports none in time.
async fn next_exit(events: &async_channel::Receiver<EngineEvent>) -> Option<Generation> {
    let reported = async {
        loop {
            if let Ok(EngineEvent::PredecessorExited(generation)) = events.recv().await {
                return Some(generation);
            }
        }
    };
    let timed_out = async {
        Timer::after(WAIT_LIMIT).await;
        None
    };
    future::or(reported, timed_out).await
}

/// Guards against lost messages: where a process was replaced again before its predecessor had ended, the second process
/// removed the lock file of the first, and the third never learned of that end.
#[test]
fn exit_that_another_incarnation_has_found_first_is_reported() {
    let process = std::process::id();
    let folder = std::env::temp_dir().join(format!("marblefall-driver-{process}"));
    let _ = std::fs::remove_dir_all(&folder);
    let mut first = Incarnation::claim(&folder).unwrap();
    let mut second = Incarnation::claim(&folder).unwrap();
    let third = Incarnation::claim(&folder).unwrap();
    first.mark_handed_over().unwrap();
    second.mark_handed_over().unwrap();
    let generations = (first.generation(), second.generation());
    let (sender, events) = async_channel::unbounded();
    let driver = StandbyDriver {
        incarnation: Rc::new(RefCell::new(third)),
        first_concurrent: generations.0,
        clock: Clock::start(SteadyClock::from_wall_clock()),
        instance: Rc::new(TestInstance),
        engine: sender,
    };
    let tasks = LocalExecutor::new();
    let running = tasks.spawn(driver.run());
    async_io::block_on(tasks.run(async {
        let taken_over = events.recv().await;
        assert!(matches!(taken_over, Ok(EngineEvent::TakeOver { .. })));
        drop(first);
        // The second incarnation finds the end of the first before the third polls again.
        assert_eq!(second.running_predecessors().unwrap(), []);
        second.release_exited();
        assert_eq!(next_exit(&events).await, Some(generations.0));
        drop(second);
        assert_eq!(next_exit(&events).await, Some(generations.1));
        running.await;
    }));
    let _ = std::fs::remove_dir_all(&folder);
}
