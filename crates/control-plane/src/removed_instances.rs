//! The instances that a home no longer runs and that may still hold messages: they were removed from the manifest, or moved
//! to another member of the group.
//!
//! Whoever replaces the manifest of a home first stores the manifest of each instance that the home no longer runs. The
//! supervisor runs these instances until their messages have ended, also after a restart, and deletes the files then. The
//! file of an instance that the home runs again has no effect.

use crate::json_file::JsonFileError;
use crate::manifest::{InstanceManifest, Manifest};
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the folder in a home that contains a file for each removed instance.
const FOLDER: &str = "removed";
/// Extension of the files.
const EXTENSION: &str = "json";

/// Stores the manifests of the instances that a home runs under the manifest `before`, and no longer under `after`.
/// `runs_here` returns whether a manifest has the home run an instance.
pub(crate) fn store(
    home: &Path,
    before: &Manifest,
    after: &Manifest,
    runs_here: impl Fn(&Manifest, &str) -> bool,
) -> io::Result<()> {
    let names = before.instances.keys();
    let removed = names.filter(|name| runs_here(before, name) && !runs_here(after, name));
    for manifest in removed.filter_map(|name| before.instance_manifest(name)) {
        fs::create_dir_all(home.join(FOLDER))?;
        replace(
            &LocalDisk,
            &path_of(home, &manifest.name),
            &serde_json::to_vec_pretty(&manifest)?,
            Durability::PowerLoss,
        )?;
    }
    Ok(())
}

/// Reads the manifests of all removed instances. Files that cannot be read are returned as errors.
pub(crate) fn read_all(home: &Path) -> Vec<Result<InstanceManifest, JsonFileError>> {
    let folder = home.join(FOLDER);
    let files = match fs::read_dir(&folder) {
        Ok(files) => files,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Vec::new(),
        Err(source) => {
            return vec![Err(JsonFileError::Read {
                path: folder,
                source,
            })]
        }
    };
    let paths = files.filter_map(|file| Some(file.ok()?.path()));
    paths
        .filter(|path| path.extension().is_some_and(|found| found == EXTENSION))
        .map(|path| read(&path))
        .collect()
}

/// Deletes the file of a removed instance, if there is one.
pub(crate) fn forget(home: &Path, name: &str) -> io::Result<()> {
    match fs::remove_file(path_of(home, name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        Ok(()) | Err(_) => Ok(()),
    }
}

fn read(path: &Path) -> Result<InstanceManifest, JsonFileError> {
    let text = fs::read(path).map_err(|source| JsonFileError::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&text).map_err(|source| JsonFileError::Parse {
        path: path.to_owned(),
        source,
    })
}

fn path_of(home: &Path, name: &str) -> PathBuf {
    home.join(FOLDER).join(format!("{name}.{EXTENSION}"))
}
