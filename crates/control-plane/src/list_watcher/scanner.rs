//! The watcher's thread. It waits for a wake-up, waits until the files no longer change, scans the changed files, and puts
//! valid lists in force.

use super::file_states::{FileStates, SOURCE_PATH};
use super::folder_watch::FolderWatch;
use super::last_good_writer::{LastGoodWriter, StoreChange};
use super::list_files::{list_files, read_bounded, FileContent, FileFingerprint};
use super::shared_lists::SharedLists;
use super::status::FileState;
use super::status_reporter::StatusReporter;
use super::wakeup::Wakeup;
use crate::manifest::EndpointListSource;
use async_channel::Sender;
use marblefall_delivery::log_line;
use marblefall_endpoint_lists::{Candidate, Diagnostic, SupersededList};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Time without further changes after which the files are scanned.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Time after which the files are scanned even if they keep changing, so that a continuous writer does not delay a drain.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(60);
/// The poll interval while there is no source to poll.
const NO_POLL: Duration = Duration::from_millis(u32::MAX as u64);

/// The files that a scan reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScanScope {
    /// Files that changed since they were last read.
    ChangedFiles,
    /// All files.
    AllFiles,
}

/// The outcome of scanning a file.
enum ScanOutcome {
    /// The lists in force do not change, and another file's list does not affect this outcome.
    NoChange,
    /// The file's list was put in force.
    Adopted,
    /// The list was rejected, possibly because of a conflict with another file's list.
    Rejected,
}

/// The parameters of a scanner.
pub(super) struct ScannerConfig {
    /// The folder of the last good lists and of the status file.
    pub folder: PathBuf,
    /// The lists in force.
    pub lists: SharedLists,
    /// Channel to which a message is sent when a list is put in force.
    pub changes: Sender<()>,
    /// The source of the lists; `None` if the manifest declares none.
    pub source: Option<EndpointListSource>,
    /// Sender of messages that wake the scanner.
    pub wakeup_sender: mpsc::Sender<Wakeup>,
    /// Receiver of messages that wake the scanner.
    pub wakeups: mpsc::Receiver<Wakeup>,
}

/// The state of the watcher's thread.
pub(super) struct Scanner {
    last_good: LastGoodWriter,
    reporter: StatusReporter,
    lists: SharedLists,
    changes: Sender<()>,
    source: Option<EndpointListSource>,
    wakeups: mpsc::Receiver<Wakeup>,
    folder_watch: FolderWatch,
    fingerprints: BTreeMap<String, FileFingerprint>,
    states: FileStates,
}

impl Scanner {
    /// Creates a scanner that has not scanned any file yet.
    pub fn new(config: ScannerConfig) -> Scanner {
        Scanner {
            last_good: LastGoodWriter::new(&config.folder),
            reporter: StatusReporter::new(&config.folder),
            lists: config.lists,
            changes: config.changes,
            source: config.source,
            wakeups: config.wakeups,
            folder_watch: FolderWatch::new(config.wakeup_sender),
            fingerprints: BTreeMap::new(),
            states: FileStates::default(),
        }
    }

    /// Scans the files at each wake-up and each poll, until [`Wakeup::Shutdown`] is received.
    pub fn run(mut self) {
        while let Some(scope) = self.wait() {
            self.scan(scope);
        }
    }

