//! By what lives of the process know each other in the lasting folder. Each keeps an advisory lock on a file of its own
//! for as long as it runs; the system lets go of it however the process ends, SIGKILL included. In that file stand the
//! marks that it and those after it leave, a byte each, only ever added to.

use crate::core::journal::{latest, Generation};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};

/// The lock of a life is `life-` and its generation.
const PREFIX: &str = "life-";
/// Programs from before there were generations lock this one, and look for the mark below when they are told to end.
const BEFORE: &str = "life.lock";
const BEFORE_NEXT: &str = "life.next";

/// Left by the life itself: another one decides now.
const OVER: u8 = b'o';
/// Left by a later one: it has come up beside.
const BESIDE: u8 = b'b';
/// Left by a later one: hand over.
const ASKED: u8 = b'a';
/// Left by a later one: decide nothing any more.
const FENCED: u8 = b'f';

/// What later lives want of this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// One came up beside; it may have ended since.
    pub beside: bool,
    /// It is to hand over.
    pub hand_over: bool,
}

/// An earlier life that still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Which one.
    pub generation: Generation,
    /// Whether it has handed over or is fenced off.
    pub settled: bool,
}

/// This life's place in the folder, for as long as the value lives.
#[derive(Debug)]
pub struct Incarnation {
    folder: PathBuf,
    generation: Generation,
    own: File,
    /// Locks of lives that have ended, held until what they left is this one's.
    ended: Vec<(Generation, File)>,
}

impl Incarnation {
    /// Takes a place after all lives so far.
    ///
    /// # Errors
    /// The folder or the lock cannot be made.
    pub fn claim(folder: &Path) -> io::Result<Incarnation> {
        std::fs::create_dir_all(folder)?;
        let (generation, own) = place(folder, Generation(0))?;
        Ok(Incarnation {
            folder: folder.to_owned(),
            generation,
            own,
            ended: Vec::new(),
        })
    }

    /// Which life this is.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The earlier lives that still run, the latest first. The locks of those that have ended are kept, and given with
    /// [`Incarnation::take_ended`].
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn earlier(&mut self) -> io::Result<Vec<Predecessor>> {
        let mut running = Vec::new();
        for generation in locks(&self.folder)?
            .into_iter()
            .rev()
            .filter(|found| *found < self.generation)
        {
            if self.ended.iter().any(|(ended, _)| *ended == generation) {
                continue;
            }
            match lock(&self.folder, generation)? {
                Lock::Taken(file) => self.ended.push((generation, file)),
                Lock::Held(mut file) => {
                    let marks = marks(&mut file)?;
                    let settled = marks.iter().any(|mark| [OVER, FENCED].contains(mark));
                    running.push(Predecessor {
                        generation,
                        settled,
                    });
                }
                Lock::Gone => {}
            }
        }
        Ok(running)
    }

    /// Whether a life that was seen to run has ended.
    pub fn has_ended(&self, generation: Generation) -> bool {
        self.ended.iter().any(|(ended, _)| *ended == generation)
    }

    /// What earlier lives that have ended left is this one's now: nobody need look for them any more.
    pub fn forget_ended(&mut self) {
        for (generation, _lock) in self.ended.drain(..) {
            // Removed while it is locked; one that stays is found free by the next life.
            let _ = std::fs::remove_file(path(&self.folder, generation));
            if generation == Generation(0) {
                let _ = std::fs::remove_file(self.folder.join(BEFORE_NEXT));
            }
        }
    }

