//! What a voter keeps on disk: its part of the log, and how far it has shown others that it had come.
//!
//! It is one file that is replaced whole: a magic number, a version, a checksum, and the state as `postcard`, which goes by
//! the order of fields: that order may not change.

use crate::identifiers::{MemberId, StorageId, StorageVersion};
use crate::replicated_state::{LogEntry, ReplicatedState};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the file's form.
const VERSION: u8 = 1;
const MAGIC: &[u8; 7] = b"mfgroup";

/// Why a file is not the state of this voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It does not begin with the magic number.
    #[error("it is no file of a group")]
    UnknownFormat,
    /// A later program wrote it.
    #[error("a later version of the program wrote it")]
    NewerVersion,
    /// Its checksum does not fit, or its content cannot be read.
    #[error("it is damaged")]
    Corrupt,
    /// It is of a group or a member with another name.
    #[error("it is of another group or another member")]
    OtherOwner,
}

/// What is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    /// The group's and the member's names, as one number.
    pub owner: u64,
    /// Which storage this is, and how often it was written: all that a voter sends names the write that it depends on.
    pub storage: StorageVersion,
    /// The storage of the other voters, as they last showed it.
    pub peers: BTreeMap<MemberId, StorageVersion>,
    /// The configuration of voters that the log is of; 0 before there was any.
    pub configuration: u32,
    /// What the log of this configuration began with.
    pub base: Option<ReplicatedState>,
    pub(crate) promise: Option<Ballot>,
    pub(crate) accepted_round: Option<Ballot>,
    pub(crate) decided: usize,
    pub(crate) log: Vec<LogEntry>,
}

impl PersistentState {
    /// The state of a storage that is new.
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

    /// Begins another configuration: an empty log after this state.
    pub fn begin_configuration(&mut self, configuration: u32, base: ReplicatedState) {
        let peer = |(member, id): (&MemberId, &StorageId)| {
            let known = self.peers.get(member).filter(|known| known.id == *id);
            // A storage that was admitted as new has shown nothing yet.
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

    /// What the log began with: an empty state before there was a configuration.
    pub fn base_state(&self) -> ReplicatedState {
        self.base
            .clone()
            .unwrap_or_else(|| ReplicatedState::new(BTreeMap::new()))
    }

    /// How many entries the log has, decided or not.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// The entries of the log from this one on.
    pub fn entries_from(&self, first: usize) -> Vec<LogEntry> {
        self.log
            .get(first..)
            .map_or_else(Vec::new, <[LogEntry]>::to_vec)
    }

    /// Whether the end of this configuration is in the log, decided or not.
    pub fn is_configuration_ending(&self) -> bool {
        self.log
            .iter()
            .any(|entry| matches!(entry, LogEntry::ConfigurationEnded(_)))
    }

    /// The content of the file.
    pub fn encode(&self) -> Vec<u8> {
        // Cannot fail: the length of each sequence is known.
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        bytes
    }

    /// Reads what [`PersistentState::encode`] made.
    ///
    /// # Errors
    /// Where it is something else, damaged, of a later version, or of another owner.
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
