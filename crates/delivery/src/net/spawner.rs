//! Spawning tasks on an instance's executor.

use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::{Rc, Weak};

/// Spawns tasks without keeping their executor alive. Tasks that owned their executor would form a cycle with it, and the
/// sockets of an instance that has ended would stay open as long as the process runs.
#[derive(Clone)]
pub struct Spawner {
    executor: Weak<LocalExecutor<'static>>,
}

impl Spawner {
    /// A spawner for an executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner {
            executor: Rc::downgrade(executor),
        }
    }

    /// Starts a task, which runs until it completes or the executor is dropped. Does nothing once that has been dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
