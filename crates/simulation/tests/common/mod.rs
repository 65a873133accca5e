//! Helpers shared by the tests of this package: the shipped scenarios and temporary folders.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs;
use std::path::{Path, PathBuf};

/// Returns the paths of the scenarios shipped with the package, sorted by name.
pub fn shipped_scenarios() -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = fs::read_dir(scenario_folder())
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "toml")
    });
    paths.sort();
    paths
}

/// Returns the path of the shipped scenario with a name.
pub fn shipped_scenario(name: &str) -> PathBuf {
    scenario_folder().join(format!("{name}.toml"))
}

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

/// A temporary folder that is removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates an empty folder.
    pub fn new(name: &str) -> TempFolder {
        let name = format!("marblefall-simulation-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // The folder exists only if an earlier process with the same id crashed.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the temporary folder of the system.
        let _ = fs::remove_dir_all(&self.0);
    }
}
