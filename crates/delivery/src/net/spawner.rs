//! Spawning tasks on an instance's executor.

use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::{Rc, Weak};

/// Spawns tasks without owning their executor. A task that owned its executor would form a reference cycle with it, and
/// the sockets of an instance that has ended would stay open as long as the process runs.
#[derive(Clone)]
pub struct Spawner {
    executor: Weak<LocalExecutor<'static>>,
}

impl Spawner {
    /// Creates a spawner for an executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner {
            executor: Rc::downgrade(executor),
        }
    }

    /// Starts a task, which runs until it completes or the executor is dropped. Does nothing if the executor has
    /// already been dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
