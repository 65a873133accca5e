//! Messages between voters.
//!
//! They are encoded as `postcard`, also between two versions of the program: the order of variants and fields must not
//! change.

use crate::identifiers::{Epoch, StorageId, StorageVersion};
use crate::replicated_state::{LogEntry, ReplicatedState};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VoterMessage {
    /// Requests what the receiver knows of the sender's storage. Sent by a voter that starts.
    Hello {
        /// The sender's storage.
        storage: StorageVersion,
        /// The number of the sender's configuration; 0 before the first one.
        configuration: u32,
    },
    /// The response to [`VoterMessage::Hello`].
    KnownStorage(KnownStorage),
    /// Requests admission with this new storage. Sent by a voter whose storage has lost acknowledged writes.
    AdmissionRequest(StorageId),
    /// The number of the current configuration, and the state before the first entry of its log.
    Configuration(u32, Box<ReplicatedState>),
    /// A message of the consensus library.
    Paxos(PaxosMessage),
    /// Requests a confirmation that the receiver's last promise is to the leader of this epoch; with the number of the
    /// round.
    ConfirmLeader(Epoch, u64),
    /// The confirmation of a round.
    LeaderConfirmed(Epoch, u64),
}

/// What a voter knows of another voter's storage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownStorage {
    /// The responding voter's own storage.
    pub own: StorageId,
    /// The number of the responding voter's configuration.
    pub configuration: u32,
    /// The requesting voter's storage, as last received from it.
    pub known: StorageVersion,
}

/// A message of the consensus library, with the configuration and the write that it depends on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PaxosMessage {
    /// The number of the configuration.
    pub configuration: u32,
    /// The number of the write of the sender's storage that the message depends on.
    pub write_count: u64,
    /// The message.
    pub message: Message<LogEntry>,
}