    /// Tells an earlier life that this one has come up beside it.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn announce(&self, earlier: Generation) -> io::Result<()> {
        if earlier == Generation(0) {
            return File::create(self.folder.join(BEFORE_NEXT)).map(|_| ());
        }
        self.mark(earlier, BESIDE)
    }

    /// Asks an earlier life to hand over.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn ask(&self, earlier: Generation) -> io::Result<()> {
        self.mark(earlier, ASKED)
    }

    /// Keeps an earlier life from deciding anything more. One from before there were generations would not find it.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn fence(&self, earlier: Generation) -> io::Result<()> {
        self.mark(earlier, FENCED)
    }

    fn mark(&self, earlier: Generation, mark: u8) -> io::Result<()> {
        if earlier == Generation(0) {
            return Ok(());
        }
        OpenOptions::new()
            .append(true)
            .open(path(&self.folder, earlier))?
            .write_all(&[mark])
    }

    /// Says that this life has handed over.
    ///
    /// # Errors
    /// The mark cannot be written.
    pub fn over(&mut self) -> io::Result<()> {
        self.own.write_all(&[OVER])
    }

    /// What later lives want. One look at a length where none ever came up; a file that cannot be read wants nothing.
    pub fn wanted(&mut self) -> Wanted {
        if self.own.metadata().map_or(0, |own| own.len()) == 0 {
            return Wanted::default();
        }
        let marks = marks(&mut self.own).unwrap_or_default();
        let hand_over = marks.iter().any(|mark| [ASKED, FENCED].contains(mark));
        Wanted {
            beside: marks.contains(&BESIDE),
            hand_over,
        }
    }

    /// Whether a later life runs beside this one.
    pub fn has_successor(&self) -> bool {
        let later = locks(&self.folder)
            .unwrap_or_default()
            .into_iter()
            .filter(|g| *g > self.generation);
        later
            .rev()
            .any(|later| matches!(lock(&self.folder, later), Ok(Lock::Held(_))))
    }

    /// Takes a later place, after lives that came up beside this one and have ended; gives it if there were any.
    ///
    /// # Errors
    /// Of the folder.
    pub fn renew(&mut self) -> io::Result<Option<Generation>> {
        let mut ended = Vec::new();
        for later in locks(&self.folder)?
            .into_iter()
            .filter(|found| *found > self.generation)
        {
            match lock(&self.folder, later)? {
                Lock::Taken(file) => ended.push((later, file)),
                Lock::Held(_) => return Ok(None),
                Lock::Gone => {}
            }
        }
        if ended.is_empty() {
            return Ok(None);
        }
        let (generation, own) = place(&self.folder, self.generation)?;
        let before = std::mem::replace(&mut self.own, own);
        ended.push((std::mem::replace(&mut self.generation, generation), before));
        self.ended.extend(ended);
        Ok(Some(generation))
    }
}

/// Makes and locks the file of the next generation.
fn place(folder: &Path, after: Generation) -> io::Result<(Generation, File)> {
    let mut generation = locks(folder)?
        .into_iter()
        .chain([latest(folder)?, after])
        .max()
        .unwrap_or_default();
    loop {
        generation = generation.next();
        let made = OpenOptions::new()
            .create_new(true)
            .read(true)
            .append(true)
            .open(path(folder, generation));
        let file = match made {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => continue,
            Err(error) => return Err(error),
        };
        match file.try_lock() {
            // Where the system has no such locks at all, one life at a time is the platform's affair.
            Ok(()) | Err(TryLockError::Error(_)) => return Ok((generation, file)),
            // Another life found it before it was locked, and takes it for one that has ended.
            Err(TryLockError::WouldBlock) => continue,
        }
    }
}

enum Lock {
    Taken(File),
    Held(File),
    Gone,
}

fn lock(folder: &Path, generation: Generation) -> io::Result<Lock> {
    let file = match OpenOptions::new()
        .read(true)
        .append(true)
        .open(path(folder, generation))
    {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Lock::Gone),
        Err(error) => return Err(error),
    };
    Ok(match file.try_lock() {
        Ok(()) | Err(TryLockError::Error(_)) => Lock::Taken(file),
        Err(TryLockError::WouldBlock) => Lock::Held(file),
    })
}

fn marks(file: &mut File) -> io::Result<Vec<u8>> {
    let mut marks = Vec::new();
    file.rewind()?;
    file.read_to_end(&mut marks)?;
    Ok(marks)
}

