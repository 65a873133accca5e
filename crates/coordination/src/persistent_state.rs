//! A voter's persistent state: its replica of the log, and the storage versions by which a loss of storage is detected.
//!
//! The state is stored in one file, which is replaced atomically. The file contains a magic number, a version, a checksum,
//! and the state encoded as `postcard`. The encoding depends on the order of fields, which must not change.

use crate::identifiers::{MemberId, StorageId, StorageVersion};
use crate::replicated_state::{LogEntry, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the file format.
const VERSION: u8 = 1;
/// The first bytes of the file.
const MAGIC: &[u8; 7] = b"mfgroup";

/// The reason why a file cannot be decoded as the state of this voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file does not begin with the magic number.
    #[error("the file is not the state of a group's voter")]
    UnknownFormat,
    /// The file was written by a later version of the program.
    #[error("the file was written by a later version of the program")]
    NewerVersion,
    /// The checksum does not match, or the content cannot be decoded.
    #[error("the file is damaged")]
    Corrupt,
    /// The file belongs to another group or member.
    #[error("the file belongs to another group or another member")]
    OtherOwner,
}

/// A voter's persistent state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    /// A hash of the names of the group and the member.
    pub owner: u64,
    /// The identity of the storage, and its number of writes. Each message of the voter contains the number of the write
    /// that it depends on.
    pub storage: StorageVersion,
    /// The other voters' storage versions, as last received.
    pub peers: BTreeMap<MemberId, StorageVersion>,
    /// The number of the configuration of voters that the log belongs to; 0 before the first one.
    pub configuration: u32,
    /// The state before the first entry of the log.
    pub base: Option<ReplicatedState>,
    /// The ballot of the last promise.
    pub(crate) promise: Option<Ballot>,
    /// The ballot in which entries were last accepted.
    pub(crate) accepted_round: Option<Ballot>,
    /// The number of decided entries of the log.
    pub(crate) decided: usize,
    /// The entries of the current configuration's log, decided or not.
    pub(crate) log: Vec<LogEntry>,
}

impl PersistentState {
    /// Creates the state of a new storage.
    pub fn new(owner: u64, id: StorageId) -> PersistentState {
        PersistentState {
            owner,
            storage: StorageVersion { id, write_count: 0 },
            peers: BTreeMap::new(),
            configuration: 0,
            base: None,
            promise: None,
            accepted_round: None,
            decided: 0,
            log: Vec::new(),
        }
    }

    /// Begins a new configuration with an empty log that follows the state `base`.
    pub fn begin_configuration(&mut self, configuration: u32, base: ReplicatedState) {
        let peer = |(member, id): (&MemberId, &StorageId)| {
            let known = self.peers.get(member).filter(|known| known.id == *id);
            // A voter that was admitted with a new storage has not sent its version yet.
            let new = StorageVersion {
                id: *id,
                write_count: 0,
            };
            (*member, known.copied().unwrap_or(new))
        };
        let peers = base.voters.iter().map(peer).collect();
        *self = PersistentState {
            storage: self.storage,
            peers,
            configuration,
            base: Some(base),
            ..PersistentState::new(self.owner, self.storage.id)
        };
    }

    /// Returns the state before the first entry of the log. It is empty before the first configuration.
    pub fn base_state(&self) -> ReplicatedState {
        self.base
            .clone()
            .unwrap_or_else(|| ReplicatedState::new(BTreeMap::new()))
    }

    /// Returns the number of entries in the log, decided or not.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Returns the entries of the log from index `first` on.
    pub fn entries_from(&self, first: usize) -> Vec<LogEntry> {
        self.log
            .get(first..)
            .map_or_else(Vec::new, <[LogEntry]>::to_vec)
    }

    /// Returns whether the log contains an entry that ends this configuration, decided or not.
    pub fn is_configuration_ending(&self) -> bool {
        self.log
            .iter()
            .any(|entry| matches!(entry, LogEntry::ConfigurationEnded(_)))
    }

    /// Encodes the content of the file.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail, because the length of each sequence is known.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Decodes the content of this owner's file.
    ///
    /// # Errors
    /// The content has another format or a later version, is damaged, or belongs to another owner.
    pub fn decode(bytes: &[u8], owner: u64) -> Result<PersistentState, DecodeError> {
        let rest = bytes
            .strip_prefix(&MAGIC[..])
            .ok_or(DecodeError::UnknownFormat)?;
        let (&version, rest) = rest.split_first().ok_or(DecodeError::Corrupt)?;
        if version != VERSION {
            return Err(DecodeError::NewerVersion);
        }
        let (checksum, body) = rest.split_first_chunk::<4>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return Err(DecodeError::Corrupt);
        }
        let state: PersistentState =
            postcard::from_bytes(body).map_err(|_| DecodeError::Corrupt)?;
        if state.owner != owner {
            return Err(DecodeError::OtherOwner);
        }
        Ok(state)
    }
}