    /// Waits until a scan is due; `None` at shutdown.
    fn wait(&mut self) -> Option<ScanScope> {
        let mut scope = match self.wakeups.recv_timeout(self.poll_interval()) {
            Ok(wakeup) => self.handle_wakeup(wakeup)?,
            Err(RecvTimeoutError::Timeout) => ScanScope::ChangedFiles,
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        let settled_by = Instant::now() + MAX_SETTLE_TIME;
        while let Ok(wakeup) = self.wakeups.recv_timeout(SETTLE_TIME) {
            scope = scope.max(self.handle_wakeup(wakeup)?);
            if Instant::now() >= settled_by {
                break;
            }
        }
        Some(scope)
    }

    fn poll_interval(&self) -> Duration {
        self.source.as_ref().map_or(NO_POLL, |source| {
            Duration::from_millis(source.poll_interval_ms)
        })
    }

    fn handle_wakeup(&mut self, wakeup: Wakeup) -> Option<ScanScope> {
        match wakeup {
            Wakeup::FilesChanged => Some(ScanScope::ChangedFiles),
            Wakeup::SourceChanged(source) => {
                self.source = source;
                Some(ScanScope::AllFiles)
            }
            Wakeup::Shutdown => None,
        }
    }

    /// Scans the source's files once.
    pub fn scan(&mut self, scope: ScanScope) {
        self.last_good.retry_failed();
        match self.source.clone() {
            Some(source) => self.scan_source(&source, scope),
            None => self.clear_source_state(),
        }
        self.reporter.report(&self.lists, &self.states);
    }

    /// Stops the watch and clears the state of all files, so that the status lists none.
    fn clear_source_state(&mut self) {
        self.folder_watch.stop();
        self.states.clear();
        self.fingerprints.clear();
    }

    fn scan_source(&mut self, source: &EndpointListSource, scope: ScanScope) {
        self.folder_watch
            .follow(&source.path, source.poll_interval_ms);
        if scope == ScanScope::AllFiles {
            self.fingerprints.clear();
        }
        let present = self.present_files(&source.path);
        if !present.is_empty() {
            self.states.remove(SOURCE_PATH);
            let names: BTreeSet<String> = present.keys().cloned().collect();
            self.lists.write(|lists| lists.set_present_files(&names));
        }
        self.fingerprints
            .retain(|file, _| present.contains_key(file));
        self.scan_files(&present, source.max_bytes());
        self.record_missing(&present);
    }

    fn present_files(&mut self, path: &Path) -> BTreeMap<String, PathBuf> {
        match list_files(path) {
            Ok(files) => files,
            Err(error) => {
                let cause = format!("{}: {error}", path.display());
                self.states
                    .record(SOURCE_PATH, FileState::Unreadable { cause });
                BTreeMap::new()
            }
        }
    }

    /// Scans the files until no further rejected list becomes valid. A list that takes over a destination from another file
    /// is valid only once that file's new list is in force.
    fn scan_files(&mut self, present: &BTreeMap<String, PathBuf>, max_bytes: usize) {
        let mut pending: Vec<(&String, &PathBuf)> = present.iter().collect();
        loop {
            let mut adopted = false;
            pending.retain(|(file, path)| match self.scan_file(file, path, max_bytes) {
                ScanOutcome::NoChange => false,
                ScanOutcome::Adopted => {
                    adopted = true;
                    false
                }
                ScanOutcome::Rejected => true,
            });
            if !adopted || pending.is_empty() {
                return;
            }
        }
    }

    fn scan_file(&mut self, file: &str, path: &Path, max_bytes: usize) -> ScanOutcome {
        if self.is_unchanged(file, path) {
            return ScanOutcome::NoChange;
        }
        let FileContent { bytes, metadata } = match read_bounded(path, max_bytes) {
            Ok(content) => content,
            Err(error) => {
                let cause = error.to_string();
                self.states.record(file, FileState::Unreadable { cause });
                return ScanOutcome::NoChange;
            }
        };
        let fingerprint = FileFingerprint::of(&metadata);
        self.fingerprints.insert(file.to_owned(), fingerprint);
        self.evaluate(file, bytes)
    }

    fn evaluate(&mut self, file: &str, bytes: Vec<u8>) -> ScanOutcome {
        let candidate = match self.lists.read(|lists| lists.evaluate(file, &bytes)) {
            Ok(candidate) => candidate,
            Err(report) => {
                let report = report.to_string();
                self.states.record(file, FileState::Rejected { report });
                return ScanOutcome::Rejected;
            }
        };
        if self.lists.read(|lists| candidate.is_active(lists)) {
            self.states.record(file, FileState::InForce);
            return ScanOutcome::NoChange;
        }
        self.adopt(file, candidate, bytes);
        ScanOutcome::Adopted
    }

    /// Returns whether the recorded state of a file is still valid. A rejected file is always evaluated again, because its
    /// conflict with another list may be resolved.
    fn is_unchanged(&self, file: &str, path: &Path) -> bool {
        let rejected = matches!(self.states.get(file), Some(FileState::Rejected { .. }));
        let Some(fingerprint) = self.fingerprints.get(file) else {
            return false;
        };
        !rejected && fs::metadata(path).is_ok_and(|metadata| fingerprint.matches(&metadata))
    }

    /// Puts a valid list in force. The list is written to disk first, so that after a crash between the two steps the next
    /// start puts it in force.
    fn adopt(&mut self, file: &str, candidate: Candidate, bytes: Vec<u8>) {
        for warning in &candidate.report.diagnostics {
            log_warning(file, warning);
        }
        self.store_superseded(&candidate);
        self.last_good.apply(
            file,
            StoreChange::Write(bytes),
            "in force, but not yet stored for the next start",
        );
        self.put_in_force(file, candidate);
        // Synced last, so that a slow disk does not delay the switch of the traffic to the new list.
        self.last_good.sync(file);
        self.states.record(file, FileState::InForce);
    }

    /// Stores the remaining destinations of missing files' lists after a new list takes over some of their destinations.
    fn store_superseded(&mut self, candidate: &Candidate) {
        let superseded = self.lists.read(|lists| lists.superseded(candidate));
        for SupersededList { file, remaining } in superseded {
            let change = if remaining.destinations.is_empty() {
                StoreChange::Remove
            } else {
                StoreChange::Write(remaining.to_toml().into_bytes())
            };
            self.last_good.apply(
                &file,
                change,
                "the next start may restore the previous list",
            );
        }
    }

    fn put_in_force(&mut self, file: &str, candidate: Candidate) {
        let (revision, endpoint_changes) = (candidate.revision(), candidate.changes.len());
        self.lists.write(|lists| lists.activate(candidate));
        log_line!(
            code = "endpoint-list-in-force",
            file,
            revision,
            "endpoint list in force: {endpoint_changes} endpoints changed"
        );
        // Fails if the supervisor has not yet received an earlier message, which then covers this change too.
        let _ = self.changes.try_send(());
    }

    /// Records missing files whose list is in force, and removes the states of missing files whose list is not in force.
    fn record_missing(&mut self, present: &BTreeMap<String, PathBuf>) {
        let in_force: BTreeSet<String> = self
            .lists
            .read(|lists| lists.lists().keys().cloned().collect());
        for file in in_force.iter().filter(|file| !present.contains_key(*file)) {
            self.states.record(file, FileState::Missing);
        }
        self.states
            .retain_files(|file| present.contains_key(file) || in_force.contains(file));
    }
}

fn log_warning(file: &str, warning: &Diagnostic) {
    log_line!(
        code = "endpoint-list-warning",
        file,
        line = warning.line,
        "{}: {}",
        warning.message,
        warning.help
    );
}
