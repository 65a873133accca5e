//! The watcher's thread: waits for a wake-up, lets the files settle, scans those that changed, and puts in force what is
//! good.

use super::file_states::{FileStates, WHOLE_PATH};
use super::folder_watch::FolderWatch;
use super::list_files::{list_files, read_bounded, FileFingerprint};
use super::shared_lists::SharedLists;
use super::status::{FileState, FileStatus, ListStatus};
use crate::manifest::EndpointListSource;
use async_channel::Sender;
use marblefall_delivery::log_line;
use marblefall_endpoint_lists::last_good_store::{LastGoodStore, StoreError};
use marblefall_endpoint_lists::{Candidate, Diagnostic};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

/// After a change no further one must come for so long before the files are scanned ...
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// ... but they are scanned after this in any case: who writes all the time must not hide a drain.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(60);
/// The poll interval where there is nothing to poll.
const NO_POLL: Duration = Duration::from_millis(u32::MAX as u64);

/// What wakes the scanner.
pub(super) enum Wakeup {
    /// A file changed, or may have.
    FilesChanged,
    /// The manifest gives another source.
    SourceChanged(Option<EndpointListSource>),
    /// The watcher is dropped.
    Shutdown,
}

/// Which files are read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScanScope {
    ChangedFiles,
    AllFiles,
}

/// What a scan of one file led to.
enum Observation {
    /// Nothing that concerns the other files.
    Settled,
    /// A new list is in force.
    Adopted,
    /// The file was rejected, perhaps because of another file's list.
    Rejected,
}

/// What a scanner is made of.
pub(super) struct ScannerConfig {
    /// Where the last good lists and the status are.
    pub folder: PathBuf,
    pub lists: SharedLists,
    /// Filled when a list is put in force.
    pub changes: Sender<()>,
    /// Where the lists are; `None` where the manifest has none.
    pub source: Option<EndpointListSource>,
    pub wakeup_sender: mpsc::Sender<Wakeup>,
    pub wakeups: mpsc::Receiver<Wakeup>,
}

/// The state of the watcher's thread.
pub(super) struct Scanner {
    last_good: LastGoodStore,
    status_path: PathBuf,
    lists: SharedLists,
    changes: Sender<()>,
    source: Option<EndpointListSource>,
    wakeups: mpsc::Receiver<Wakeup>,
    folder_watch: FolderWatch,
    fingerprints: BTreeMap<String, FileFingerprint>,
    /// What the disk did not take of files' last good lists: the list, or `None` for its removal.
    unstored: BTreeMap<String, Option<Vec<u8>>>,
    states: FileStates,
    written_status: Option<ListStatus>,
    /// Destinations that no list in force names, as last logged.
    unlisted: BTreeSet<String>,
}

impl Scanner {
    pub fn new(config: ScannerConfig) -> Scanner {
        Scanner {
            last_good: LastGoodStore::at(&config.folder),
            status_path: ListStatus::path(&config.folder),
            lists: config.lists,
            changes: config.changes,
            source: config.source,
            wakeups: config.wakeups,
            folder_watch: FolderWatch::new(config.wakeup_sender),
            fingerprints: BTreeMap::new(),
            unstored: BTreeMap::new(),
            states: FileStates::default(),
            written_status: None,
            unlisted: BTreeSet::new(),
        }
    }

    /// Scans at each wake-up and each poll, until it is told to end.
    pub fn run(mut self) {
        while let Some(scope) = self.wait() {
            self.scan(scope);
        }
    }

