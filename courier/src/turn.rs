//! Which life of the process holds the lasting folder. When the platform replaces a process it starts the new
//! one beside the old, on the same folder: the journal must then have one writer at a time, or both lives
//! would replay and deliver the same messages. The holder keeps an advisory lock on a file there; the system
//! lets go of it however the process ends, SIGKILL included. A life that finds it held leaves a mark, so
//! that the holder, once told to end, hands over at once instead of serving out its last seconds.

use async_io::Timer;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The file whose lock is the folder.
const LOCK: &str = "life.lock";
/// The mark of a life that waits for the folder.
const NEXT: &str = "life.next";
/// How often a waiting life tries again; the old one's last writes are over well within it.
const AGAIN: Duration = Duration::from_millis(20);

/// The folder held by this life, for as long as the value lives.
#[derive(Debug)]
pub struct Turn {
    _lock: File,
}

/// How the folder stands when it is asked for.
#[derive(Debug)]
pub enum Asked {
    /// It is this life's now.
    Taken(Turn),
    /// Another life holds it.
    Held,
}

impl Turn {
    /// Takes the folder if no other life holds it, without waiting.
    ///
    /// # Errors
    /// The lock file cannot be opened or made in `folder`. Where the system has no such locks at all, the
    /// folder counts as taken: one life at a time is then the platform's affair.
    pub fn try_take(folder: &Path) -> io::Result<Asked> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Asked::Taken(Turn { _lock: lock })),
            Err(TryLockError::WouldBlock) => Ok(Asked::Held),
            Err(TryLockError::Error(_)) => Ok(Asked::Taken(Turn { _lock: lock })),
        }
    }

    /// Waits until the folder is this life's, with a mark meanwhile that a life waits for it.
    ///
    /// # Errors
    /// As [`Turn::try_take`], or the mark cannot be made.
    pub async fn take(folder: &Path) -> io::Result<Turn> {
        let mut marked = false;
        loop {
            if let Asked::Taken(turn) = Turn::try_take(folder)? {
                if marked {
                    // Gone already if the old life took it away; either way nobody waits now.
                    let _ = std::fs::remove_file(mark(folder));
                }
                return Ok(turn);
            }
            if !marked {
                File::create(mark(folder))?;
                marked = true;
            }
            Timer::after(AGAIN).await;
        }
    }

    /// Whether another life waits for the folder that this one holds.
    pub fn awaited(folder: &Path) -> bool {
        mark(folder).exists()
    }
}

fn mark(folder: &Path) -> PathBuf {
    folder.join(NEXT)
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("marblefall-turn-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        folder
    }

    #[test]
    fn a_second_life_waits_with_a_mark_until_the_first_lets_go() {
        let folder = folder("wait");
        let Asked::Taken(first) = Turn::try_take(&folder).unwrap() else { panic!("nobody held it") };
        assert!(matches!(Turn::try_take(&folder).unwrap(), Asked::Held));
        assert!(!Turn::awaited(&folder));
        async_io::block_on(async {
            let second = Turn::take(&folder);
            futures_lite::pin!(second);
            // Polled once, it finds the folder held and leaves its mark.
            assert!(future::poll_once(&mut second).await.is_none());
            assert!(Turn::awaited(&folder));
            drop(first);
            let _second = second.await.unwrap();
            assert!(!Turn::awaited(&folder), "who has it no longer waits");
            assert!(matches!(Turn::try_take(&folder).unwrap(), Asked::Held));
        });
        let _ = std::fs::remove_dir_all(&folder);
    }
}
