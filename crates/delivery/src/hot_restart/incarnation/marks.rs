//! The marks in a lock file, one byte each.

use super::PredecessorState;
use std::fs::File;
use std::io::{self, Read, Seek};

/// Written by the incarnation itself: it has handed over.
pub(super) const HANDED_OVER: u8 = b'o';
/// Written by a successor: it has started as a standby.
pub(super) const STANDBY_STARTED: u8 = b'b';
/// Written by a successor: the incarnation must hand over.
pub(super) const HANDOVER_REQUESTED: u8 = b'a';
/// Written by a successor: the incarnation must not decide anything from then on.
pub(super) const FENCED: u8 = b'f';

/// Reads all marks in a lock file.
pub(super) fn read_marks(file: &mut File) -> io::Result<Vec<u8>> {
    let mut marks = Vec::new();
    file.rewind()?;
    file.read_to_end(&mut marks)?;
    Ok(marks)
}

/// Returns the state of a predecessor whose lock file contains these marks.
pub(super) fn predecessor_state(marks: &[u8]) -> PredecessorState {
    if marks
        .iter()
        .any(|mark| [HANDED_OVER, FENCED].contains(mark))
    {
        PredecessorState::Inactive
    } else {
        PredecessorState::Active
    }
}
