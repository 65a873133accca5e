//! Interposed functions on files.

use crate::interpose::{fail, next_function};
use crate::state::{any_active, draw_up_to, is_in_failing_folder, should_inject};
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};
use marblefall_fault_plan::FaultKind;

/// Faults of calls that modify files in the folder.
const DISK_FAULTS: &[FaultKind] = &[
    FaultKind::DiskFull,
    FaultKind::DiskError,
    FaultKind::TornWriteAndKill,
];

/// Returns whether a disk fault is active and a descriptor refers to a file in the folder to which faults are limited.
fn is_file_in_failing_folder(file: c_int) -> bool {
    if !any_active(DISK_FAULTS) {
        return false;
    }
    let link = format!("/proc/self/fd/{file}\0");
    let mut path = [0u8; 512];
    // SAFETY: the path of the link ends with a zero byte, and at most the length of the buffer is written.
    let len = unsafe {
        libc::syscall(
            libc::SYS_readlinkat,
            libc::AT_FDCWD,
            link.as_ptr(),
            path.as_mut_ptr(),
            path.len(),
        )
    };
    len > 0 && is_in_failing_folder(&path[..len as usize])
}

/// Returns the bytes of a path, without the zero byte at its end.
///
/// # Safety
/// `path` points to a string that ends with a zero byte and outlives the returned slice.
unsafe fn path_bytes<'a>(path: *const c_char) -> &'a [u8] {
    // SAFETY: the caller guarantees that the path ends with a zero byte.
    unsafe { std::ffi::CStr::from_ptr(path) }.to_bytes()
}

/// Returns the error number to inject into a call that modifies the folder, if any.
fn disk_error() -> Option<c_int> {
    if should_inject(FaultKind::DiskFull) {
        return Some(libc::ENOSPC);
    }
    should_inject(FaultKind::DiskError).then_some(libc::EIO)
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;

/// # Safety
/// The caller meets the requirements of the C library's `write`.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, len: size_t) -> ssize_t {
    let next = next_function!(write: Write);
    if !is_file_in_failing_folder(file) {
        // SAFETY: the caller's arguments are passed on.
        return unsafe { next(file, buffer, len) };
    }
    if len > 1 && should_inject(FaultKind::TornWriteAndKill) {
        // SAFETY: only a part of the caller's buffer is written, and the signal ends the process.
        unsafe {
            next(
                file,
                buffer,
                1 + draw_up_to(FaultKind::TornWriteAndKill, len - 2),
            );
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
    // Some of the failing writes store a part of the buffer and return its length, as a full disk does.
    let written = draw_up_to(kind, len.saturating_sub(1));
    if written > 0 && written.is_multiple_of(2) {
        // SAFETY: only a part of the caller's buffer is written.
        return unsafe { next(file, buffer, written) };
    }
    fail(error) as ssize_t
}

type Fsync = unsafe extern "C" fn(c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `fsync`.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if is_file_in_failing_folder(file) && should_inject(FaultKind::DiskError) {
        return fail(libc::EIO);
    }
    let next = next_function!(fsync: Fsync);
    // SAFETY: the caller's argument is passed on.
    unsafe { next(file) }
}

type Lock = unsafe extern "C" fn(c_int, c_int) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `flock`.
#[no_mangle]
pub unsafe extern "C" fn flock(file: c_int, operation: c_int) -> c_int {
    if operation & libc::LOCK_UN == 0 && should_inject(FaultKind::LockFails) {
        return fail(libc::ENOLCK);
    }
    let next = next_function!(flock: Lock);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, operation) }
}

type Truncate = unsafe extern "C" fn(c_int, off64_t) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `ftruncate64`.
#[no_mangle]
pub unsafe extern "C" fn ftruncate64(file: c_int, len: off64_t) -> c_int {
    if is_file_in_failing_folder(file) && should_inject(FaultKind::DiskError) {
        return fail(libc::EIO);
    }
    let next = next_function!(ftruncate64: Truncate);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(file, len) }
}

type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `rename`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller's paths end with zero bytes.
    if any_active(DISK_FAULTS) && is_in_failing_folder(unsafe { path_bytes(to) }) {
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
/// The caller meets the requirements of the C library's `open64`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller's path ends with a zero byte.
    let in_folder = || is_in_failing_folder(unsafe { path_bytes(path) });
    if any_active(&[FaultKind::OpenNoFiles]) && in_folder() && should_inject(FaultKind::OpenNoFiles)
    {
        return fail(libc::ENFILE);
    }
    let is_new = flags & libc::O_CREAT != 0 && any_active(DISK_FAULTS) && in_folder();
    if is_new {
        if let Some(error) = disk_error() {
            return fail(error);
        }
    }
    let next = next_function!(open64: Open);
    // SAFETY: the caller's arguments are passed on.
    unsafe { next(path, flags, mode) }
}
