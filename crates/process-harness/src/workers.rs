//! Threads that repeat the same work until they are stopped, such as the clients of a test.

use crate::{wait_for, HarnessError};
use std::panic;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A set of running workers. Each call of a worker's function returns one result.
pub struct Workers<T> {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<T>>>,
}

impl<T: Send + 'static> Workers<T> {
    /// Starts `count` workers. `new_worker` receives the number of a worker and returns its function, which is called with
    /// 0, 1, 2 and so on. The worker pauses after each call.
    pub fn start<W>(count: usize, pause: Duration, new_worker: impl Fn(usize) -> W) -> Workers<T>
    where
        W: FnMut(usize) -> T + Send + 'static,
    {
        let stop = Arc::<AtomicBool>::default();
        let completed = Arc::<AtomicUsize>::default();
        let start_worker = |worker: usize| {
            let (stop, completed) = (Arc::clone(&stop), Arc::clone(&completed));
            let mut run = new_worker(worker);
            thread::spawn(move || {
                let mut results = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    results.push(run(results.len()));
                    completed.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(pause);
                }
                results
            })
        };
        let threads = (0..count).map(start_worker).collect();
        Workers {
            stop,
            completed,
            threads,
        }
    }

    /// Returns the number of completed calls of all workers.
    pub fn completed(&self) -> usize {
        self.completed.load(Ordering::SeqCst)
    }

    /// Waits until the workers have completed `more` additional calls in total.
    ///
    /// # Errors
    /// The calls are not completed within [`WAIT_LIMIT`](crate::WAIT_LIMIT).
    pub fn wait_for_completions(&self, more: usize) -> Result<(), HarnessError> {
        let target = self.completed() + more;
        wait_for("more results of the workers", || self.completed() >= target)
    }

    /// Stops the workers and returns all results; those of the same worker are in order.
    ///
    /// # Panics
    /// Panics if a worker has panicked.
    pub fn stop(self) -> Vec<T> {
        self.stop.store(true, Ordering::SeqCst);
        let results = self.threads.into_iter().flat_map(|thread| {
            thread
                .join()
                .unwrap_or_else(|payload| panic::resume_unwind(payload))
        });
        results.collect()
    }
}
