//! Claiming the state folder, however long its disk fails.
//!
//! A process that gave up because its disk was full for a moment would leave what an earlier one accepted. It waits
//! instead, accepts nothing meanwhile, and ends if it is told to.

use super::{InstanceCommand, InstanceError, StateFolder};
use crate::clock::SteadyClock;
use crate::core::message_store::MessageStore;
use crate::hot_restart::driver::{self, RunningPredecessors};
use crate::hot_restart::incarnation::Incarnation;
use crate::log_line;
use async_channel::Receiver;
use async_io::Timer;
use nix::libc;
use std::io;
use std::time::Duration;

/// How often a disk that fails is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Errors that pass without anybody's doing: of a disk, and of a system short of something for a moment.
const PASSING_ERRORS: &[i32] = &[
    libc::ENOSPC,
    libc::EDQUOT,
    libc::EIO,
    libc::EINTR,
    libc::EAGAIN,
    libc::ENFILE,
    libc::EMFILE,
    libc::ENOMEM,
    libc::ENOBUFS,
    libc::ENOLCK,
];

/// What an incarnation owns of the state folder.
pub(super) struct ClaimedState {
    pub(super) incarnation: Incarnation,
    pub(super) predecessors: Option<RunningPredecessors>,
    pub(super) store: MessageStore,
    pub(super) clock: SteadyClock,
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
        let Some(store) = self.retry(begin).await? else {
            return Ok(None);
        };
        Ok(Some(ClaimedState {
            incarnation,
            predecessors,
            store,
            clock,
        }))
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
            if !passes_by_itself(&error) {
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

/// Whether an error is one that passes without anybody's doing.
pub(super) fn passes_by_itself(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| PASSING_ERRORS.contains(&number))
}
