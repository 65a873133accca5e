//! Spawning tasks on an instance's executor.

use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::{Rc, Weak};

/// Spawns tasks without keeping their executor alive: tasks that held it would hold each other, and sockets of an
/// instance that ended would stay open for as long as the process runs.
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

    /// Starts a task, which the executor owns: it runs until it ends or the executor is dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
