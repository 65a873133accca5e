//! The lists in force, written by the scanner's thread and read by the supervisor's.

use marblefall_endpoint_lists::ActiveLists;
use std::sync::{Arc, PoisonError, RwLock};

/// A shared handle to the lists in force. After a panic of one thread the other one can still use them.
#[derive(Clone)]
pub(super) struct SharedLists(Arc<RwLock<ActiveLists>>);

impl SharedLists {
    /// Creates a handle to these lists.
    pub fn new(lists: ActiveLists) -> SharedLists {
        SharedLists(Arc::new(RwLock::new(lists)))
    }

    /// Calls `read` with the lists under a shared lock.
    pub fn read<T>(&self, read: impl FnOnce(&ActiveLists) -> T) -> T {
        read(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Calls `change` with the lists under an exclusive lock.
    pub fn write(&self, change: impl FnOnce(&mut ActiveLists)) {
        change(&mut self.0.write().unwrap_or_else(PoisonError::into_inner));
    }
}
