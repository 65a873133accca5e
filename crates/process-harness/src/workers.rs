//! Threads that do the same work again and again until they are stopped: the clients of a test.

use crate::{wait_for, HarnessError};
use std::panic;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Running workers, which return a value for each piece of work.
pub struct Workers<T> {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<T>>>,
}

impl<T: Send + 'static> Workers<T> {
    /// Starts workers. `new_worker` gets the number of a worker and returns its work, which gets the number of each piece;
    /// the worker pauses after each.
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

    /// How many pieces of work all workers have completed.
    pub fn completed(&self) -> usize {
        self.completed.load(Ordering::SeqCst)
    }

    /// Waits until they have completed this many more.
    ///
    /// # Errors
    /// They have not in time.
    pub fn wait_for_completions(&self, more: usize) -> Result<(), HarnessError> {
        let target = self.completed() + more;
        wait_for("the workers", || self.completed() >= target)
    }

    /// Stops them. Returns the values of all pieces of work, those of one worker in their order.
    ///
    /// # Panics
    /// If a worker has panicked.
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
