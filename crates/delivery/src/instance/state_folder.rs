//! Claims the state folder, and retries while its disk fails.
//!
//! A process that exited on a transient error would leave the messages of earlier incarnations undelivered. It retries
//! instead. Meanwhile it accepts no messages, and can be shut down.

use super::admin::read_disabled;
use super::{InstanceCommand, InstanceError, ShutdownReason, StateFolder};
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

/// The mode in which an incarnation starts.
pub(super) enum StartMode {
    /// No other incarnation is running. This one is active at once, with the messages of earlier ones.
    Alone {
        /// The endpoints that operators have disabled.
        disabled_endpoints: BTreeSet<String>,
    },
    /// The incarnation is a standby beside predecessors, which may still change messages and disabled endpoints.
    Standby(RunningPredecessors),
}

/// The state that an incarnation has claimed.
pub(super) struct ClaimedState {
    pub(super) incarnation: Incarnation,
    pub(super) store: MessageStore,
    pub(super) clock: SteadyClock,
    pub(super) start_mode: StartMode,
}

/// The reason for which the folder was not claimed.
pub(super) enum ClaimInterrupt {
    /// The process was shut down while the disk still failed.
    ShutDown,
    /// The folder cannot be used.
    Failed(InstanceError),
}

/// A claim of the state folder. It queues the commands that are received until the folder is claimed.
pub(super) struct Claim<'a> {
    pub(super) folder: &'a StateFolder,
    pub(super) commands: &'a Receiver<InstanceCommand>,
    /// The queued commands. They are handled once the instance is running.
    pub(super) early_commands: Vec<InstanceCommand>,
}

impl Claim<'_> {
    /// Claims the folder.
    ///
    /// # Errors
    /// The process is shut down, or an operation fails with an error that is not transient, such as missing permissions.
    pub(super) async fn run(
        &mut self,
        class_names: &[String],
    ) -> Result<ClaimedState, ClaimInterrupt> {
        let path = &self.folder.path;
        let max_bytes = self.folder.max_bytes;
        let mut incarnation = self.retry(|| Incarnation::claim(path)).await?;
        let clock = self.retry(|| SteadyClock::open(path)).await?;
        let predecessors = self.retry(|| driver::announce(&mut incarnation)).await?;
        let generation = incarnation.generation();
        let begin = || MessageStore::begin(path, max_bytes, class_names.to_vec(), generation);
        let mut store = self.retry(begin).await?;
        let start_mode = match predecessors {
            Some(predecessors) => StartMode::Standby(predecessors),
            None => {
                self.retry(|| store.take_over(&[], None)).await?;
                let disabled_endpoints = self.retry(|| read_disabled(path)).await?;
                StartMode::Alone { disabled_endpoints }
            }
        };
        Ok(ClaimedState {
            incarnation,
            store,
            clock,
            start_mode,
        })
    }

    /// Retries an operation while it fails with transient errors.
    async fn retry<T>(
        &mut self,
        mut operation: impl FnMut() -> io::Result<T>,
    ) -> Result<T, ClaimInterrupt> {
        loop {
            let error = match operation() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            if !is_transient(&error) {
                return Err(ClaimInterrupt::Failed(InstanceError::StateFolder {
                    path: self.folder.path.clone(),
                    source: error,
                }));
            }
            log_line!(
                code = "state-folder-fails",
                "{}: {error}; retrying",
                self.folder.path.display()
            );
            Timer::after(RETRY_INTERVAL).await;
            if self.is_shut_down() {
                log_line!("shut down before the state folder was claimed");
                return Err(ClaimInterrupt::ShutDown);
            }
        }
    }

    /// Returns whether a command to shut down was received. Queues other commands. An instance that is removed must claim its
    /// folder, as it delivers the messages in it.
    fn is_shut_down(&mut self) -> bool {
        while let Ok(command) = self.commands.try_recv() {
            let ends_at_once = matches!(
                command,
                InstanceCommand::Shutdown {
                    reason: ShutdownReason::Stop | ShutdownReason::Restart,
                    ..
                }
            );
            if ends_at_once {
                return true;
            }
            self.early_commands.push(command);
        }
        false
    }
}
