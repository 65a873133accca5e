//! Interposed functions on sockets.

use crate::interpose::{fail, next_function};
use crate::state::should_inject;
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use marblefall_fault_plan::FaultKind;

/// Shuts down a connection. Linux has closed the connection by the time it returns the injected errors.
fn break_connection(socket: c_int) {
    // SAFETY: the call takes only integers, and fails if the descriptor is not a socket.
    unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
}

/// Effect of the active faults on one read from or write to a socket.
enum Transfer {
    Complete,
    OneByte,
    Failed(c_int),
}

fn receive_fault(socket: c_int) -> Transfer {
    if should_inject(FaultKind::ReceiveInterrupted) {
        Transfer::Failed(libc::EINTR)
    } else if should_inject(FaultKind::ReceiveTimedOut) {
        break_connection(socket);
        Transfer::Failed(libc::ETIMEDOUT)
    } else if should_inject(FaultKind::ReceiveShort) {
        Transfer::OneByte
    } else {
        Transfer::Complete
    }
}

fn send_fault(socket: c_int) -> Transfer {
    if should_inject(FaultKind::SendInterrupted) {
        Transfer::Failed(libc::EINTR)
    } else if should_inject(FaultKind::SendUnreachable) {
        break_connection(socket);
        Transfer::Failed(libc::EHOSTUNREACH)
    } else if should_inject(FaultKind::SendShort) {
        Transfer::OneByte
    } else {
        Transfer::Complete
    }
}

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let next = next_function!(accept4: Accept4);
    for (kind, error) in [
        (FaultKind::AcceptNoFiles, libc::ENFILE),
        (FaultKind::AcceptNoBuffers, libc::ENOBUFS),
        (FaultKind::AcceptInterrupted, libc::EINTR),
    ] {
        if should_inject(kind) {
            return fail(error);
        }
    }
    // SAFETY: the caller's arguments are passed on.
    let accepted = unsafe { next(listener, address, len, flags) };
    if accepted >= 0 && should_inject(FaultKind::AcceptAborted) {
        // SAFETY: the descriptor was opened by this call and has not been returned to the caller.
        unsafe { libc::close(accepted) };
        return fail(libc::ECONNABORTED);
    }
    accepted
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain != libc::AF_UNIX {
        if should_inject(FaultKind::SocketNoFiles) {
            return fail(libc::ENFILE);
        }
        if should_inject(FaultKind::SocketNoBuffers) {
            return fail(libc::ENOBUFS);
        }
    }
    let next = next_function!(socket: Socket);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(domain, kind, protocol) }
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    if should_inject(FaultKind::ConnectNoAddress) {
        return fail(libc::EADDRNOTAVAIL);
    }
    if should_inject(FaultKind::ConnectUnreachable) {
        return fail(libc::ENETUNREACH);
    }
    let next = next_function!(connect: Connect);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(socket, address, len) }
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// The caller meets the requirements of the C library's `recv`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    len: size_t,
    flags: c_int,
) -> ssize_t {
    let len = match receive_fault(socket) {
        Transfer::Failed(error) => return fail(error) as ssize_t,
        Transfer::OneByte => len.min(1),
        Transfer::Complete => len,
    };
    let next = next_function!(recv: Receive);
    // SAFETY: the caller's arguments are passed on, and `len` is at most the length of the buffer.
    unsafe { next(socket, buffer, len, flags) }
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// The caller meets the requirements of the C library's `send`.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    len: size_t,
    flags: c_int,
) -> ssize_t {
    let len = match send_fault(socket) {
        Transfer::Failed(error) => return fail(error) as ssize_t,
        Transfer::OneByte => len.min(1),
        Transfer::Complete => len,
    };
    let next = next_function!(send: Send);
    // SAFETY: the caller's arguments are passed on, and `len` is at most the length of the buffer.
    unsafe { next(socket, buffer, len, flags) }
}

type WriteVectored = unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t;

/// # Safety
/// The caller meets the requirements of the C library's `writev`.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    let next = next_function!(writev: WriteVectored);
    match send_fault(file) {
        Transfer::Failed(error) => return fail(error) as ssize_t,
        Transfer::OneByte if count > 0 => {
            // SAFETY: `count` is positive, so the first element exists, and at most its first byte is written.
            unsafe {
                let first = *parts;
                let short = libc::iovec {
                    iov_base: first.iov_base,
                    iov_len: first.iov_len.min(1),
                };
                return next(file, &short, 1);
            }
        }
        Transfer::OneByte | Transfer::Complete => {}
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, parts, count) }
}