    /// Waits until a scan is due; `None` at the end.
    fn wait(&mut self) -> Option<ScanScope> {
        let poll_interval = self.source.as_ref().map_or(NO_POLL, |source| {
            Duration::from_millis(source.poll_interval_ms)
        });
        let mut scope = match self.wakeups.recv_timeout(poll_interval) {
            Ok(wakeup) => self.handle_wakeup(wakeup)?,
            Err(RecvTimeoutError::Timeout) => ScanScope::ChangedFiles,
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        let latest = Instant::now() + MAX_SETTLE_TIME;
        while let Ok(wakeup) = self.wakeups.recv_timeout(SETTLE_TIME) {
            scope = scope.max(self.handle_wakeup(wakeup)?);
            if Instant::now() >= latest {
                break;
            }
        }
        Some(scope)
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
        self.store_unstored();
        match self.source.clone() {
            Some(source) => self.scan_source(&source, scope),
            None => self.forget_source(),
        }
        self.log_unlisted();
        self.write_status();
    }

    /// Nothing is watched any more: operators are not shown what was.
    fn forget_source(&mut self) {
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
            self.states.remove(WHOLE_PATH);
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
                    .record(WHOLE_PATH, FileState::Unreadable { cause });
                BTreeMap::new()
            }
        }
    }

    /// Scans files until none of those rejected is accepted any more: a destination that moves from one file to another
    /// may be met first where it is not yet allowed.
    fn scan_files(&mut self, present: &BTreeMap<String, PathBuf>, max_bytes: usize) {
        let mut pending: Vec<(&String, &PathBuf)> = present.iter().collect();
        loop {
            let mut adopted = false;
            pending.retain(|(file, path)| match self.scan_file(file, path, max_bytes) {
                Observation::Settled => false,
                Observation::Adopted => {
                    adopted = true;
                    false
                }
                Observation::Rejected => true,
            });
            if !adopted || pending.is_empty() {
                return;
            }
        }
    }

    fn scan_file(&mut self, file: &str, path: &Path, max_bytes: usize) -> Observation {
        if self.is_unchanged(file, path) {
            return Observation::Settled;
        }
        let (bytes, metadata) = match read_bounded(path, max_bytes) {
            Ok(read) => read,
            Err(error) => {
                let cause = error.to_string();
                self.states.record(file, FileState::Unreadable { cause });
                return Observation::Settled;
            }
        };
        let fingerprint = FileFingerprint::of(&metadata);
        self.fingerprints.insert(file.to_owned(), fingerprint);
        let offer = match self.lists.read(|lists| lists.evaluate(file, &bytes)) {
            Ok(offer) => offer,
            Err(report) => {
                let report = report.to_string();
                self.states.record(file, FileState::Rejected { report });
                return Observation::Rejected;
            }
        };
        if self.lists.read(|lists| offer.is_active(lists)) {
            self.states.record(file, FileState::InForce);
            return Observation::Settled;
        }
        self.adopt(file, offer, &bytes);
        Observation::Adopted
    }

    /// Whether the last state of a file still holds. A rejected one is checked again, as it may fit the other lists now.
    fn is_unchanged(&self, file: &str, path: &Path) -> bool {
        let rejected = matches!(self.states.get(file), Some(FileState::Rejected { .. }));
        let Some(fingerprint) = self.fingerprints.get(file) else {
            return false;
        };
        !rejected && fs::metadata(path).is_ok_and(|metadata| fingerprint.matches(&metadata))
    }

    /// Puts a good list in force. It is written to disk first: after a crash between the two, the next start puts it in
    /// force.
    fn adopt(&mut self, file: &str, offer: Candidate, bytes: &[u8]) {
        for fault in &offer.report.diagnostics {
            log_warning(file, fault);
        }
        self.store_reduced_lists(&offer);
        if let Err(error) = self.store(file, Some(bytes)) {
            log_not_stored(
                file,
                "in force, but not stored yet for the next start",
                &error,
            );
        }
        let (revision, endpoint_changes) = (offer.revision(), offer.changes.len());
        self.lists.write(|lists| lists.activate(offer));
        log_line!(
            code = "endpoint-list-in-force",
            file,
            revision,
            "endpoint list in force: {endpoint_changes} endpoints change"
        );
        // Full where the last change has not been received yet.
        let _ = self.changes.try_send(());
        // Only now: traffic must not follow an old list for as long as a busy disk takes.
        if let Err(error) = self.last_good.sync() {
            log_not_stored(file, "a loss of power may restore the list before", &error);
        }
        self.states.record(file, FileState::InForce);
    }

    /// Stores what is left of missing files' lists once a new one names their destinations.
    fn store_reduced_lists(&mut self, offer: &Candidate) {
        for (file, list) in self.lists.read(|lists| lists.superseded(offer)) {
            let list = (!list.destinations.is_empty()).then(|| list.to_toml().into_bytes());
            if let Err(error) = self.store(&file, list.as_deref()) {
                log_not_stored(&file, "the next start may find the list before", &error);
            }
        }
    }

    /// Stores a file's last good list, or removes it. What the disk does not take is tried again with the next scan.
    fn store(&mut self, file: &str, list: Option<&[u8]>) -> Result<(), StoreError> {
        let stored = match list {
            Some(bytes) => self.last_good.write(file, bytes),
            None => self.last_good.remove(file),
        };
        if stored.is_ok() {
            self.unstored.remove(file);
        } else {
            self.unstored
                .insert(file.to_owned(), list.map(<[u8]>::to_vec));
        }
        stored
    }

    /// Stores what the disk did not take before.
    fn store_unstored(&mut self) {
        for (file, list) in std::mem::take(&mut self.unstored) {
            match self.store(&file, list.as_deref()) {
                Ok(()) => log_line!(code = "last-good-list-written", file, "stored after all"),
                Err(error) => log_not_stored(&file, "still not stored", &error),
            }
        }
    }

    /// Records files that are not there, but have a list in force; forgets those that have none.
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

    /// Logs each destination without a list once, also those that come later.
    fn log_unlisted(&mut self) {
        let unlisted: BTreeSet<String> = self.unlisted_now().into_iter().collect();
        for name in unlisted.difference(&self.unlisted) {
            log_line!(
                code = "destination-unlisted",
                destination = %name,
                "no endpoint list names it: nothing is served there"
            );
        }
        self.unlisted = unlisted;
    }

    fn unlisted_now(&self) -> Vec<String> {
        self.lists.read(|lists| {
            lists
                .destinations_without_list()
                .into_iter()
                .map(str::to_owned)
                .collect()
        })
    }

    fn write_status(&mut self) {
        let status = self.status();
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

    fn status(&self) -> ListStatus {
        let revision = |file: &str| {
            self.lists
                .read(|lists| lists.lists().get(file).map(|list| list.revision))
        };
        let file_status = |(file, state): (&String, &FileState)| {
            let status = FileStatus {
                state: state.clone(),
                revision: revision(file),
            };
            (file.clone(), status)
        };
        ListStatus {
            files: self.states.iter().map(file_status).collect(),
            unlisted: self.unlisted_now(),
        }
    }
}

fn log_not_stored(file: &str, consequence: &str, error: &StoreError) {
    log_line!(
        code = "last-good-list-not-written",
        file,
        "{consequence}: {error}"
    );
}

fn log_warning(file: &str, fault: &Diagnostic) {
    log_line!(
        code = "endpoint-list-warning",
        file,
        line = fault.line,
        "{}: {}",
        fault.message,
        fault.help
    );
}
