//! The encoding of the snapshot of destinations in the state folder.
//!
//! The next incarnation reads the snapshot, so that it does not overload an ejected destination. Operators read it as
//! well. A snapshot starts with a magic number, a version and a checksum. The records follow in the encoding of
//! `postcard`, so neither the order of their fields nor their types may change within a version.

use marblefall_scheduler::DestinationId;
use serde::{Deserialize, Serialize};

/// The state of one destination. Times are Unix times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DestinationRecord {
    /// Id of the destination.
    pub destination: u64,
    /// Start of the ejection; `None` if the destination is not ejected.
    pub ejected_since_ms: Option<i64>,
    /// Start of the recovery ramp; `None` if the destination is not recovering.
    pub recovering_since_ms: Option<i64>,
    /// End of the backoff that the destination requested; `None` if there is none.
    pub backoff_until_ms: Option<i64>,
    /// Mean latency in milliseconds; `None` if it is unknown.
    pub mean_latency_ms: Option<f32>,
    /// Calls per second that this instance usually delivers to the destination.
    pub baseline_rate: f32,
    /// Number of messages for the destination without a final outcome.
    pub pending: u32,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Whether the destination is in use; otherwise this is the record of an idle destination.
    pub active: bool,
}

impl DestinationRecord {
    /// Returns the id of the destination in the core.
    pub fn id(&self) -> DestinationId {
        DestinationId(self.destination)
    }
}

/// An error in the content of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file is not a snapshot.
    #[error("not a snapshot of destinations")]
    Foreign,
    /// The snapshot has the format of another version.
    #[error("unsupported snapshot version {0}; this program reads version {VERSION}")]
    Version(u16),
    /// The snapshot is incomplete or corrupt.
    #[error("torn snapshot: the checksum does not match")]
    Torn,
}

const MAGIC: [u8; 4] = *b"MFds";
/// Version of the format. It is incremented when the records change.
pub const VERSION: u16 = 1;
/// Length of the version number, in bytes.
const VERSION_BYTES: usize = 2;
/// Length of the magic number, the version and the checksum together, in bytes.
const HEADER_BYTES: usize = 10;

/// Encodes records.
pub fn encode(records: &[DestinationRecord]) -> Vec<u8> {
    // Writing to a vector cannot fail.
    let payload = postcard::to_allocvec(records).unwrap_or_default();
    let checksum = crc32fast::hash(&payload).to_le_bytes();
    [&MAGIC[..], &VERSION.to_le_bytes(), &checksum, &payload].concat()
}

/// Decodes records.
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
