//! The fault shim for processes under test, a preloaded library that is built once and injects faults by a plan.

use super::{monotonic_ms, program_path};
use marblefall_fault_plan::{Fault, FaultKind};
use marblefall_process_harness::fault_shim::FaultShim;
use marblefall_process_harness::TemporaryFolder;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// The step of the wall clock in tests: an hour in milliseconds.
pub const HOUR_MS: i64 = 3_600_000;
/// The delay of a fault that is active at once.
pub const NO_DELAY: Duration = Duration::ZERO;
/// The duration of a fault that outlasts any test.
pub const UNTIL_TEST_END: Duration = Duration::from_secs(3600);
/// The amount of a fault that is injected into half of all calls, in thousandths.
pub const HALF_OF_CALLS: i64 = 500;
/// The seed of the shim's random numbers.
const SEED: u64 = 7;

/// Returns the path of the library, which `cargo` builds if necessary.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let target = program_path().ancestors().nth(2).unwrap();
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "-p", "marblefall-fault-shim"])
            .arg("--target-dir")
            .arg(target)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status()
            .unwrap();
        assert!(built.success(), "the fault shim is not built");
        target.join("debug/libmarblefall_fault_shim.so")
    })
}

/// Returns a fault that becomes active after a delay from now. The library is built first, as on a clean checkout that takes
/// longer than most faults last.
pub fn fault(kind: FaultKind, delay: Duration, duration: Duration, amount: i64) -> Fault {
    library();
    let from_ms = monotonic_ms() + delay.as_millis() as i64;
    Fault {
        kind,
        from_ms,
        until_ms: from_ms + duration.as_millis() as i64,
        amount,
    }
}

/// Returns a shim with a plan. File faults are injected only in `failing_folder`.
pub fn new_shim(folder: &TemporaryFolder, failing_folder: &Path, faults: &[Fault]) -> FaultShim {
    let shim = FaultShim::new(library(), folder.path(), "shim", failing_folder).with_seed(SEED);
    shim.write_plan(faults).unwrap();
    shim
}
