//! The number of a process incarnation, and the segments that belong to it.

/// How many segments one incarnation may write. At a hundred a second it would have to run for months.
const SEGMENTS_PER_GENERATION: u64 = 1_000_000_000;

/// The number of a process incarnation: later ones have higher numbers. Journals of program versions without generations
/// belong to 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation that a segment belongs to.
    pub fn of(segment: u64) -> Generation {
        Generation(segment / SEGMENTS_PER_GENERATION)
    }

    /// The next generation.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    /// The number of its first segment.
    pub(super) fn first_segment(self) -> u64 {
        self.0 * SEGMENTS_PER_GENERATION + 1
    }
}
