//! The state machine of a voter: its replica of the log, which the consensus library maintains, leader election, the
//! leader's own lease, and the detection of lost storage. It performs no I/O. The state that must be on disk is returned
//! before the messages that depend on it.
//!
//! Three protocols are added to those of the library:
//! - *Leader leases* (`leadership`): a leader requests confirmations from the other voters that their last promise is to
//!   this leader. Confirmations by a majority prove that no later leader had been elected when the request was sent.
//! - *Epochs* (`replication`): a leader's first entry marks the start of its epoch. Entries of earlier leaders that follow
//!   it are void.
//! - *Amnesia detection* (`amnesia`): the messages of a voter contain the number of writes to its storage, and the other
//!   voters store the highest number that they receive. A starting voter participates only after enough others have
//!   confirmed that they have recorded no later write than its storage contains.

mod amnesia;
mod leadership;
mod message;
mod replication;

pub use message::{KnownStorage, PaxosMessage, VoterMessage};

use crate::identifiers::{Epoch, MemberId, StorageId};
use crate::log_storage::LogStorage;
use crate::persistent_state::PersistentState;
use crate::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use leadership::{Leadership, LeaseRound};
use marblefall_time::{Span, Time};
use omnipaxos::OmniPaxos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between ticks of the consensus library.
const TICK: Span = Span(100_000);
/// Interval at which a voter that does not participate repeats its requests to the other voters.
const HELLO_INTERVAL: Span = Span(400_000);

/// An action that the voter's driver must take.
#[derive(Debug)]
pub enum VoterAction {
    /// Send this message to another voter.
    Send(MemberId, VoterMessage),
    /// This leader's entry is committed and is not void.
    Committed(LeaderEntry),
    /// This voter is the leader of this epoch. Its state includes all committed entries.
    Elected(Epoch),
    /// This voter is no longer the leader.
    Deposed,
    /// The leader's own lease now ends at this time. Until then no other leader exists.
    LeaseExtended(Time),
    /// Write a log line with a reason code.
    Log(&'static str, String),
}

/// Whether a voter participates, and in which configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotingStatus {
    /// Whether the voter participates.
    pub participates: bool,
    /// The number of the configuration of voters; 0 before the first one.
    pub configuration: u32,
}

/// The parameters from which a voter is created.
#[derive(Clone, Debug)]
pub struct VoterSetup {
    /// The identity of this voter.
    pub own_id: MemberId,
    /// All voters, including this one.
    pub voters: BTreeSet<MemberId>,
    /// The duration of a leader's own lease.
    pub lease_duration: Span,
    /// The content of the voter's storage.
    pub state: PersistentState,
    /// A random number that is unique to this process. The identities of new storages are derived from it.
    pub seed: u64,
}

/// Participation of the voter in consensus.
#[derive(Clone, Debug, PartialEq)]
enum Participation {
    /// The voter is checking with the other voters that its storage is current. Contains the voters that have confirmed it.
    Recovering(BTreeSet<MemberId>),
    /// The voter votes and replicates the log.
    Participating,
    /// The voter's storage has lost acknowledged writes. The voter requests admission as a new voter.
    AwaitingAdmission,
}

/// The state machine of one voter.
pub struct Voter {
    own_id: MemberId,
    voters: BTreeSet<MemberId>,
    lease_duration: Span,
    storage: LogStorage,
    participation: Participation,
    /// The consensus library; `None` before the voter participates, and for an only voter.
    paxos: Option<OmniPaxos<LogEntry, LogStorage>>,
    /// Whether the group has no other voter. An only voter commits entries without the consensus library.
    is_only_voter: bool,
    /// The state after all applied entries.
    state: ReplicatedState,
    /// The number of entries of the log that are applied to the state.
    applied_entries: usize,
    /// Time of the next tick of the consensus library.
    next_tick: Time,
    /// Time of the next request to the other voters, while this voter does not participate.
    next_hello: Time,
    leadership: Leadership,
    /// Recent confirmation rounds that a majority has not confirmed.
    lease_rounds: Vec<LeaseRound>,
    /// The number of the last round.
    last_lease_round: u64,
    next_lease_round: Time,
    /// Time at which the configuration was last sent to each other voter.
    configuration_sent_at: BTreeMap<MemberId, Time>,
    /// The identity of the storage that replaces the current one if that has lost writes.
    next_storage_id: StorageId,
}

impl Voter {
    /// Creates the voter of a starting process.
    pub fn new(setup: VoterSetup, now: Time) -> Voter {
        let is_only_voter = setup.voters.len() == 1;
        let mut voter = Voter {
            own_id: setup.own_id,
            voters: setup.voters,
            lease_duration: setup.lease_duration,
            state: setup.state.base_state(),
            storage: LogStorage::new(setup.state),
            participation: Participation::Recovering(BTreeSet::new()),
            paxos: None,
            is_only_voter,
            applied_entries: 0,
            next_tick: now,
            next_hello: now,
            leadership: Leadership::Follower,
            lease_rounds: Vec::new(),
            last_lease_round: 0,
            next_lease_round: now,
            configuration_sent_at: BTreeMap::new(),
            next_storage_id: StorageId(setup.seed),
        };
        // The identity of the storage must be on disk before anything is sent.
        voter.storage.mark_unsaved();
        if is_only_voter {
            voter.participate(now, &mut Vec::new());
        }
        voter
    }

