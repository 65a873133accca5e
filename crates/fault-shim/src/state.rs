//! The plan and the counts of this process, which determine the calls that fail.

use marblefall_fault_plan::{
    draw, Fault, FaultKind, COUNTS_LEN, COUNTS_VARIABLE, EVERY_CALL, FOLDER_VARIABLE,
    PLAN_VARIABLE, SEED_VARIABLE,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Two counters for each kind of fault: seen calls and injected faults.
type Counts = [AtomicU64; FaultKind::ALL.len() * 2];

/// The plan of this process, read from the environment, and its counts.
pub(crate) struct State {
    faults: Vec<Fault>,
    seed: u64,
    /// Path of the folder to which faults of file operations are limited; empty if the environment names none.
    folder: Vec<u8>,
    counts: &'static Counts,
}

static STATE: OnceLock<State> = OnceLock::new();

thread_local! {
    /// Whether this thread is reading the plan. No fault is injected into the system calls that read it.
    static READING: std::cell::Cell<bool> = const { std::cell::Cell::new(false) };
}

/// Returns the state of the process, or `None` to the thread that is reading it.
fn state() -> Option<&'static State> {
    if let Some(state) = STATE.get() {
        return Some(state);
    }
    let is_reading = READING.try_with(|reading| reading.replace(true));
    if is_reading != Ok(false) {
        return None;
    }
    let state = STATE.get_or_init(State::read);
    let _ = READING.try_with(|reading| reading.set(false));
    Some(state)
}

/// Returns whether to inject a fault of this kind into the current call, and updates the counts of the kind.
pub(crate) fn should_inject(kind: FaultKind) -> bool {
    state().is_some_and(|state| state.should_inject(kind))
}

/// Returns the offset of the wall clock, in milliseconds.
pub(crate) fn wall_clock_offset_ms() -> i64 {
    state().map_or(0, State::wall_clock_offset_ms)
}

/// Returns whether a path is in the folder to which faults of file operations are limited.
pub(crate) fn is_in_failing_folder(path: &[u8]) -> bool {
    state().is_some_and(|state| !state.folder.is_empty() && path.starts_with(&state.folder))
}

/// Returns whether any fault of these kinds is active. Callers check this first, to save the system calls of costlier
/// checks.
pub(crate) fn any_active(kinds: &[FaultKind]) -> bool {
    state().is_some_and(|state| {
        let now_ms = monotonic_ms();
        let mut faults = state.faults.iter();
        faults.any(|fault| kinds.contains(&fault.kind) && fault.is_active(now_ms))
    })
}

/// Draws the number of bytes, at most `limit`, that a write transfers before its injected fault.
pub(crate) fn draw_up_to(kind: FaultKind, limit: usize) -> usize {
    let Some(state) = state() else { return limit };
    let injected = state.injected(kind).load(Ordering::Relaxed);
    draw(!state.seed, kind, injected) as usize % (limit + 1)
}

impl State {
    fn read() -> State {
        let text = std::env::var(PLAN_VARIABLE)
            .ok()
            .and_then(|path| std::fs::read_to_string(path).ok())
            .unwrap_or_default();
        let seed = std::env::var(SEED_VARIABLE)
            .ok()
            .and_then(|seed| seed.parse().ok())
            .unwrap_or(0);
        let folder = std::env::var(FOLDER_VARIABLE).unwrap_or_default();
        State {
            faults: text.lines().filter_map(|line| line.parse().ok()).collect(),
            seed,
            folder: folder.into_bytes(),
            counts: open_counts(),
        }
    }

    /// Returns the counter of calls that were made while a kind of fault was active.
    fn seen(&self, kind: FaultKind) -> &AtomicU64 {
        &self.counts[kind.index() * 2]
    }

    /// Returns the counter of calls that a kind of fault was injected into.
    fn injected(&self, kind: FaultKind) -> &AtomicU64 {
        &self.counts[kind.index() * 2 + 1]
    }

    fn should_inject(&self, kind: FaultKind) -> bool {
        let now_ms = monotonic_ms();
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind == kind && fault.is_active(now_ms));
        let Some(fault) = fault else { return false };
        let ordinal = self.seen(kind).fetch_add(1, Ordering::Relaxed);
        let share = fault.amount.max(0) as u64;
        let is_injected = draw(self.seed, kind, ordinal) % (EVERY_CALL as u64) < share;
        if is_injected {
            self.injected(kind).fetch_add(1, Ordering::Relaxed);
        }
        is_injected
    }

    fn wall_clock_offset_ms(&self) -> i64 {
        let kind = FaultKind::WallClockStepped;
        let now_ms = monotonic_ms();
        let mut stepped = self
            .faults
            .iter()
            .filter(|fault| fault.kind == kind && fault.is_active(now_ms));
        let Some(fault) = stepped.next() else {
            return 0;
        };
        self.seen(kind).fetch_add(1, Ordering::Relaxed);
        self.injected(kind).fetch_add(1, Ordering::Relaxed);
        fault.amount
    }
}

/// Reads the machine's monotonic clock, in milliseconds, by a system call that the shim does not intercept.
pub(crate) fn monotonic_ms() -> i64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the system call only writes to the structure that is passed to it.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * 1000 + now.tv_nsec / 1_000_000
}

/// Returns the counts in the file that the environment names, or in memory if there is none or it cannot be mapped.
fn open_counts() -> &'static Counts {
    let mapped = std::env::var(COUNTS_VARIABLE).ok().and_then(map_counts);
    mapped.unwrap_or_else(|| {
        Box::leak(Box::new(
            [const { AtomicU64::new(0) }; FaultKind::ALL.len() * 2],
        ))
    })
}

fn map_counts(path: String) -> Option<&'static Counts> {
    let path = std::ffi::CString::new(path).ok()?;
    // SAFETY: the path ends with a zero byte. The mapping is as long as the counts and is never unmapped. Any bytes of the
    // file are a valid array of atomic integers.
    unsafe {
        let file = libc::syscall(
            libc::SYS_openat,
            libc::AT_FDCWD,
            path.as_ptr(),
            libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC,
            0o644,
        ) as i32;
        if file < 0 || libc::syscall(libc::SYS_ftruncate, file, COUNTS_LEN) < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let address = libc::mmap(
            std::ptr::null_mut(),
            COUNTS_LEN,
            access,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::syscall(libc::SYS_close, file);
        (address != libc::MAP_FAILED).then(|| &*address.cast::<Counts>())
    }
}
