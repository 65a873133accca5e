//! The draws that decide which calls fail, and the counts of both.

use crate::FaultKind;

/// Returns the draw for one call of one process. It depends on the seed, the kind and the call's ordinal, and not on
/// threads.
pub fn draw(seed: u64, kind: FaultKind, ordinal: u64) -> u64 {
    let mut mixed = seed ^ (kind.index() as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = mixed.wrapping_add(ordinal.wrapping_mul(0xD134_2543_DE82_EF95));
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xE703_7ED1_A0B4_28DB);
    mixed ^= mixed >> 29;
    mixed.wrapping_mul(0x8EBC_6AF0_9C88_C6E3) >> 33
}

/// How often a kind of fault could be injected, and was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls while it was active.
    pub seen: u64,
    /// Calls that it was injected into.
    pub injected: u64,
}

/// Bytes of a count in the file: two words.
const COUNT_BYTES: usize = 2 * WORD_BYTES;
const WORD_BYTES: usize = 8;

/// Bytes of the file of counts.
pub const COUNTS_LEN: usize = FaultKind::ALL.len() * COUNT_BYTES;

/// Reads the counts that a process wrote, in the order of [`FaultKind::ALL`]. Words that are missing count as zero.
pub fn read_counts(bytes: &[u8]) -> Vec<(FaultKind, Count)> {
    let word = |at: usize| {
        bytes
            .get(at..at + WORD_BYTES)
            .and_then(|word| word.try_into().ok())
            .map_or(0, u64::from_le_bytes)
    };
    let count = |kind: &FaultKind| Count {
        seen: word(kind.index() * COUNT_BYTES),
        injected: word(kind.index() * COUNT_BYTES + WORD_BYTES),
    };
    FaultKind::ALL
        .iter()
        .map(|kind| (*kind, count(kind)))
        .collect()
}
