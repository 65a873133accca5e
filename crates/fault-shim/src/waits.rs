//! Interposed functions that wait for events.

use crate::interpose::{fail, next_function};
use crate::state::should_inject;
use libc::c_int;
use marblefall_fault_plan::FaultKind;

type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    count: c_int,
    timeout_ms: c_int,
) -> c_int {
    if should_inject(FaultKind::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    let next = next_function!(epoll_wait: EpollWait);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(epoll, events, count, timeout_ms) }
}

type Poll = unsafe extern "C" fn(*mut libc::pollfd, libc::nfds_t, c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `poll`.
#[no_mangle]
pub unsafe extern "C" fn poll(
    files: *mut libc::pollfd,
    count: libc::nfds_t,
    timeout_ms: c_int,
) -> c_int {
    if should_inject(FaultKind::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    let next = next_function!(poll: Poll);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(files, count, timeout_ms) }
}
