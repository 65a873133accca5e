//! The number of a process incarnation, and the range of segment numbers that belongs to it.

/// Maximum number of segments that one incarnation may write: enough for months at a hundred segments a second.
const SEGMENTS_PER_GENERATION: u64 = 1_000_000_000;

/// The number of a process incarnation. Later incarnations have higher numbers. Journals of program versions without
/// generations belong to generation 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation that a segment belongs to.
    pub fn of(segment: u64) -> Generation {
        Generation(segment / SEGMENTS_PER_GENERATION)
    }

    /// Returns the next generation.
    pub fn next(self) -> Generation {
        Generation(self.0 + 1)
    }

    /// Returns the number of the first segment of this generation.
    pub(super) fn first_segment(self) -> u64 {
        self.0 * SEGMENTS_PER_GENERATION + 1
    }
}
