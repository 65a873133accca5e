//! System calls that a signal interrupts.
//!
//! A read from a socket with a timeout ends with EINTR where a signal arrives that is neither handled nor ignored at that
//! moment, which the start and the end of child processes of the same program can cause. The connection is intact.

use std::io;

/// Repeats an operation until it is not interrupted.
///
/// # Errors
/// The operation's own, but for [`io::ErrorKind::Interrupted`].
pub fn uninterrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
