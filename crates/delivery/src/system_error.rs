//! Classification of system call errors: transient errors, and errors caused by a lack of resources on this machine.

use nix::libc;
use std::io;

/// Errors of a disk, and of a system that temporarily lacks a resource.
const TRANSIENT_ERRORS: &[i32] = &[
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

/// Errors of a machine that lacks a descriptor, address, memory or route for a connection.
const LOCAL_RESOURCE_ERRORS: &[i32] = &[
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::EINTR,
    libc::EMFILE,
    libc::ENETUNREACH,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Returns whether an error may resolve itself, so that the call should be retried.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, TRANSIENT_ERRORS)
}

/// Returns whether a connection failed because this machine lacks a resource, rather than because of its peer.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    is_one_of(error, LOCAL_RESOURCE_ERRORS)
}

fn is_one_of(error: &io::Error, numbers: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| numbers.contains(&number))
}
