//! The state of each endpoint list's file, logged when it changes.

use super::status::FileState;
use marblefall_delivery::log_line;
use std::collections::BTreeMap;

/// The name under which an unreadable source path itself is recorded.
pub(super) const SOURCE_PATH: &str = "";

/// The last recorded state of each file, by name.
#[derive(Default)]
pub(super) struct FileStates(BTreeMap<String, FileState>);

impl FileStates {
    /// The state of a file, if it was recorded.
    pub fn get(&self, file: &str) -> Option<&FileState> {
        self.0.get(file)
    }

    /// All files with their states, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &FileState)> {
        self.0.iter()
    }

    /// Forgets all files.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets one file.
    pub fn remove(&mut self, file: &str) {
        self.0.remove(file);
    }

    /// Forgets all files but those to `keep`. The state of the source path itself stays.
    pub fn retain_files(&mut self, keep: impl Fn(&str) -> bool) {
        self.0.retain(|file, _| file == SOURCE_PATH || keep(file));
    }

    /// Records a file's state, and logs it if it has changed.
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
        // Logged with its revision where it is put in force.
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
    // The file and the line follow the arrow in a report.
    let location = lines
        .find_map(|line| line.strip_prefix("--> "))
        .unwrap_or(file);
    log_line!(
        code = "endpoint-list-rejected",
        file,
        "endpoint list rejected, the last good one stays in force: {location}: {message}"
    );
}
