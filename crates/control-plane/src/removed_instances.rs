//! The instances that a home no longer runs and that may still hold messages: they were removed from the manifest, or moved
//! to another member of the group.
//!
//! Whoever replaces the manifest of a home first stores the manifest of each instance that the home no longer runs. The
//! supervisor runs the instances of all files until their messages have ended, whatever ended them before, and deletes the
//! files then. The file of an instance that the home runs again has no effect, and is deleted.

use crate::json_file::{self, JsonFileError};
use crate::manifest::{InstanceManifest, Manifest};
use marblefall_atomic_file::{replace, Durability, LocalDisk};
use std::ffi::OsStr;
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
        write(home, &manifest)?;
    }
    Ok(())
}

/// Stores the manifest of a removed instance that has no file.
pub(crate) fn store_if_missing(home: &Path, manifest: &InstanceManifest) -> io::Result<()> {
    if path_of(home, &manifest.name).try_exists()? {
        return Ok(());
    }
    write(home, manifest)
}

fn write(home: &Path, manifest: &InstanceManifest) -> io::Result<()> {
    fs::create_dir_all(home.join(FOLDER))?;
    replace(
        &LocalDisk,
        &path_of(home, &manifest.name),
        &serde_json::to_vec_pretty(manifest)?,
        Durability::PowerLoss,
    )
}

/// Returns the names of the instances with a file, in no particular order.
pub(crate) fn names(home: &Path) -> io::Result<Vec<String>> {
    let files = match fs::read_dir(home.join(FOLDER)) {
        Ok(files) => files,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut names = Vec::new();
    for file in files {
        let path = file?.path();
        let is_manifest = path.extension().is_some_and(|found| found == EXTENSION);
        let name = path.file_stem().and_then(OsStr::to_str);
        names.extend(name.filter(|_| is_manifest).map(str::to_owned));
    }
    Ok(names)
}

/// Reads the manifest of a removed instance.
pub(crate) fn read(home: &Path, name: &str) -> Result<InstanceManifest, JsonFileError> {
    json_file::read(&path_of(home, name))
}

/// Deletes the file of a removed instance, if there is one.
pub(crate) fn forget(home: &Path, name: &str) -> io::Result<()> {
    match fs::remove_file(path_of(home, name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        Ok(()) | Err(_) => Ok(()),
    }
}

fn path_of(home: &Path, name: &str) -> PathBuf {
    home.join(FOLDER).join(format!("{name}.{EXTENSION}"))
}
