//! Watches the rosters of a fleet on a thread of its own: what is found good is kept in `HOME/rosters`, taken into the
//! book, and passed on as changes; what is not is said once, and changes nothing.
//!
//! The system tells of changes where it can, and a slow look finds the rest. Nothing hangs on when a look comes: a file
//! that is half written is found out by its form.

use crate::manifest::{Manifest, RosterSource};
use async_channel::{Receiver, Sender};
use marblefall_atomic_file::{replace, Disk, Outlasts, Real};
use marblefall_delivery::say;
use marblefall_endpoint_lists::keep::Keep;
use marblefall_endpoint_lists::{Book, Fault, Report, Roster};
use notify::event::{AccessKind, AccessMode};
use notify::{EventKind, RecommendedWatcher, RecursiveMode, Watcher};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::{mpsc, Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// After a change nothing further must come for so long before the files are looked at ...
const SETTLED: Duration = Duration::from_millis(10);
/// ... but they are looked at after this, however restless: who writes all the time must not hide a drain.
const RESTLESS: Duration = Duration::from_millis(60);
/// A file that changed so shortly before it was read may have changed once more without a trace in its times.
const RACY: Duration = Duration::from_secs(2);
/// Files of one folder that are read at most.
const MOST_FILES: usize = 20_000;
const FOLDER: &str = "rosters";
const STATUS: &str = "status.json";

/// How a roster's file stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Standing {
    /// What it says is in force.
    InForce,
    /// It says something wrong; what was in force before still is.
    Refused {
        /// Where, what and what to do, for people.
        report: String,
    },
    /// It cannot be read.
    Unreadable {
        /// Why.
        cause: String,
    },
    /// It is not there.
    Missing,
}

/// What staff are shown of a roster's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FileStatus {
    /// How it stands.
    #[serde(flatten)]
    pub standing: Standing,
    /// The revision in force of what it said, if any is.
    pub revision: Option<u64>,
}

/// What the daemon last found, by file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Each roster's file.
    pub files: BTreeMap<String, FileStatus>,
    /// Rostered destinations that no list in force names: they are served nothing.
    pub unlisted: Vec<String>,
}

impl Status {
    /// Reads what a daemon over this folder last wrote; nothing where none has looked at rosters yet.
    pub fn read(home: &Path) -> Result<Status, String> {
        let path = home.join(FOLDER).join(STATUS);
        match fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|error| format!("{}: {error}", path.display())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Status::default()),
            Err(error) => Err(format!("{}: {error}", path.display())),
        }
    }
}

/// The lists that are kept in a fleet's folder, under what its applied file says; and what was not fit to be read
/// back.
pub fn kept(home: &Path, fleet: &Manifest) -> Result<(Book, Vec<Report>), String> {
    let mut book = Book::new(fleet.terms());
    let mut spoilt = Vec::new();
    for (file, bytes) in Keep::at(&home.join(FOLDER))
        .read()
        .map_err(|error| error.to_string())?
    {
        spoilt.extend(book.restore(&file, &bytes).err());
    }
    Ok((book, spoilt))
}

/// The files of a roster's path, by name: the file itself, or those of the folder that end in `.toml`.
pub fn files(path: &Path) -> io::Result<BTreeMap<String, PathBuf>> {
    let named = |path: PathBuf| Some((path.file_name()?.to_str()?.to_owned(), path));
    if !fs::metadata(path)?.is_dir() {
        return Ok(named(path.to_owned()).into_iter().collect());
    }
    let entries = fs::read_dir(path)?
        .take(MOST_FILES)
        .collect::<io::Result<Vec<_>>>()?;
    let rosters = entries.into_iter().filter_map(|entry| named(entry.path()));
    // What starts with a dot is an editor's or a mount's own.
    Ok(rosters
        .filter(|(name, _)| name.ends_with(".toml") && !name.starts_with('.'))
        .collect())
}

