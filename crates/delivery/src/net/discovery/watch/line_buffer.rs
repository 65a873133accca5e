//! The lines of a watch. A chunk may end anywhere within a line. A list may be indented, so that it spans several
//! lines.

use super::super::{EndpointList, MAX_LIST_LEN};

/// The error of a line that is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LineError {
    #[error("the line is neither empty nor an endpoint list")]
    Malformed,
    #[error("the line is too long")]
    TooLong,
}

impl LineError {
    /// Returns the reason code for the log.
    pub(super) fn code(self) -> &'static str {
        match self {
            LineError::Malformed => "malformed",
            LineError::TooLong => "line-too-long",
        }
    }
}

/// A line of a watch, or a list of several lines.
pub(super) enum WatchLine {
    /// The line or the list is incomplete, and more bytes are needed.
    Incomplete,
    /// The line is empty, which is a heartbeat.
    Heartbeat,
    List(EndpointList),
}

/// Collects received bytes and splits them into lines.
#[derive(Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// The index at which the next line starts. The bytes before it belong to lines that were returned.
    start: usize,
    /// The number of bytes from `start` that contain no further line end.
    searched_len: usize,
}

impl LineBuffer {
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.start));
        self.bytes.extend(bytes);
    }

    /// Removes and returns the next line, or the next list if it spans several lines.
    ///
    /// # Errors
    /// Fails if the line is malformed or too long.
    pub(super) fn next(&mut self) -> Result<WatchLine, LineError> {
        while let Some(len) = self.next_line_end() {
            match parse(self.bytes[self.start..self.start + len].trim_ascii())? {
                WatchLine::Incomplete => self.searched_len = len,
                line => {
                    self.start += len;
                    self.searched_len = 0;
                    return Ok(line);
                }
            }
        }
        self.searched_len = self.bytes.len() - self.start;
        if self.searched_len > MAX_LIST_LEN {
            return Err(LineError::TooLong);
        }
        Ok(WatchLine::Incomplete)
    }

    /// Returns the number of bytes up to and including the next line end that was not searched yet.
    fn next_line_end(&self) -> Option<usize> {
        let from = self.start + self.searched_len;
        let line_end = self.bytes[from..].iter().position(|byte| *byte == b'\n')?;
        Some(self.searched_len + line_end + 1)
    }
}

/// Parses complete lines. A list is parsed only if its last line may be its end, rather than after each line.
fn parse(text: &[u8]) -> Result<WatchLine, LineError> {
    match (text.first(), text.last()) {
        (None, _) => Ok(WatchLine::Heartbeat),
        (Some(b'{'), Some(b'}')) => match serde_json::from_slice(text) {
            Ok(list) => Ok(WatchLine::List(list)),
            Err(error) if error.is_eof() => Ok(WatchLine::Incomplete),
            Err(_) => Err(LineError::Malformed),
        },
        (Some(b'{'), _) => Ok(WatchLine::Incomplete),
        (Some(_), _) => Err(LineError::Malformed),
    }
}

#[cfg(test)]
mod tests;
