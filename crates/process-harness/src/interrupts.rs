//! Retries of system calls that a signal interrupts.
//!
//! A read from a socket with a timeout fails with EINTR when a signal arrives that is neither handled nor ignored at that
//! moment. The start and the end of child processes of the same program can cause such signals. The connection itself
//! is intact.

use std::io;

/// Runs an operation again for as long as it fails with [`io::ErrorKind::Interrupted`].
///
/// # Errors
/// Any other error of the operation.
pub fn uninterrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
