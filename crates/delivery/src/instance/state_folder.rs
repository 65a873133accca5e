//! Claims the state folder, and retries for as long as its disk fails.
//!
//! A process that exited on a transient error would leave the messages of earlier incarnations undelivered. It retries
//! instead, accepts nothing meanwhile, and can be shut down.

use super::admin::read_disabled;
use super::{InstanceCommand, InstanceError, StateFolder};
use crate::clock::SteadyClock;
use crate::core::message_store::MessageStore;
use crate::hot_restart::driver::{self, RunningPredecessors};
use crate::hot_restart::incarnation::Incarnation;
use crate::log_line;
use crate::system_error::is_transient;
use async_channel::Receiver;
use async_io::Timer;
use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

/// Delay before a failed operation is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The state that an incarnation has claimed.
pub(super) struct ClaimedState {
    pub(super) incarnation: Incarnation,
    pub(super) predecessors: Option<RunningPredecessors>,
    /// The store with the messages of earlier incarnations, unless some of them are running.
    pub(super) store: MessageStore,
    pub(super) clock: SteadyClock,
    /// The endpoints that operators have disabled. Empty while earlier incarnations are running, as they may change them.
    pub(super) disabled_endpoints: BTreeSet<String>,
}

/// Claims the folder, and queues the commands that are received meanwhile.
pub(super) struct Claim<'a> {
    pub(super) folder: &'a StateFolder,
    pub(super) commands: &'a Receiver<InstanceCommand>,
    /// The queued commands, to be handled once the instance is running.
    pub(super) early_commands: Vec<InstanceCommand>,
}

impl Claim<'_> {
    /// Claims the folder; `None` if the process is shut down before the disk works.
    ///
    /// # Errors
    /// An error that is not transient, such as missing permissions.
    pub(super) async fn run(
        &mut self,
        class_names: &[String],
    ) -> Result<Option<ClaimedState>, InstanceError> {
        let path = &self.folder.path;
        let Some(mut incarnation) = self.retry(|| Incarnation::claim(path)).await? else {
            return Ok(None);
        };
        let Some(clock) = self.retry(|| SteadyClock::open(path)).await? else {
            return Ok(None);
        };
        let announced = self.retry(|| driver::announce(&mut incarnation)).await?;
        let Some(predecessors) = announced else {
            return Ok(None);
        };
        let generation = incarnation.generation();
        let max_bytes = self.folder.max_bytes;
        let begin = || MessageStore::begin(path, max_bytes, class_names.to_vec(), generation);
        let Some(mut store) = self.retry(begin).await? else {
            return Ok(None);
        };
        let mut disabled_endpoints = BTreeSet::new();
        if predecessors.is_none() {
            let Some(disabled) = self.take_over(&mut store).await? else {
                return Ok(None);
            };
            disabled_endpoints = disabled;
        }
        Ok(Some(ClaimedState {
            incarnation,
            predecessors,
            store,
            clock,
            disabled_endpoints,
        }))
    }

    /// Recovers the messages of earlier incarnations, none of which is running; returns the disabled endpoints.
    async fn take_over(
        &mut self,
        store: &mut MessageStore,
    ) -> Result<Option<BTreeSet<String>>, InstanceError> {
        let recovered = self.retry(|| store.take_over(&[], None)).await?;
        if recovered.is_none() {
            return Ok(None);
        }
        let path = &self.folder.path;
        self.retry(|| read_disabled(path)).await
    }

    /// Retries an operation until it succeeds; `None` if the process is shut down first.
    async fn retry<T>(
        &mut self,
        mut attempt: impl FnMut() -> io::Result<T>,
    ) -> Result<Option<T>, InstanceError> {
        loop {
            let error = match attempt() {
                Ok(done) => return Ok(Some(done)),
                Err(error) => error,
            };
            if !is_transient(&error) {
                return Err(InstanceError::StateFolder {
                    path: self.folder.path.clone(),
                    source: error,
                });
            }
            log_line!(
                code = "state-folder-fails",
                "{}: {error}; tried again",
                self.folder.path.display()
            );
            Timer::after(RETRY_INTERVAL).await;
            if self.is_shut_down() {
                log_line!("shut down before its state folder works");
                return Ok(None);
            }
        }
    }

    /// Whether the process is shut down. Other commands are queued.
    fn is_shut_down(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            if matches!(command, InstanceCommand::Shutdown { .. }) {
                return true;
            }
            self.early_commands.push(command);
        }
        false
    }
}
