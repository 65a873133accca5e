//! The states of the endpoint lists' files. A change of a state is logged.

use super::status::FileState;
use marblefall_delivery::log_line;
use std::collections::BTreeMap;

/// File name under which the source path itself is recorded if it cannot be read.
pub(super) const SOURCE_PATH: &str = "";

/// The last recorded state of each file, by file name.
#[derive(Default)]
pub(super) struct FileStates(BTreeMap<String, FileState>);

impl FileStates {
    /// Returns the recorded state of a file; `None` if none is recorded.
    pub fn get(&self, file: &str) -> Option<&FileState> {
        self.0.get(file)
    }

    /// Returns all files with their states, in the order of the file names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &FileState)> {
        self.0.iter()
    }

    /// Removes the states of all files.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Removes the state of a file.
    pub fn remove(&mut self, file: &str) {
        self.0.remove(file);
    }

    /// Removes the states of all files for which `keep` returns false. The state of the source path itself is kept.
    pub fn retain_files(&mut self, keep: impl Fn(&str) -> bool) {
        self.0.retain(|file, _| file == SOURCE_PATH || keep(file));
    }

    /// Records the state of a file, and logs the state if it has changed.
    pub fn record(&mut self, file: &str, state: FileState) {
        if self.0.get(file) == Some(&state) {
            return;
        }
        log_state(file, &state);
        self.0.insert(file.to_owned(), state);
    }
}

fn log_state(file: &str, state: &FileState) {
    match state {
        // Logged with the list's revision when the list is put in force.
        FileState::InForce => {}
        FileState::Rejected { report } => log_rejected(file, report),
        FileState::Unreadable { cause } => log_line!(
            code = "endpoint-list-unreadable",
            file,
            "endpoint list cannot be read, the last good one stays in force: {cause}"
        ),
        FileState::Missing => log_line!(
            code = "endpoint-list-missing",
            file,
            "endpoint list is missing, the last good one stays in force"
        ),
    }
}

fn log_rejected(file: &str, report: &str) {
    let mut lines = report
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty());
    let message = lines.next().unwrap_or_default();
    // In a report, the arrow precedes the file name and the line number.
    let location = lines
        .find_map(|line| line.strip_prefix("--> "))
        .unwrap_or(file);
    log_line!(
        code = "endpoint-list-rejected",
        file,
        "endpoint list rejected, the last good one stays in force: {location}: {message}"
    );
}
