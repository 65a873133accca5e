//! Reads and locks a home before its supervisor starts. Transient errors are retried: if the daemon exited instead, the
//! messages of all its instances would stay undelivered.

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

/// Name of the file that the supervisor of a home keeps locked.
const LOCK_FILE: &str = "run.lock";
/// Delay before opening the home is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A home that this process supervises.
pub(super) struct OpenedHome {
    pub applied_file: AppliedFile,
    pub membership: Option<Membership>,
    /// The lock file. The lock is released when the file is dropped.
    pub lock: File,
}

impl OpenedHome {
    /// Opens a home and retries transient errors; `None` if a shutdown is requested before the home is open.
    ///
    /// # Errors
    /// Reading or locking the home fails with an error that is not transient, or another process supervises it.
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
            log_line!(code = "home-fails", "{}: {error}; retrying", home.display());
            Timer::after(RETRY_INTERVAL).await;
            if is_shut_down(commands) {
                log_line!("shut down before the home could be opened");
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

/// Locks the home, because two supervisors of one home would write to the same journals.
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

/// Returns whether an error was caused by a transient error of the operating system.
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

/// Returns whether a shutdown was requested. Other commands are dropped, as they concern instances and none runs yet.
fn is_shut_down(commands: &Receiver<InstanceCommand>) -> bool {
    iter::from_fn(|| commands.try_recv().ok())
        .any(|command| matches!(command, InstanceCommand::Shutdown { .. }))
}
