//! The lists in force, written by the scanner's thread and read by the supervisor's.

use marblefall_endpoint_lists::ActiveLists;
use std::sync::{Arc, PoisonError, RwLock};

/// A handle on them. A panic of one thread does not keep the other from them.
#[derive(Clone)]
pub(super) struct SharedLists(Arc<RwLock<ActiveLists>>);

impl SharedLists {
    pub fn new(lists: ActiveLists) -> SharedLists {
        SharedLists(Arc::new(RwLock::new(lists)))
    }

    pub fn read<T>(&self, read: impl FnOnce(&ActiveLists) -> T) -> T {
        read(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn write(&self, change: impl FnOnce(&mut ActiveLists)) {
        change(&mut self.0.write().unwrap_or_else(PoisonError::into_inner));
    }
}
