//! The fault shim of a process: the fault plan that the shim reads, the environment variables that preload it, and the
//! counts that it writes.

use crate::HarnessError;
use marblefall_fault_plan::{
    Counts, Fault, FaultKind, COUNTS_VARIABLE, FOLDER_VARIABLE, PLAN_VARIABLE, SEED_VARIABLE,
};
use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable that lists the libraries for the dynamic linker to preload.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";

/// The fault shim of a process under test.
#[derive(Clone, Debug)]
pub struct FaultShim {
    /// Path of the shim library.
    library: String,
    /// Path of the plan.
    plan: String,
    /// Path of the counts.
    counts: String,
    /// The folder whose files fail.
    folder: String,
    seed: String,
}

impl FaultShim {
    /// Creates the shim of a process for which operations on files in `failing_folder` may fail. The plan and the
    /// counts are the files `NAME.plan` and `NAME.counts` in `folder`. The seed is 0.
    pub fn new(library: &Path, folder: &Path, name: &str, failing_folder: &Path) -> FaultShim {
        let to_text = |path: PathBuf| path.display().to_string();
        FaultShim {
            library: to_text(library.to_owned()),
            plan: to_text(folder.join(format!("{name}.plan"))),
            counts: to_text(folder.join(format!("{name}.counts"))),
            folder: to_text(failing_folder.to_owned()),
            seed: "0".to_owned(),
        }
    }

    /// Returns the shim with the seed of its random draws replaced.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> FaultShim {
        FaultShim {
            seed: seed.to_string(),
            ..self
        }
    }

    /// Writes the plan, which the shim reads when the process starts.
    ///
    /// # Errors
    /// The plan cannot be written.
    pub fn write_plan(&self, faults: &[Fault]) -> Result<(), HarnessError> {
        let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        fs::write(&self.plan, lines).map_err(HarnessError::io(&self.plan))
    }

    /// Returns the variables to add to the environment of the process.
    pub fn environment(&self) -> [(&'static str, &str); 5] {
        [
            (PRELOAD_VARIABLE, &self.library),
            (PLAN_VARIABLE, &self.plan),
            (COUNTS_VARIABLE, &self.counts),
            (FOLDER_VARIABLE, &self.folder),
            (SEED_VARIABLE, &self.seed),
        ]
    }

    /// Returns whether a process has read the plan. The shim creates the file of counts at the same time.
    pub fn is_loaded(&self) -> bool {
        Path::new(&self.counts).exists()
    }

    /// Returns the counts of all processes that were started with the shim.
    pub fn counts(&self) -> Counts {
        // The file does not exist before a process has started. All counts are then zero.
        Counts::read(&fs::read(&self.counts).unwrap_or_default())
    }

    /// Returns how many faults of a kind were injected.
    pub fn injected(&self, kind: FaultKind) -> u64 {
        self.counts().of(kind).injected
    }
}
