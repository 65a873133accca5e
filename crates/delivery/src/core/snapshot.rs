//! The encoding of the snapshot of destinations in the state folder. The next incarnation reads it, so that it does not
//! overload a destination that is ejected, and operators do.
//!
//! A snapshot starts with a magic number, a version and a checksum. The records follow in the encoding of `postcard`, so
//! neither the order of their fields nor their types change within a version.

use marblefall_scheduler::DestinationId;
use serde::{Deserialize, Serialize};

/// State of one destination. Times are Unix times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DestinationRecord {
    /// The destination's id.
    pub destination: u64,
    /// It has been ejected since then.
    pub ejected_since_ms: Option<i64>,
    /// It has been recovering since then.
    pub recovering_since_ms: Option<i64>,
    /// The end of the backoff that it requested.
    pub backoff_until_ms: Option<i64>,
    /// Its mean latency, in milliseconds.
    pub mean_latency_ms: Option<f32>,
    /// Calls per second that this instance usually delivers there.
    pub baseline_rate: f32,
    /// Messages for it without a final outcome.
    pub pending: u32,
    /// Calls in flight.
    pub in_flight: u32,
    /// Whether it is in use; otherwise this is the record of an idle destination.
    pub active: bool,
}

impl DestinationRecord {
    /// The destination's id in the core.
    pub fn id(&self) -> DestinationId {
        DestinationId(self.destination)
    }
}

/// Why a snapshot cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file is not a snapshot.
    #[error("it is no snapshot of destinations")]
    Foreign,
    /// It has the format of another version.
    #[error("it is of version {0}, this program reads version {VERSION}")]
    Version(u16),
    /// It is incomplete or corrupt.
    #[error("it is torn: its checksum does not hold")]
    Torn,
}

const MAGIC: [u8; 4] = *b"MFds";
/// The version of the format, raised when the records change.
pub const VERSION: u16 = 1;
/// Length of the version number.
const VERSION_BYTES: usize = 2;
/// Length of the magic number, the version and the checksum.
const HEADER_BYTES: usize = 10;

/// Encodes records.
pub fn encode(records: &[DestinationRecord]) -> Vec<u8> {
    // Writing to a vector cannot fail.
    let payload = postcard::to_allocvec(records).unwrap_or_default();
    let checksum = crc32fast::hash(&payload).to_le_bytes();
    [&MAGIC[..], &VERSION.to_le_bytes(), &checksum, &payload].concat()
}

/// Reads records back.
///
/// # Errors
/// The bytes are not a complete snapshot of this version.
pub fn decode(bytes: &[u8]) -> Result<Vec<DestinationRecord>, SnapshotError> {
    let (header, payload) = bytes
        .split_at_checked(HEADER_BYTES)
        .ok_or(SnapshotError::Torn)?;
    let (magic, rest) = header.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(SnapshotError::Foreign);
    }
    let (version, checksum) = rest.split_at(VERSION_BYTES);
    let version = u16::from_le_bytes([version[0], version[1]]);
    if version != VERSION {
        return Err(SnapshotError::Version(version));
    }
    if crc32fast::hash(payload).to_le_bytes() != checksum {
        return Err(SnapshotError::Torn);
    }
    postcard::from_bytes(payload).map_err(|_| SnapshotError::Torn)
}

#[cfg(test)]
mod tests;
