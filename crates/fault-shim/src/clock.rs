//! Interposed function that reads the wall clock.

use crate::interpose::next_function;
use crate::state::wall_clock_offset_ms;
use libc::c_int;

type ClockGetTime = unsafe extern "C" fn(c_int, *mut libc::timespec) -> c_int;

/// # Safety
/// The caller meets the requirements of the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, now: *mut libc::timespec) -> c_int {
    let next = next_function!(clock_gettime: ClockGetTime);
    // SAFETY: the caller's arguments are passed on.
    let result = unsafe { next(clock, now) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = wall_clock_offset_ms();
        // SAFETY: the call succeeded, so `now` points to a valid structure.
        let now = unsafe { &mut *now };
        let nanos = now.tv_nsec + offset_ms.rem_euclid(1000) * 1_000_000;
        now.tv_sec += offset_ms.div_euclid(1000) + nanos / 1_000_000_000;
        now.tv_nsec = nanos % 1_000_000_000;
    }
    result
}
