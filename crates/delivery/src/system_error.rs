//! Classes of errors of system calls: transient ones, and those caused by a shortage on this machine.

use nix::libc;
use std::io;

/// Errors of a disk, and of a system that lacks a resource for the moment.
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

/// Errors of a machine that has no descriptor, address, memory or route for a connection.
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

/// Whether an error may pass by itself, so that the call is to be retried.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, TRANSIENT_ERRORS)
}

/// Whether a connection failed because this machine lacks a resource, and not because of its peer.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    is_one_of(error, LOCAL_RESOURCE_ERRORS)
}

fn is_one_of(error: &io::Error, numbers: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| numbers.contains(&number))
}
