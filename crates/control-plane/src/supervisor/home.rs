//! What a supervisor reads and locks in its home before it starts. A failure that may pass by itself is retried: a daemon
//! that exited instead would leave the messages of all its instances undelivered.

use super::applied_file::AppliedFile;
use super::SupervisorError;
use crate::group::Membership;
use async_channel::Receiver;
use async_io::Timer;
use marblefall_delivery::instance::InstanceCommand;
use marblefall_delivery::log_line;
use marblefall_delivery::system_error::is_transient;
use std::error::Error;
use std::fs::{File, TryLockError};
use std::io;
use std::iter;
use std::path::Path;
use std::time::Duration;

/// The file that the supervisor of a home holds locked.
const LOCK_FILE: &str = "run.lock";
/// Delay before a failed operation is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A home that this process supervises.
pub(super) struct OpenedHome {
    pub applied_file: AppliedFile,
    pub membership: Option<Membership>,
    /// Locked until it is dropped.
    pub lock: File,
}

impl OpenedHome {
    /// Opens a home; `None` if a shutdown is commanded before it can be read.
    ///
    /// # Errors
    /// The home cannot be read for a reason that does not pass by itself, or another process supervises it.
    pub async fn open(
        home: &Path,
        commands: &Receiver<InstanceCommand>,
    ) -> Result<Option<OpenedHome>, SupervisorError> {
        loop {
            let error = match OpenedHome::try_open(home) {
                Ok(opened) => return Ok(Some(opened)),
                Err(error) => error,
            };
            if !has_transient_cause(&error) {
                return Err(error);
            }
            log_line!(
                code = "home-fails",
                "{}: {error}; tried again",
                home.display()
            );
            Timer::after(RETRY_INTERVAL).await;
            if is_shut_down(commands) {
                log_line!("shut down before its home can be read");
                return Ok(None);
            }
        }
    }

    fn try_open(home: &Path) -> Result<OpenedHome, SupervisorError> {
        Ok(OpenedHome {
            applied_file: AppliedFile::preload(home)?,
            membership: Membership::read(home)?,
            lock: lock_home(home)?,
        })
    }
}

/// Locks the home: two supervisors of one home would write to each other's journals.
fn lock_home(home: &Path) -> Result<File, SupervisorError> {
    let lock = File::create(home.join(LOCK_FILE)).map_err(SupervisorError::LockFile)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::Error(error)) if is_transient(&error) => {
            Err(SupervisorError::LockFile(error))
        }
        Err(source) => Err(SupervisorError::AlreadyRunning {
            home: home.to_owned(),
            source,
        }),
    }
}

/// Whether an error was caused by one of the system that may pass by itself.
fn has_transient_cause(error: &SupervisorError) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if error.downcast_ref::<io::Error>().is_some_and(is_transient) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Whether a shutdown is commanded. Other commands concern instances, of which none runs yet.
fn is_shut_down(commands: &Receiver<InstanceCommand>) -> bool {
    iter::from_fn(|| commands.try_recv().ok())
        .any(|command| matches!(command, InstanceCommand::Shutdown { .. }))
}
