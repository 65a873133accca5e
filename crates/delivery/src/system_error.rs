//! What errors of system calls say: which pass without anybody's doing, and which are this machine's own.

use nix::libc;
use std::io;

/// Of a disk, and of a system short of something for a moment.
const TRANSIENT: &[i32] = &[
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

/// Of a machine that has no descriptor, address, memory or route for a connection.
const NO_CONNECTION_FROM_HERE: &[i32] = &[
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::EINTR,
    libc::EMFILE,
    libc::ENETUNREACH,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
];

/// Whether an error passes without anybody's doing: what failed is tried again.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(error, TRANSIENT)
}

/// Whether a connection failed for want of something on this machine: its peer is not to blame.
pub fn is_of_this_machine(error: &io::Error) -> bool {
    is_one_of(error, NO_CONNECTION_FROM_HERE)
}

fn is_one_of(error: &io::Error, numbers: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| numbers.contains(&number))
}
