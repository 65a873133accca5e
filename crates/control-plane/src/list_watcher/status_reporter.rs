//! Reports the results of a scan: writes the status file, and logs destinations that no list contains.

use super::file_states::FileStates;
use super::shared_lists::SharedLists;
use super::status::{FileState, FileStatus, ListStatus};
use marblefall_delivery::log_line;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Reports the results of each scan.
pub(super) struct StatusReporter {
    status_path: PathBuf,
    /// The status that was last written to the file; `None` before the first write.
    written_status: Option<ListStatus>,
    /// The destinations that no list contained at the last report.
    unlisted: BTreeSet<String>,
}

impl StatusReporter {
    /// Creates a reporter that writes the status file to the folder of the last good lists.
    pub fn new(folder: &Path) -> StatusReporter {
        StatusReporter {
            status_path: ListStatus::path(folder),
            written_status: None,
            unlisted: BTreeSet::new(),
        }
    }

    /// Logs destinations that have become unlisted, and replaces the status file if it has changed.
    pub fn report(&mut self, lists: &SharedLists, states: &FileStates) {
        let unlisted = unlisted_destinations(lists);
        self.log_unlisted(&unlisted);
        self.write_status(current_status(lists, states, unlisted));
    }

    fn log_unlisted(&mut self, unlisted: &[String]) {
        let unlisted: BTreeSet<String> = unlisted.iter().cloned().collect();
        for name in unlisted.difference(&self.unlisted) {
            log_line!(
                code = "destination-unlisted",
                destination = %name,
                "no endpoint list names it: nothing is served there"
            );
        }
        self.unlisted = unlisted;
    }

    fn write_status(&mut self, status: ListStatus) {
        if self.written_status.as_ref() == Some(&status) {
            return;
        }
        match status.write(&self.status_path) {
            Ok(()) => self.written_status = Some(status),
            Err(error) => {
                let path = self.status_path.display();
                log_line!(code = "list-status-not-written", "{path}: {error}");
            }
        }
    }
}

fn unlisted_destinations(lists: &SharedLists) -> Vec<String> {
    lists.read(|lists| {
        lists
            .destinations_without_list()
            .into_iter()
            .map(str::to_owned)
            .collect()
    })
}

fn current_status(lists: &SharedLists, states: &FileStates, unlisted: Vec<String>) -> ListStatus {
    let revision = |file: &str| lists.read(|lists| Some(lists.lists().get(file)?.revision));
    let file_status = |(file, state): (&String, &FileState)| {
        let status = FileStatus {
            state: state.clone(),
            revision: revision(file),
        };
        (file.clone(), status)
    };
    ListStatus {
        files: states.iter().map(file_status).collect(),
        unlisted,
    }
}
