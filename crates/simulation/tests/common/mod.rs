//! Shared by the tests of this package: the shipped scenarios and temporary folders.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::fs;
use std::path::{Path, PathBuf};

/// The scenarios shipped with the package, in the order of their names.
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

/// The shipped scenario of a name.
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
        // There is none, unless an earlier process with this number crashed.
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // What cannot be removed stays in the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}
