//! The plan of this process, its counts, and whether a call is struck.

use marblefall_fault_plan::{
    draw, Fault, FaultKind, COUNTS_LEN, COUNTS_VARIABLE, FOLDER_VARIABLE, PLAN_VARIABLE,
    SEED_VARIABLE,
};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Two words for each kind: calls seen, calls struck.
type Counts = [AtomicU64; FaultKind::ALL.len() * 2];

/// What the environment told.
pub(crate) struct State {
    faults: Vec<Fault>,
    seed: u64,
    /// The folder whose files fail.
    folder: Vec<u8>,
    counts: &'static Counts,
}

static STATE: OnceLock<State> = OnceLock::new();

thread_local! {
    /// Set while the plan is read: the calls that this takes are not struck.
    static READING: std::cell::Cell<bool> = const { std::cell::Cell::new(false) };
}

/// The state of the process; `None` while it is being read.
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

/// Whether a fault of this kind strikes the call at hand.
pub(crate) fn strikes(kind: FaultKind) -> bool {
    state().is_some_and(|state| state.strikes(kind))
}

/// By how many milliseconds the wall clock is off.
pub(crate) fn wall_clock_offset_ms() -> i64 {
    state().map_or(0, State::wall_clock_offset_ms)
}

/// Whether a path is in the folder whose files fail.
pub(crate) fn is_in_folder(path: &[u8]) -> bool {
    state().is_some_and(|state| !state.folder.is_empty() && path.starts_with(&state.folder))
}

/// Whether any fault of these kinds is in force: asked before anything that costs a system call.
pub(crate) fn any_in_force(kinds: &[FaultKind]) -> bool {
    state().is_some_and(|state| {
        let now_ms = monotonic_ms();
        let mut faults = state.faults.iter();
        faults.any(|fault| kinds.contains(&fault.kind) && fault.is_in_force(now_ms))
    })
}

/// A draw for a call that is struck: how much of it is done.
pub(crate) fn part(kind: FaultKind, of: usize) -> usize {
    let Some(state) = state() else { return of };
    let struck = state.counts[kind.index() * 2 + 1].load(Ordering::Relaxed);
    draw(!state.seed, kind, struck) as usize % (of + 1)
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

    fn strikes(&self, kind: FaultKind) -> bool {
        let now_ms = monotonic_ms();
        let fault = self
            .faults
            .iter()
            .find(|fault| fault.kind == kind && fault.is_in_force(now_ms));
        let Some(fault) = fault else { return false };
        let ordinal = self.counts[kind.index() * 2].fetch_add(1, Ordering::Relaxed);
        let is_struck = (draw(self.seed, kind, ordinal) % 1000) < fault.amount.max(0) as u64;
        if is_struck {
            self.counts[kind.index() * 2 + 1].fetch_add(1, Ordering::Relaxed);
        }
        is_struck
    }

    fn wall_clock_offset_ms(&self) -> i64 {
        let kind = FaultKind::WallClockStepped;
        let now_ms = monotonic_ms();
        let mut stepped = self
            .faults
            .iter()
            .filter(|fault| fault.kind == kind && fault.is_in_force(now_ms));
        let Some(fault) = stepped.next() else {
            return 0;
        };
        self.counts[kind.index() * 2].fetch_add(1, Ordering::Relaxed);
        self.counts[kind.index() * 2 + 1].fetch_add(1, Ordering::Relaxed);
        fault.amount
    }
}

/// The machine's monotonic clock, which is never struck.
pub(crate) fn monotonic_ms() -> i64 {
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the system call only writes to the structure that it is given.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * 1000 + now.tv_nsec / 1_000_000
}

/// The counts, in the file that the environment names, or in memory where it names none.
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
    // SAFETY: the path is a string with its end; the file's mapping is as long as the counts, is never unmapped, and
    // zeroed memory is a valid array of atomic words.
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