/// Reads a file to its end, but no more than one byte over the limit, and nothing that is no plain file: a pipe would
/// never end.
pub fn read_bounded(path: &Path, most: usize) -> io::Result<(Vec<u8>, Metadata)> {
    let nonblock = rustix::fs::OFlags::NONBLOCK.bits() as i32;
    let file = fs::OpenOptions::new()
        .read(true)
        .custom_flags(nonblock)
        .open(path)?;
    let told = file.metadata()?;
    if !told.is_file() {
        return Err(io::Error::other("it is no plain file"));
    }
    let mut bytes = Vec::with_capacity(most.min(told.len() as usize) + 1);
    file.take(most as u64 + 1).read_to_end(&mut bytes)?;
    Ok((bytes, told))
}

/// What a file looked like when it was last read.
#[derive(Clone, Debug, PartialEq)]
struct Look {
    sign: (u64, u64, u64, i64, i64, i64),
    read_at: SystemTime,
}

impl Look {
    fn of(told: &Metadata) -> Look {
        let sign = (
            told.dev(),
            told.ino(),
            told.len(),
            told.mtime_nsec(),
            told.ctime(),
            told.ctime_nsec(),
        );
        Look {
            sign,
            read_at: SystemTime::now(),
        }
    }

    /// Whether a file that looks so now surely holds what it held then.
    fn still(&self, told: &Metadata) -> bool {
        let changed = SystemTime::UNIX_EPOCH + Duration::new(told.ctime().max(0) as u64, 0);
        self.sign == Look::of(told).sign
            && self
                .read_at
                .duration_since(changed)
                .is_ok_and(|age| age > RACY)
    }
}

/// What the daemon's watcher is stirred by.
enum Stir {
    /// Something changed on disk, or may have.
    Disk,
    /// The operators' file did.
    Source(Option<RosterSource>),
    /// The daemon ends.
    End,
}