/// The generations of the lock files that stand in a folder, in their order.
fn locks(folder: &Path) -> io::Result<Vec<Generation>> {
    let mut found = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let name = file?.file_name();
        let Some(name) = name.to_str() else { continue };
        let number = if name == BEFORE {
            Some(0)
        } else {
            name.strip_prefix(PREFIX).and_then(|n| n.parse().ok())
        };
        found.extend(number.map(Generation));
    }
    found.sort_unstable();
    Ok(found)
}

fn path(folder: &Path, generation: Generation) -> PathBuf {
    match generation {
        Generation(0) => folder.join(BEFORE),
        Generation(number) => folder.join(format!("{PREFIX}{number}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("marblefall-life-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    #[test]
    fn lives_see_each_other_for_as_long_as_they_run() {
        let folder = folder("see");
        let mut first = Incarnation::claim(&folder).unwrap();
        assert_eq!(first.earlier().unwrap(), []);
        assert!(!first.has_successor());
        let mut second = Incarnation::claim(&folder).unwrap();
        let one = Predecessor {
            generation: first.generation(),
            settled: false,
        };
        assert_eq!(second.earlier().unwrap(), [one]);
        assert!(first.has_successor());
        first.over().unwrap();
        assert!(second.earlier().unwrap()[0].settled);
        drop(first);
        assert_eq!(second.earlier().unwrap(), []);
        assert!(second.has_ended(one.generation));
        second.forget_ended();
        assert_eq!(locks(&folder).unwrap(), [second.generation()]);
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn what_is_wanted_of_a_life_is_found_by_it() {
        let folder = folder("wanted");
        let mut first = Incarnation::claim(&folder).unwrap();
        assert_eq!(first.wanted(), Wanted::default());
        let mut second = Incarnation::claim(&folder).unwrap();
        second.announce(first.generation()).unwrap();
        assert_eq!(
            first.wanted(),
            Wanted {
                beside: true,
                hand_over: false
            }
        );
        second.fence(first.generation()).unwrap();
        assert_eq!(
            first.wanted(),
            Wanted {
                beside: true,
                hand_over: true
            }
        );
        assert!(
            second.earlier().unwrap()[0].settled,
            "who is fenced off decides nothing"
        );
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_life_whose_successor_died_takes_a_place_after_it() {
        let folder = folder("renew");
        let mut first = Incarnation::claim(&folder).unwrap();
        assert_eq!(first.renew().unwrap(), None, "nobody came up beside it");
        let second = Incarnation::claim(&folder).unwrap();
        assert_eq!(first.renew().unwrap(), None, "the other one runs");
        let dead = second.generation();
        drop(second);
        let renewed = first.renew().unwrap().unwrap();
        assert!(renewed > dead);
        first.forget_ended();
        assert_eq!(locks(&folder).unwrap(), [renewed]);
        assert_eq!(
            Incarnation::claim(&folder).unwrap().earlier().unwrap()[0].generation,
            renewed
        );
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn an_earlier_program_is_waited_for_and_told_its_way() {
        let folder = folder("before");
        std::fs::create_dir_all(&folder).unwrap();
        let before = File::create(folder.join(BEFORE)).unwrap();
        before.try_lock().unwrap();
        let mut life = Incarnation::claim(&folder).unwrap();
        let earlier = life.earlier().unwrap();
        assert_eq!(
            earlier,
            [Predecessor {
                generation: Generation(0),
                settled: false
            }]
        );
        life.announce(Generation(0)).unwrap();
        life.fence(Generation(0)).unwrap();
        assert!(folder.join(BEFORE_NEXT).exists());
        assert!(
            !life.earlier().unwrap()[0].settled,
            "it would not find a fence"
        );
        drop(before);
        assert_eq!(life.earlier().unwrap(), []);
        life.forget_ended();
        assert!(!folder.join(BEFORE).exists() && !folder.join(BEFORE_NEXT).exists());
        let _ = std::fs::remove_dir_all(&folder);
    }
}
