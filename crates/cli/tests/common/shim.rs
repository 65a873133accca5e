//! The fault shim for processes under test: built once, preloaded with a plan, its counts read at the end.

use super::{text, Folder};
use marblefall_fault_plan::{
    read_counts, Count, Fault, FaultKind, COUNTS_VARIABLE, FOLDER_VARIABLE, PLAN_VARIABLE,
    SEED_VARIABLE,
};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::Duration;

/// Every call is struck.
pub const ALWAYS: i64 = 1000;
/// An hour, by which the wall clock is stepped.
pub const HOUR_MS: i64 = 3_600_000;

/// The library, which `cargo` builds if it is not there yet.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let target = Path::new(env!("CARGO_BIN_EXE_marblefall"))
            .ancestors()
            .nth(2)
            .unwrap()
            .to_owned();
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "-p", "marblefall-fault-shim"])
            .arg("--target-dir")
            .arg(&target)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status()
            .unwrap();
        assert!(built.success(), "the fault shim is not built");
        target.join("debug/libmarblefall_fault_shim.so")
    })
}

/// The machine's monotonic clock in milliseconds, by which plans count.
pub fn monotonic_ms() -> i64 {
    marblefall_simulation::rig::micros() / 1000
}

/// A fault whose time counts from now on, with the library built before: on a clean checkout that takes longer than
/// most faults last.
pub fn fault(kind: FaultKind, after: Duration, lasts: Duration, amount: i64) -> Fault {
    library();
    let from_ms = monotonic_ms() + after.as_millis() as i64;
    Fault {
        kind,
        from_ms,
        until_ms: from_ms + lasts.as_millis() as i64,
        amount,
    }
}

/// The shim of one process.
pub struct Shim {
    plan: PathBuf,
    counts: PathBuf,
    folder: PathBuf,
}

impl Shim {
    /// A shim with a plan, for a process whose state is in `state`.
    pub fn new(folder: &Folder, name: &str, state: &Path, faults: &[Fault]) -> Shim {
        library();
        let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        Shim {
            plan: folder.file(&format!("{name}.plan"), &lines),
            counts: folder.0.join(format!("{name}.counts")),
            folder: state.to_owned(),
        }
    }

    /// The variables of the process's environment.
    pub fn env(&self) -> [(&'static str, &str); 5] {
        [
            ("LD_PRELOAD", text(library())),
            (PLAN_VARIABLE, text(&self.plan)),
            (COUNTS_VARIABLE, text(&self.counts)),
            (FOLDER_VARIABLE, text(&self.folder)),
            (SEED_VARIABLE, "7"),
        ]
    }

    /// Whether the process has read its plan.
    pub fn exists(&self) -> bool {
        self.counts.exists()
    }

    /// How often a fault struck.
    pub fn struck(&self, kind: FaultKind) -> u64 {
        let bytes = std::fs::read(&self.counts).unwrap();
        let counts = read_counts(&bytes);
        let (_, Count { injected, .. }) = counts[kind.index()];
        injected
    }
}
