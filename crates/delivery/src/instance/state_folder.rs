//! Claiming the state folder, however long its disk fails.
//!
//! A process that gave up because its disk was full for a moment would leave what an earlier one accepted. It waits
//! instead, accepts nothing meanwhile, and ends if it is told to.

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

/// How often a disk that fails is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What an incarnation owns of the state folder.
pub(super) struct ClaimedState {
    pub(super) incarnation: Incarnation,
    pub(super) predecessors: Option<RunningPredecessors>,
    /// With what earlier incarnations left, unless some of them are running.
    pub(super) store: MessageStore,
    pub(super) clock: SteadyClock,
    /// Endpoints that operators have disabled, unless earlier incarnations are running, which may still change them.
    pub(super) disabled_endpoints: BTreeSet<String>,
}

/// Claims the folder, and keeps the commands that come meanwhile.
pub(super) struct Claim<'a> {
    pub(super) folder: &'a StateFolder,
    pub(super) commands: &'a Receiver<InstanceCommand>,
    /// Commands that came, to be handled once the instance runs.
    pub(super) early_commands: Vec<InstanceCommand>,
}

impl Claim<'_> {
    /// Claims the folder; `None` if the process is to end before the disk works.
    ///
    /// # Errors
    /// One that does not pass by itself: the folder is no folder, or belongs to somebody else.
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

    /// Takes over what earlier incarnations left, none of which is running; returns the endpoints that are disabled.
    async fn take_over(
        &mut self,
        store: &mut MessageStore,
    ) -> Result<Option<BTreeSet<String>>, InstanceError> {
        let taken_over = self.retry(|| store.take_over(&[], None)).await?;
        if taken_over.is_none() {
            return Ok(None);
        }
        let path = &self.folder.path;
        self.retry(|| read_disabled(path)).await
    }

    /// Tries until it succeeds; `None` if the process is to end first.
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
            if self.is_to_end() {
                log_line!("ends before its state folder works");
                return Ok(None);
            }
        }
    }

    fn is_to_end(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            if matches!(command, InstanceCommand::Shutdown { .. }) {
                return true;
            }
            self.early_commands.push(command);
        }
        false
    }
}
