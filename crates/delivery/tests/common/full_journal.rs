//! A journal that accepts no record: its segment is full, and something is in the place of the next one.

use marblefall_delivery::core::journal::segment_numbers;
use std::fs;
use std::path::{Path, PathBuf};

/// The length of a segment of the journal, in bytes.
const SEGMENT_BYTES: usize = 128 * 1024;
/// Space left in the segment that is too short for any record, in bytes.
const REMAINDER_BYTES: usize = 12;
/// Messages that are submitted first: more than may be in flight, so that the last of them has no record of an attempt.
const SAMPLES: usize = 6;
/// The length of their bodies, in bytes.
const SAMPLE_BYTES: usize = 10;

/// A journal that accepts nothing until it is repaired.
pub struct FullJournal {
    /// What keeps the journal from its next segment.
    obstacle: PathBuf,
}

impl FullJournal {
    /// Fills the last segment of a journal by messages, each with a name and a body of a length.
    pub fn fill(folder: &Path, mut submit: impl FnMut(&str, usize)) -> FullJournal {
        let last = *segment_numbers(folder).unwrap().last().unwrap();
        let len = || fs::metadata(segment(folder, last)).unwrap().len() as usize;
        let mut overhead = 0;
        for sample in 0..SAMPLES {
            let before = len();
            submit(&format!("filler-{sample}"), SAMPLE_BYTES);
            overhead = len() - before - SAMPLE_BYTES;
        }
        let free = SEGMENT_BYTES - len();
        submit(
            &format!("filler-{SAMPLES}"),
            free - overhead - REMAINDER_BYTES,
        );
        assert_eq!(len(), SEGMENT_BYTES - REMAINDER_BYTES);
        let obstacle = segment(folder, last + 1);
        fs::create_dir(&obstacle).unwrap();
        FullJournal { obstacle }
    }

    /// Lets the journal accept records again.
    pub fn repair(&self) {
        fs::remove_dir(&self.obstacle).unwrap();
    }
}

fn segment(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("journal-{number:010}"))
}
