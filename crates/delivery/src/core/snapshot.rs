//! What a courier knows of its destinations, as a file in its state folder: for its next life, which must not topple a
//! partner that was out when it died, and for staff. Only the form is here; whoever writes it does so beside the old
//! one and renames it over.

use marblefall_scheduler::DestinationId;
use serde::{Deserialize, Serialize};

/// How one destination stands. Times are Unix times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The destination's number.
    pub destination: u64,
    /// It has been out since then.
    pub out_since_ms: Option<i64>,
    /// It came back then and is being eased into service.
    pub back_since_ms: Option<i64>,
    /// It asked to be left alone until then.
    pub wait_until_ms: Option<i64>,
    /// Its usual call time, in milliseconds.
    pub mean_ms: Option<f32>,
    /// Calls a second that this courier delivers there as a rule.
    pub usual: f32,
    /// Messages for it that have not ended.
    pub held: u32,
    /// Calls that are out.
    pub out: u32,
    /// Whether it is in use; of one that is not, a record is kept.
    pub warm: bool,
}

impl Record {
    /// What stands for it in the core.
    pub fn id(&self) -> DestinationId {
        DestinationId(self.destination)
    }
}

/// Why a snapshot is not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// It is no snapshot.
    #[error("it is no snapshot of destinations")]
    Foreign,
    /// It was written by a version that is not this one.
    #[error("it is of version {0}, this program reads version {VERSION}")]
    Version(u16),
    /// It is not whole.
    #[error("it is torn: its checksum does not hold")]
    Torn,
}

const MAGIC: [u8; 4] = *b"MFds";
/// Raised when the records change their form.
pub const VERSION: u16 = 1;
/// Magic, version, checksum.
const HEAD: usize = 10;

/// Writes records down.
pub fn encode(records: &[Record]) -> Vec<u8> {
    // A vector takes all that is written to it.
    let payload = postcard::to_allocvec(records).unwrap_or_default();
    let sum = crc32fast::hash(&payload).to_le_bytes();
    [&MAGIC[..], &VERSION.to_le_bytes(), &sum, &payload].concat()
}

/// Reads them back.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, Unfit> {
    let (head, payload) = bytes.split_at_checked(HEAD).ok_or(Unfit::Torn)?;
    let (magic, rest) = head.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(Unfit::Foreign);
    }
    let (version, sum) = rest.split_at(2);
    let version = u16::from_le_bytes([version[0], version[1]]);
    if version != VERSION {
        return Err(Unfit::Version(version));
    }
    if crc32fast::hash(payload).to_le_bytes() != sum {
        return Err(Unfit::Torn);
    }
    postcard::from_bytes(payload).map_err(|_| Unfit::Torn)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_snapshot_is_read_whole_or_not_at_all() {
        let record = |n: u64| Record {
            destination: n << 40,
            out_since_ms: Some(-5).filter(|_| n.is_multiple_of(2)),
            mean_ms: Some(12.5),
            usual: 0.25,
            held: 3,
            warm: n > 3,
            ..Record::default()
        };
        let records: Vec<Record> = (0..20).map(record).collect();
        let bytes = encode(&records);
        assert_eq!(decode(&bytes), Ok(records));
        // A write that stopped at any byte, and a byte that was spoilt.
        for cut in 0..bytes.len() {
            assert!(decode(&bytes[..cut]).is_err(), "cut at {cut}");
            let mut spoilt = bytes.clone();
            spoilt[cut] ^= 0x10;
            assert!(decode(&spoilt).is_err(), "spoilt at {cut}");
        }
        let mut newer = bytes.clone();
        newer[4] = 2;
        assert_eq!(decode(&newer), Err(Unfit::Version(2)));
        assert_eq!(decode(b"something else altogether"), Err(Unfit::Foreign));
        assert_eq!(decode(&encode(&[])), Ok(Vec::new()));
    }
}
