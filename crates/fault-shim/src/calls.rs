//! The calls of the C library that the shim stands before.
//!
//! Each looks whether it is struck; what is not goes to the next library's function of that name.

use crate::state::{any_in_force, is_in_folder, part, strikes, wall_clock_offset_ms};
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t};
use marblefall_fault_plan::FaultKind;

/// Faults of writes to the folder.
const DISK_FAULTS: &[FaultKind] = &[
    FaultKind::DiskFull,
    FaultKind::DiskError,
    FaultKind::TornWriteAndKill,
];

/// Sets `errno` and returns what a failed call returns.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives each thread an `errno` of its own that may be written at any time.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The next library's function of a name, as a pointer of the caller's type.
macro_rules! next_function {
    ($name:ident: $type:ty) => {{
        static NEXT: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let address = *NEXT.get_or_init(|| {
            let name = concat!(stringify!($name), "\0");
            // SAFETY: the name is a string with its end.
            unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) as usize }
        });
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

/// Whether a descriptor is an open file in the folder that fails.
fn is_file_in_folder(file: c_int) -> bool {
    if !any_in_force(DISK_FAULTS) {
        return false;
    }
    let link = format!("/proc/self/fd/{file}\0");
    let mut path = [0u8; 512];
    // SAFETY: the link's name has its end, and at most the buffer's length is written.
    let len = unsafe {
        libc::syscall(
            libc::SYS_readlinkat,
            libc::AT_FDCWD,
            link.as_ptr(),
            path.as_mut_ptr(),
            path.len(),
        )
    };
    len > 0 && is_in_folder(&path[..len as usize])
}

/// The bytes of a path.
///
/// # Safety
/// `path` is a string with its end.
unsafe fn path_bytes<'a>(path: *const c_char) -> &'a [u8] {
    // SAFETY: as the caller promises.
    unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes()
}

/// The error that strikes a change of the folder, if one does.
fn disk_error() -> Option<c_int> {
    if strikes(FaultKind::DiskFull) {
        return Some(libc::ENOSPC);
    }
    strikes(FaultKind::DiskError).then_some(libc::EIO)
}

/// Breaks a connection, as the error that is returned for it says.
fn break_connection(socket: c_int) {
    // SAFETY: takes a number; one that is no socket only fails.
    unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
}

/// What becomes of a read from a socket.
enum Transfer {
    Whole,
    OneByte,
    Failed(c_int),
}

fn receive_fault(socket: c_int) -> Transfer {
    if strikes(FaultKind::ReceiveInterrupted) {
        Transfer::Failed(libc::EINTR)
    } else if strikes(FaultKind::ReceiveTimedOut) {
        break_connection(socket);
        Transfer::Failed(libc::ETIMEDOUT)
    } else if strikes(FaultKind::ReceiveShort) {
        Transfer::OneByte
    } else {
        Transfer::Whole
    }
}

fn send_fault(socket: c_int) -> Transfer {
    if strikes(FaultKind::SendInterrupted) {
        Transfer::Failed(libc::EINTR)
    } else if strikes(FaultKind::SendUnreachable) {
        break_connection(socket);
        Transfer::Failed(libc::EHOSTUNREACH)
    } else if strikes(FaultKind::SendShort) {
        Transfer::OneByte
    } else {
        Transfer::Whole
    }
}

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// # Safety
/// As of the C library's function.
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
        if strikes(kind) {
            return fail(error);
        }
    }
    // SAFETY: the caller's arguments are passed on.
    let accepted = unsafe { next(listener, address, len, flags) };
    if accepted >= 0 && strikes(FaultKind::AcceptAborted) {
        // SAFETY: the descriptor was opened just now and nobody else knows it.
        unsafe { libc::close(accepted) };
        return fail(libc::ECONNABORTED);
    }
    accepted
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain != libc::AF_UNIX {
        if strikes(FaultKind::SocketNoFiles) {
            return fail(libc::ENFILE);
        }
        if strikes(FaultKind::SocketNoBuffers) {
            return fail(libc::ENOBUFS);
        }
    }
    let next = next_function!(socket: Socket);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(domain, kind, protocol) }
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, len: socklen_t) -> c_int {
    if strikes(FaultKind::ConnectNoAddress) {
        return fail(libc::EADDRNOTAVAIL);
    }
    if strikes(FaultKind::ConnectUnreachable) {
        return fail(libc::ENETUNREACH);
    }
    let next = next_function!(connect: Connect);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(socket, address, len) }
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// As of the C library's function.
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
        Transfer::Whole => len,
    };
    let next = next_function!(recv: Receive);
    // SAFETY: the caller's arguments are passed on, with no longer a buffer.
    unsafe { next(socket, buffer, len, flags) }
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// # Safety
/// As of the C library's function.
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
        Transfer::Whole => len,
    };
    let next = next_function!(send: Send);
    // SAFETY: the caller's arguments are passed on, with no longer a buffer.
    unsafe { next(socket, buffer, len, flags) }
}

