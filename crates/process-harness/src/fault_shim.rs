//! The fault shim of one process: the plan that it reads, the environment that preloads it, and the counts that it
//! writes.

use crate::HarnessError;
use marblefall_fault_plan::{
    Counts, Fault, FaultKind, COUNTS_VARIABLE, FOLDER_VARIABLE, PLAN_VARIABLE, SEED_VARIABLE,
};
use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable of the dynamic linker that names libraries to preload.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";

/// The fault shim of one process.
#[derive(Clone, Debug)]
pub struct FaultShim {
    /// The library to preload.
    library: String,
    plan: String,
    counts: String,
    /// The folder whose files fail.
    folder: String,
    seed: String,
}

impl FaultShim {
    /// Sets up the shim of a process whose files in `failing_folder` may fail. Its plan and counts are files in
    /// `folder` with the name `name`.
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

    /// The same with another seed of its random draws.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> FaultShim {
        FaultShim {
            seed: seed.to_string(),
            ..self
        }
    }

    /// Writes the plan, which a process reads as it starts.
    ///
    /// # Errors
    /// The plan cannot be written.
    pub fn write_plan(&self, faults: &[Fault]) -> Result<(), HarnessError> {
        let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
        fs::write(&self.plan, lines).map_err(HarnessError::io(&self.plan))
    }

    /// The variables to add to the process's environment.
    pub fn environment(&self) -> [(&'static str, &str); 5] {
        [
            (PRELOAD_VARIABLE, &self.library),
            (PLAN_VARIABLE, &self.plan),
            (COUNTS_VARIABLE, &self.counts),
            (FOLDER_VARIABLE, &self.folder),
            (SEED_VARIABLE, &self.seed),
        ]
    }

    /// Whether a process has read the plan.
    pub fn is_loaded(&self) -> bool {
        Path::new(&self.counts).exists()
    }

    /// The counts of all processes that were started with it.
    pub fn counts(&self) -> Counts {
        // Before a process has started there is no file, and nothing was counted.
        Counts::read(&fs::read(&self.counts).unwrap_or_default())
    }

    /// How often a kind of fault was injected.
    pub fn injected(&self, kind: FaultKind) -> u64 {
        self.counts().of(kind).injected
    }
}
