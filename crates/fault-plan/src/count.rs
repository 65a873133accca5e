//! Pseudo-random draws that decide which calls fail, and counts of seen calls and injected faults.

use crate::FaultKind;

/// Returns a pseudo-random number for one call of one process. It depends only on the seed, the kind and the call's
/// ordinal, so the scheduling of threads does not change it.
pub fn draw(seed: u64, kind: FaultKind, ordinal: u64) -> u64 {
    let mut mixed = seed ^ (kind.index() as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed = mixed.wrapping_add(ordinal.wrapping_mul(0xD134_2543_DE82_EF95));
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xE703_7ED1_A0B4_28DB);
    mixed ^= mixed >> 29;
    mixed.wrapping_mul(0x8EBC_6AF0_9C88_C6E3) >> 33
}

/// Number of calls that were eligible for a kind of fault, and of those that it was injected into.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls that were made while a fault of this kind was active.
    pub seen: u64,
    /// Calls that a fault of this kind was injected into.
    pub injected: u64,
}

/// Size of one count in the file, in bytes.
const COUNT_BYTES: usize = 2 * WORD_BYTES;
/// Size of one number in the file, in bytes. Numbers are little-endian.
const WORD_BYTES: usize = 8;

/// Size of the counts file, in bytes.
pub const COUNTS_LEN: usize = FaultKind::ALL.len() * COUNT_BYTES;

/// The counts of all kinds of faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts([Count; FaultKind::ALL.len()]);

impl Counts {
    /// Decodes the counts file of a process. Counts beyond the end of the file are zero.
    pub fn read(bytes: &[u8]) -> Counts {
        let mut counts = Counts::default();
        for (count, bytes) in counts.0.iter_mut().zip(bytes.chunks_exact(COUNT_BYTES)) {
            let (seen, injected) = bytes.split_at(WORD_BYTES);
            *count = Count {
                seen: read_word(seen),
                injected: read_word(injected),
            };
        }
        counts
    }

    /// Returns the count of a kind of fault.
    pub fn of(&self, kind: FaultKind) -> Count {
        self.0[kind.index()]
    }

    /// Iterates over the counts of all kinds, in the order of [`FaultKind::ALL`].
    pub fn iter(&self) -> impl Iterator<Item = (FaultKind, Count)> + '_ {
        FaultKind::ALL.iter().map(|kind| (*kind, self.of(*kind)))
    }

    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Counts) {
        for (total, count) in self.0.iter_mut().zip(&other.0) {
            total.seen += count.seen;
            total.injected += count.injected;
        }
    }
}

fn read_word(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_le_bytes)
}

#[cfg(test)]
mod tests;