    /// Returns the state after all committed entries.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns whether the voter participates, and in which configuration.
    pub fn status(&self) -> VotingStatus {
        VotingStatus {
            participates: self.participation == Participation::Participating,
            configuration: self.storage.state().configuration,
        }
    }

    /// Returns the content of the voter's file if it must be written before the messages returned so far are sent. The
    /// content then counts as written, unless [`Voter::handle_write_failed`] is called.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        if !self.storage.is_unsaved() {
            return None;
        }
        self.storage.mark_saved();
        let mut state = self.storage.state_mut();
        state.storage.write_count += 1;
        Some(state.encode())
    }

    /// Records that the content returned by [`Voter::take_unsaved`] could not be written.
    pub fn handle_write_failed(&mut self) {
        self.storage.mark_unsaved();
    }

    /// Returns the time at which [`Voter::tick`] must be called next.
    pub fn next_wake(&self) -> Time {
        match self.participation {
            Participation::Participating if self.is_only_voter => self.next_lease_round,
            Participation::Participating => self.next_tick,
            Participation::Recovering(_) | Participation::AwaitingAdmission => self.next_hello,
        }
    }

    /// Handles a new connection to another voter. Messages on the previous connection may be lost.
    pub fn handle_connected(&mut self, member: MemberId, actions: &mut Vec<VoterAction>) {
        let node_id = self.paxos_id(member);
        if let (Some(paxos), Some(node_id)) = (&mut self.paxos, node_id) {
            paxos.reconnected(node_id);
        }
        if self.voters.contains(&member) {
            actions.push(VoterAction::Send(member, self.hello()));
        }
    }

    /// Performs all work that is due at `now`.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        match &self.participation {
            Participation::Participating => {
                if self.next_tick <= now {
                    self.next_tick = now + TICK;
                    if let Some(paxos) = &mut self.paxos {
                        paxos.tick();
                    }
                }
                self.renew_lease(now, actions);
            }
            Participation::Recovering(_) => {
                let hello = self.hello();
                self.send_periodically(now, hello, actions);
            }
            Participation::AwaitingAdmission => {
                let request = VoterMessage::AdmissionRequest(self.storage.state().storage.id);
                self.send_periodically(now, request, actions);
            }
        }
        self.advance(now, actions);
    }

    /// Handles a message from another voter.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: MemberId,
        message: VoterMessage,
        actions: &mut Vec<VoterAction>,
    ) {
        if !self.voters.contains(&from) || from == self.own_id {
            return;
        }
        match message {
            VoterMessage::Hello {
                storage,
                configuration,
            } => self.handle_hello(now, from, storage, configuration, actions),
            VoterMessage::KnownStorage(response) => {
                self.handle_known_storage(now, from, response, actions);
            }
            VoterMessage::AdmissionRequest(id) => {
                self.handle_admission_request(now, from, id, actions);
            }
            VoterMessage::Configuration(configuration, base) => {
                self.handle_configuration(now, configuration, *base, actions);
            }
            VoterMessage::Paxos(received) => {
                self.handle_paxos(now, from, received, actions);
            }
            VoterMessage::ConfirmLeader(epoch, round) => {
                self.handle_confirm_leader(from, epoch, round, actions);
            }
            VoterMessage::LeaderConfirmed(epoch, round) => {
                self.handle_leader_confirmed(from, epoch, round, actions);
            }
        }
        self.advance(now, actions);
    }

    /// Appends an entry of the leader of `epoch` to the log. `unix_ms` is the time of the leader's wall clock.
    pub fn append(
        &mut self,
        now: Time,
        epoch: Epoch,
        unix_ms: i64,
        entry: LeaderEntry,
        actions: &mut Vec<VoterAction>,
    ) {
        self.propose(LogEntry::Leader {
            epoch,
            unix_ms,
            entry,
        });
        self.advance(now, actions);
    }

    fn other_voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        let voters = self.voters.iter().copied();
        voters.filter(|member| *member != self.own_id)
    }

    /// Returns the number that identifies a voter in the consensus library. Numbers start at 1.
    fn paxos_id(&self, member: MemberId) -> Option<u64> {
        let mut voters = self.voters.iter();
        let position = voters.position(|voter| *voter == member)?;
        Some(position as u64 + 1)
    }

    fn hello(&self) -> VoterMessage {
        let state = self.storage.state();
        VoterMessage::Hello {
            storage: state.storage,
            configuration: state.configuration,
        }
    }

    /// Sends a message to all other voters, once per [`HELLO_INTERVAL`].
    fn send_periodically(
        &mut self,
        now: Time,
        message: VoterMessage,
        actions: &mut Vec<VoterAction>,
    ) {
        if self.next_hello <= now {
            self.next_hello = now + HELLO_INTERVAL;
            self.send_to_others(&message, actions);
        }
    }

    fn send_to_others(&self, message: &VoterMessage, actions: &mut Vec<VoterAction>) {
        actions.extend(
            self.other_voters()
                .map(|other| VoterAction::Send(other, message.clone())),
        );
    }
}
