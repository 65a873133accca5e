//! What voters send each other.
//!
//! Messages travel as `postcard`, also between two versions of the program: neither the order of variants nor that of
//! fields may change.

use crate::identifiers::{Epoch, StorageId, StorageVersion};
use crate::replicated_state::{LogEntry, ReplicatedState};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// What voters send each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VoterMessage {
    /// A voter that starts shows its storage and asks what others know of it.
    Hello {
        /// Its storage.
        storage: StorageVersion,
        /// Its configuration; 0 is none.
        configuration: u32,
    },
    /// The response to [`VoterMessage::Hello`].
    KnownStorage(KnownStorage),
    /// A voter whose storage has lost what it acknowledged asks to be admitted as a new one.
    AdmissionRequest(StorageId),
    /// The current configuration, and what its log began with.
    Configuration(u32, Box<ReplicatedState>),
    /// A message of the consensus library.
    Paxos(PaxosMessage),
    /// Has the receiver promised to nobody but the leader of this epoch? With the number of the round.
    ConfirmLeader(Epoch, u64),
    /// It had not when it received the question of this round.
    LeaderConfirmed(Epoch, u64),
}

/// What a voter knows of the storage of another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownStorage {
    /// The responding voter's own storage.
    pub own: StorageId,
    /// The responding voter's configuration.
    pub configuration: u32,
    /// The asking voter's storage as it was last shown.
    pub known: StorageVersion,
}

/// A message of the consensus library, with what it depends on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PaxosMessage {
    /// In which configuration.
    pub configuration: u32,
    /// The write of the sender's storage that it depends on.
    pub write_count: u64,
    /// The message.
    pub message: Message<LogEntry>,
}