type WriteVectored = unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    let next = next_function!(writev: WriteVectored);
    match send_fault(file) {
        Transfer::Failed(error) => return fail(error) as ssize_t,
        Transfer::OneByte if count > 0 => {
            // SAFETY: there is a first part, and one byte of it is written if it has one.
            unsafe {
                let first = *parts;
                let short = libc::iovec {
                    iov_base: first.iov_base,
                    iov_len: first.iov_len.min(1),
                };
                return next(file, &short, 1);
            }
        }
        Transfer::OneByte | Transfer::Whole => {}
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, parts, count) }
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    let next = next_function!(write: Write);
    if !is_file_in_folder(file) {
        // SAFETY: the caller's arguments are passed on.
        return unsafe { next(file, buffer, len) };
    }
    if len > 1 && strikes(FaultKind::TornWriteAndKill) {
        // SAFETY: a part of the caller's buffer is written; the process ends here.
        unsafe {
            next(file, buffer, 1 + part(FaultKind::TornWriteAndKill, len - 2));
            libc::kill(libc::getpid(), libc::SIGKILL);
        }
    }
    let Some(error) = disk_error() else {
        // SAFETY: the caller's arguments are passed on.
        return unsafe { next(file, buffer, len) };
    };
    let kind = if error == libc::ENOSPC {
        FaultKind::DiskFull
    } else {
        FaultKind::DiskError
    };
    // A part of it may be taken, and the rest not.
    let taken = part(kind, len.saturating_sub(1));
    if taken > 0 && taken.is_multiple_of(2) {
        // SAFETY: a part of the caller's buffer is written.
        return unsafe { next(file, buffer, taken) };
    }
    fail(error) as ssize_t
}

type Synchronise = unsafe extern "C" fn(c_int) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if is_file_in_folder(file) && strikes(FaultKind::DiskError) {
        return fail(libc::EIO);
    }
    let next = next_function!(fsync: Synchronise);
    // SAFETY: the caller's argument is passed on.
    unsafe { next(file) }
}

type Lock = unsafe extern "C" fn(c_int, c_int) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn flock(file: c_int, operation: c_int) -> c_int {
    if operation & libc::LOCK_UN == 0 && strikes(FaultKind::LockFails) {
        return fail(libc::ENOLCK);
    }
    let next = next_function!(flock: Lock);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, operation) }
}

type Truncate = unsafe extern "C" fn(c_int, off64_t) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(file: c_int, len: off64_t) -> c_int {
    if is_file_in_folder(file) && strikes(FaultKind::DiskError) {
        return fail(libc::EIO);
    }
    let next = next_function!(ftruncate64: Truncate);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, len) }
}

type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller's paths are strings with their ends.
    if any_in_force(DISK_FAULTS) && is_in_folder(unsafe { path_bytes(to) }) {
        if let Some(error) = disk_error() {
            return fail(error);
        }
    }
    let next = next_function!(rename: Rename);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(from, to) }
}

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller's path is a string with its end.
    let in_folder = || is_in_folder(unsafe { path_bytes(path) });
    if any_in_force(&[FaultKind::OpenNoFiles]) && in_folder() && strikes(FaultKind::OpenNoFiles) {
        return fail(libc::ENFILE);
    }
    let is_new = flags & libc::O_CREAT != 0 && any_in_force(DISK_FAULTS) && in_folder();
    if is_new {
        if let Some(error) = disk_error() {
            return fail(error);
        }
    }
    let next = next_function!(open64: Open);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(path, flags, mode) }
}

type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    count: c_int,
    timeout_ms: c_int,
) -> c_int {
    if strikes(FaultKind::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    let next = next_function!(epoll_wait: EpollWait);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(epoll, events, count, timeout_ms) }
}

type Poll = unsafe extern "C" fn(*mut libc::pollfd, libc::nfds_t, c_int) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn poll(
    files: *mut libc::pollfd,
    count: libc::nfds_t,
    timeout_ms: c_int,
) -> c_int {
    if strikes(FaultKind::WaitInterrupted) {
        return fail(libc::EINTR);
    }
    let next = next_function!(poll: Poll);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(files, count, timeout_ms) }
}

type ClockGetTime = unsafe extern "C" fn(c_int, *mut libc::timespec) -> c_int;

/// # Safety
/// As of the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, now: *mut libc::timespec) -> c_int {
    let next = next_function!(clock_gettime: ClockGetTime);
    // SAFETY: the caller's arguments are passed on.
    let result = unsafe { next(clock, now) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = wall_clock_offset_ms();
        // SAFETY: the call has just written there.
        let now = unsafe { &mut *now };
        let nanos = now.tv_nsec + offset_ms.rem_euclid(1000) * 1_000_000;
        now.tv_sec += offset_ms.div_euclid(1000) + nanos / 1_000_000_000;
        now.tv_nsec = nanos % 1_000_000_000;
    }
    result
}