/// The daemon's side of the watcher.
pub struct ListWatcher {
    book: Arc<RwLock<Book>>,
    stirs: mpsc::Sender<Stir>,
    /// Filled when something was taken up since it was last emptied.
    pub changes: Receiver<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ListWatcher {
    /// Takes up what is kept in a fleet's folder and what the files say now, then goes on watching them.
    pub fn start(home: &Path, fleet: &Manifest) -> Result<ListWatcher, String> {
        let (book, spoilt) = kept(home, fleet)?;
        for report in spoilt {
            say!(code = "kept-roster-spoilt", file = %report.file, "{}", report.first());
        }
        let book = Arc::new(RwLock::new(book));
        let (stirs, stirred) = mpsc::channel();
        let (passed_on, news) = async_channel::bounded(1);
        let mut scout = Scout {
            keep: Keep::at(&home.join(FOLDER)),
            status_at: home.join(FOLDER).join(STATUS),
            book: book.clone(),
            news: passed_on,
            source: fleet.roster.clone(),
            stirs: stirs.clone(),
            stirred,
            watcher: None,
            looked: BTreeMap::new(),
            found: BTreeMap::new(),
            written: None,
            unlisted: BTreeSet::new(),
        };
        // The first look is on the thread as well: what reading takes up for a moment, an allocator keeps by thread.
        let (looked, first_look) = mpsc::channel();
        let body = move || {
            scout.look(true);
            let _ = looked.send(());
            scout.run();
        };
        let thread = thread::Builder::new()
            .name("rosters".to_owned())
            .spawn(body);
        let thread = thread.map_err(|error| error.to_string())?;
        let _ = first_look.recv();
        Ok(ListWatcher {
            book,
            stirs,
            changes: news,
            thread: Some(thread),
        })
    }

    /// Goes on under another applied file. What it no longer lets rosters say counts for nothing from now on.
    pub fn set_manifest(&self, fleet: &Manifest) {
        self.book
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .hold_to(fleet.terms());
        let _ = self.stirs.send(Stir::Source(fleet.roster.clone()));
    }

    /// Looks at the files as if they had changed.
    pub fn rescan(&self) {
        let _ = self.stirs.send(Stir::Disk);
    }

    /// The lists in force.
    pub fn with_lists<T>(&self, read: impl FnOnce(&Book) -> T) -> T {
        read(&self.book.read().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for ListWatcher {
    fn drop(&mut self) {
        let _ = self.stirs.send(Stir::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Folders with their device and number: one that was replaced by another of its name must be watched anew.
type Folders = BTreeMap<PathBuf, (u64, u64)>;

/// The thread's side.
struct Scout {
    keep: Keep,
    status_at: PathBuf,
    book: Arc<RwLock<Book>>,
    news: Sender<()>,
    source: Option<RosterSource>,
    stirs: mpsc::Sender<Stir>,
    stirred: mpsc::Receiver<Stir>,
    /// The system's own watch, and the folders that it is on.
    watcher: Option<(RecommendedWatcher, Folders)>,
    looked: BTreeMap<String, Look>,
    /// For each file what was last said of it, so that it is said once.
    found: BTreeMap<String, Standing>,
    written: Option<Status>,
    /// Destinations that no list in force names, as it was said last.
    unlisted: BTreeSet<String>,
}

impl Scout {
    fn run(mut self) {
        loop {
            let wait = Duration::from_millis(
                self.source
                    .as_ref()
                    .map_or(u64::from(u32::MAX), |at| at.poll_ms),
            );
            let mut whole = false;
            match self.stirred.recv_timeout(wait) {
                Ok(Stir::End) => return,
                Ok(Stir::Source(source)) => (whole, self.source) = (true, source),
                Ok(Stir::Disk) | Err(mpsc::RecvTimeoutError::Timeout) => {}
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
            }
            let latest = Instant::now() + RESTLESS;
            while let Ok(stir) = self.stirred.recv_timeout(SETTLED) {
                match stir {
                    Stir::End => return,
                    Stir::Source(source) => (whole, self.source) = (true, source),
                    Stir::Disk => {}
                }
                if Instant::now() >= latest {
                    break;
                }
            }
            self.look(whole);
        }
    }

    /// Looks at all files once; at `whole`, also at those that have not changed.
    fn look(&mut self, whole: bool) {
        let Some(source) = self.source.clone() else {
            // Nothing is watched any more: staff are not shown what was.
            self.watcher = None;
            self.found.clear();
            self.looked.clear();
            self.say_unlisted();
            self.write_status();
            return;
        };
        self.watch_folders(&source.path);
        if whole {
            self.looked.clear();
        }
        let present = match files(&source.path) {
            Ok(files) => files,
            Err(cause) => {
                self.note(
                    "",
                    Standing::Unreadable {
                        cause: format!("{}: {cause}", source.path.display()),
                    },
                );
                BTreeMap::new()
            }
        };
        if !present.is_empty() {
            self.found.remove("");
            let names: BTreeSet<String> = present.keys().cloned().collect();
            self.book_mut(|book| book.see(&names));
        }
        self.looked.retain(|file, _| present.contains_key(file));
        // A partner that moves from one file to another may be met first where it is not yet allowed.
        let mut pending: Vec<(&String, &PathBuf)> = present.iter().collect();
        loop {
            let before = pending.len();
            let mut taken = false;
            pending.retain(
                |(file, path)| match self.look_at(file, path, source.max_kb * 1024) {
                    Seen::Settled => false,
                    Seen::Taken => {
                        taken = true;
                        false
                    }
                    Seen::Refused => true,
                },
            );
            if !taken || pending.is_empty() || pending.len() == before {
                break;
            }
        }
        let known: Vec<String> = self.with_book(|book| book.rosters().keys().cloned().collect());
        for file in known.iter().filter(|file| !present.contains_key(*file)) {
            self.note(file, Standing::Missing);
        }
        self.found.retain(|file, _| {
            file.is_empty() || present.contains_key(file) || known.contains(file)
        });
        self.say_unlisted();
        self.write_status();
    }

    fn look_at(&mut self, file: &str, path: &Path, most: usize) -> Seen {
        let unchanged =
            |told: &Metadata| self.looked.get(file).is_some_and(|look| look.still(told));
        // Left as it was: the last word on it stands, unless that was that it did not fit the other lists.
        let refused = matches!(self.found.get(file), Some(Standing::Refused { .. }));
        if !refused && fs::metadata(path).is_ok_and(|told| unchanged(&told)) {
            return Seen::Settled;
        }
        let (bytes, told) = match read_bounded(path, most) {
            Ok(read) => read,
            Err(cause) => {
                self.note(
                    file,
                    Standing::Unreadable {
                        cause: cause.to_string(),
                    },
                );
                return Seen::Settled;
            }
        };
        self.looked.insert(file.to_owned(), Look::of(&told));
        let offer = match self.with_book(|book| book.weigh(file, &bytes)) {
            Ok(offer) => offer,
            Err(report) => {
                self.note(
                    file,
                    Standing::Refused {
                        report: report.to_string(),
                    },
                );
                return Seen::Refused;
            }
        };
        if self.with_book(|book| offer.is_in(book)) {
            self.note(file, Standing::InForce);
            return Seen::Settled;
        }
        for fault in &offer.report.faults {
            say_fault("roster-warning", file, fault);
        }
        // Kept first: a death between the two takes up at the next start what was kept.
        let handed_over = self.with_book(|book| book.taken_over(&offer));
        for (left, roster) in &handed_over {
            let done = match roster.destinations.is_empty() {
                true => self.keep.remove(left),
                false => self.keep.write(left, roster.print().as_bytes()),
            };
            done.unwrap_or_else(|error| say!(code = "roster-not-kept", file = %left, "{error}"));
        }
        if let Err(error) = self.keep.write(file, &bytes) {
            say!(
                code = "roster-not-kept",
                file,
                "taken up, but not kept for the next start: {error}"
            );
        }
        let (revision, lines) = (offer.revision(), offer.changes.len());
        self.book_mut(|book| book.take(offer));
        say!(
            code = "roster-taken",
            file,
            revision,
            "roster taken up: {lines} endpoints change"
        );
        let _ = self.news.try_send(());
        // Only now: traffic must not follow an old list for as long as a busy disk takes.
        if let Err(error) = self.keep.settle() {
            say!(
                code = "roster-not-kept",
                file,
                "a loss of power may bring the list before back: {error}"
            );
        }
        self.found.insert(file.to_owned(), Standing::InForce);
        Seen::Taken
    }

    /// Notes how a file stands; says so if that is new.
    fn note(&mut self, file: &str, standing: Standing) {
        if self.found.get(file) == Some(&standing) {
            return;
        }
        match &standing {
            Standing::InForce => {}
            Standing::Refused { report } => {
                // The file and the line stand behind the arrow of what people are shown.
                let mut lines = report
                    .lines()
                    .map(str::trim)
                    .filter(|line| !line.is_empty());
                let what = lines.next().unwrap_or_default();
                let place = lines
                    .find_map(|line| line.strip_prefix("--> "))
                    .unwrap_or(file);
                say!(
                    code = "roster-refused",
                    file,
                    "roster refused, the last good one stays: {place}: {what}"
                );
            }
            Standing::Unreadable { cause } => {
                say!(
                    code = "roster-unreadable",
                    file,
                    "roster not read, the last good one stays: {cause}"
                );
            }
            Standing::Missing => {
                say!(
                    code = "roster-missing",
                    file,
                    "roster not there, the last good one stays"
                );
            }
        }
        self.found.insert(file.to_owned(), standing);
    }

    /// Says it of each destination once, also of those that come without a list later.
    fn say_unlisted(&mut self) {
        let unlisted: BTreeSet<String> =
            self.with_book(|book| book.unlisted().into_iter().map(str::to_owned).collect());
        for name in unlisted.difference(&self.unlisted) {
            say!(code = "no-roster", destination = %name, "no roster lists it: nothing is served there");
        }
        self.unlisted = unlisted;
    }

    /// Puts the system's watch on the folders that matter: the path's own, the one that it is in (it may be renamed
    /// over, or go and come back), and where it really is (it may be a link that is swapped, or a link into a folder
    /// behind one).
    fn watch_folders(&mut self, path: &Path) {
        let mut folders = Folders::new();
        let mut add = |folder: &Path| {
            if let Some(told) = fs::metadata(folder).ok().filter(Metadata::is_dir) {
                folders.insert(folder.to_owned(), (told.dev(), told.ino()));
            }
        };
        add(path);
        path.parent().into_iter().for_each(&mut add);
        if let Ok(real) = fs::canonicalize(path) {
            add(&real);
            real.parent().into_iter().for_each(&mut add);
        }
        if self.watcher.as_ref().is_some_and(|(_, on)| *on == folders) {
            return;
        }
        let stirs = self.stirs.clone();
        let told = move |event: notify::Result<notify::Event>| {
            // Our own reading is told of as well; taken for a change, it would bring the next reading.
            let read_only = event.as_ref().is_ok_and(|event| {
                matches!(event.kind, EventKind::Access(kind) if kind != AccessKind::Close(AccessMode::Write))
            });
            if !read_only {
                let _ = stirs.send(Stir::Disk);
            }
        };
        let mut watcher = match notify::recommended_watcher(told) {
            Ok(watcher) => watcher,
            Err(error) => {
                let poll = self.source.as_ref().map_or(0, |source| source.poll_ms);
                say!(
                    code = "no-watch",
                    "the system tells nothing of rosters, they are looked at every {poll} ms: {error}"
                );
                self.watcher = None;
                return;
            }
        };
        for folder in folders.keys() {
            if let Err(error) = watcher.watch(folder, RecursiveMode::NonRecursive) {
                say!(
                    code = "no-watch",
                    "{} is looked at now and then only: {error}",
                    folder.display()
                );
            }
        }
        self.watcher = Some((watcher, folders));
    }

    fn write_status(&mut self) {
        let files = self.found.iter().map(|(file, standing)| {
            let revision = self.with_book(|book| {
                book.rosters()
                    .get(file)
                    .map(|roster: &Roster| roster.revision)
            });
            (
                file.clone(),
                FileStatus {
                    standing: standing.clone(),
                    revision,
                },
            )
        });
        let unlisted =
            self.with_book(|book| book.unlisted().into_iter().map(str::to_owned).collect());
        let status = Status {
            files: files.collect(),
            unlisted,
        };
        if self.written.as_ref() == Some(&status) {
            return;
        }
        let write = || -> io::Result<()> {
            Real.make_folder(self.status_at.parent().unwrap_or(Path::new(".")))?;
            replace(
                &Real,
                &self.status_at,
                &serde_json::to_vec_pretty(&status)?,
                Outlasts::Process,
            )
        };
        match write() {
            Ok(()) => self.written = Some(status),
            Err(error) => say!(
                code = "status-not-written",
                "{}: {error}",
                self.status_at.display()
            ),
        }
    }

    fn with_book<T>(&self, read: impl FnOnce(&Book) -> T) -> T {
        read(&self.book.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn book_mut(&self, change: impl FnOnce(&mut Book)) {
        change(&mut self.book.write().unwrap_or_else(PoisonError::into_inner));
    }
}

/// What a look at one file led to.
enum Seen {
    /// Nothing that concerns the other files.
    Settled,
    /// A new list is in force.
    Taken,
    /// It was refused, perhaps because of another file's list.
    Refused,
}

fn say_fault(code: &'static str, file: &str, fault: &Fault) {
    say!(
        code,
        file,
        line = fault.line,
        "{}: {}",
        fault.what,
        fault.help
    );
}
