//! A journal that accepts no record: its last segment is full, and the next one cannot be created because its name is
//! taken.

use marblefall_delivery::core::journal::segment_numbers;
use std::fs;
use std::path::{Path, PathBuf};

/// Length of a segment of the journal, in bytes.
const SEGMENT_BYTES: usize = 128 * 1024;
/// Space left in the segment, which is too short for any record, in bytes.
const REMAINDER_BYTES: usize = 12;
/// Number of messages that are submitted first. It exceeds the limit of attempts in flight, so that the last of them has no
/// record of an attempt.
const SAMPLE_COUNT: usize = 6;
/// Length of the body of each of these messages, in bytes.
const SAMPLE_BYTES: usize = 10;

/// A journal that accepts no record until it is repaired.
pub struct FullJournal {
    /// The folder that takes the name of the next segment.
    blocking_folder: PathBuf,
}

impl FullJournal {
    /// Fills the last segment of a journal with messages. `submit` receives the name and the body length of each message.
    pub fn fill(folder: &Path, mut submit: impl FnMut(&str, usize)) -> FullJournal {
        let last = *segment_numbers(folder).unwrap().last().unwrap();
        let len = || fs::metadata(segment_path(folder, last)).unwrap().len() as usize;
        let mut overhead = 0;
        for sample in 0..SAMPLE_COUNT {
            let before = len();
            submit(&format!("filler-{sample}"), SAMPLE_BYTES);
            overhead = len() - before - SAMPLE_BYTES;
        }
        let free = SEGMENT_BYTES - len();
        submit(
            &format!("filler-{SAMPLE_COUNT}"),
            free - overhead - REMAINDER_BYTES,
        );
        assert_eq!(len(), SEGMENT_BYTES - REMAINDER_BYTES);
        let blocking_folder = segment_path(folder, last + 1);
        fs::create_dir(&blocking_folder).unwrap();
        FullJournal { blocking_folder }
    }

    /// Lets the journal accept records again.
    pub fn repair(&self) {
        fs::remove_dir(&self.blocking_folder).unwrap();
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number:010}"))
}
