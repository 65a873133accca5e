//! Messages between voters.
//!
//! The messages are encoded as `postcard`, also between daemons of different versions, so the order of variants and fields
//! must not change.

use crate::identifiers::{Epoch, StorageId, StorageVersion};
use crate::replicated_state::{LogEntry, ReplicatedState};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VoterMessage {
    /// Requests the storage version that the receiver has recorded for the sender. Sent by a starting voter.
    Hello {
        /// The sender's storage version.
        storage: StorageVersion,
        /// The number of the sender's configuration; 0 before the first one.
        configuration: u32,
    },
    /// Responds to [`VoterMessage::Hello`].
    KnownStorage(KnownStorage),
    /// Requests admission with this new storage. Sent by a voter whose previous storage has lost acknowledged writes.
    AdmissionRequest(StorageId),
    /// The number of the current configuration, and the state before the first entry of its log.
    Configuration(u32, Box<ReplicatedState>),
    /// A message of the consensus library.
    Paxos(PaxosMessage),
    /// Requests a confirmation that the receiver's last promise is to the leader of this epoch. The second field is the
    /// number of the confirmation round.
    ConfirmLeader(Epoch, u64),
    /// Confirms the round of this number to the leader of this epoch.
    LeaderConfirmed(Epoch, u64),
}

/// The storage version that a voter has recorded for another voter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownStorage {
    /// The identity of the responding voter's own storage.
    pub own: StorageId,
    /// The number of the responding voter's configuration.
    pub configuration: u32,
    /// The latest version of the requesting voter's storage that the responding voter has recorded.
    pub known: StorageVersion,
}

/// A message of the consensus library, with the configuration and the write that it depends on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PaxosMessage {
    /// The number of the sender's configuration.
    pub configuration: u32,
    /// The number of the write to the sender's storage that the message depends on.
    pub write_count: u64,
    /// The consensus library's message.
    pub message: Message<LogEntry>,
}
