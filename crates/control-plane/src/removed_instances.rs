//! The instances that were removed from the manifest and may still hold messages.
//!
//! Applying a plan stores the manifest of each instance that it removes, before the change is in force. The supervisor runs
//! these instances until their messages have ended, also after a restart, and deletes the files then. The file of an
//! instance that is declared again has no effect.

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

/// Stores the manifests of the instances of `before` that are not declared in `after`.
pub(crate) fn store(home: &Path, before: &Manifest, after: &Manifest) -> io::Result<()> {
    let names = before.instances.keys();
    let removed = names.filter(|name| !after.instances.contains_key(*name));
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
