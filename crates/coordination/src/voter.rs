//! A voter: its part of the replicated log by the consensus library, its leadership and the leader's own lease, and the
//! detection of lost storage. It performs no I/O: the state that must be on disk is returned before the messages that
//! depend on it.
//!
//! Three protocols are added to the library's:
//! - *Leader leases* (`leadership`): a leader requests from the other voters a confirmation that their last promise is to it.
//!   Once a majority has confirmed, no later leader was elected before the request was sent.
//! - *Epochs* (`replication`): a leader's first entry marks the start of its epoch, after which entries of earlier leaders
//!   are void.
//! - *Amnesia detection* (`amnesia`): the messages of a voter contain the number of writes of its storage, of which the
//!   other voters store the highest. A starting voter participates only after enough others have confirmed that they know
//!   of no later write than its storage has.

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

/// The interval of the consensus library's ticks.
const TICK: Span = Span(100_000);
/// The interval at which a voter that does not participate repeats its requests to the others.
const HELLO_INTERVAL: Span = Span(400_000);

/// An action that the voter's driver must take.
#[derive(Debug)]
pub enum VoterAction {
    /// Send this message to another voter.
    Send(MemberId, VoterMessage),
    /// A leader's entry is committed, and is not void.
    Committed(LeaderEntry),
    /// This voter leads from now on. Its state includes all committed entries.
    Elected(Epoch),
    /// This voter no longer leads.
    Deposed,
    /// No other leader exists until this time.
    LeaseExtended(Time),
    /// Write a log line with a reason code.
    Log(&'static str, String),
}

/// Whether a voter participates, and in which configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotingStatus {
    /// Whether it participates.
    pub participates: bool,
    /// The number of the configuration of voters; 0 before the first one.
    pub configuration: u32,
}

/// The parts of a voter.
#[derive(Clone, Debug)]
pub struct VoterSetup {
    /// The member that the voter is.
    pub own_id: MemberId,
    /// All voters.
    pub voters: BTreeSet<MemberId>,
    /// The duration of a leader's own lease.
    pub lease_duration: Span,
    /// The content of its storage.
    pub state: PersistentState,
    /// A random number of this process, from which the identities of new storages are derived.
    pub seed: u64,
}

/// Whether the voter participates.
#[derive(Clone, Debug, PartialEq)]
enum Participation {
    /// It requests from the others what they know of its storage. These have confirmed it.
    Recovering(BTreeSet<MemberId>),
    /// It participates.
    Participating,
    /// Its storage has lost acknowledged writes. It requests to be admitted as a new voter.
    AwaitingAdmission,
}

/// A voter.
pub struct Voter {
    own_id: MemberId,
    voters: BTreeSet<MemberId>,
    lease_duration: Span,
    storage: LogStorage,
    participation: Participation,
    /// The consensus library; `None` before the voter participates, and if it is the only one.
    paxos: Option<OmniPaxos<LogEntry, LogStorage>>,
    /// The only voter commits without the library.
    is_only_voter: bool,
    state: ReplicatedState,
    /// The number of entries of the log that are applied to the state.
    applied: usize,
    next_tick: Time,
    next_hello: Time,
    leadership: Leadership,
    lease_rounds: Vec<LeaseRound>,
    last_lease_round: u64,
    next_lease_round: Time,
    /// When the configuration was last sent to each other voter.
    configuration_sent: BTreeMap<MemberId, Time>,
    /// The identity of the storage that replaces this one, if it has lost writes.
    next_storage_id: StorageId,
}

impl Voter {
    /// The voter of a starting process.
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
            applied: 0,
            next_tick: now,
            next_hello: now,
            leadership: Leadership::Follower,
            lease_rounds: Vec::new(),
            last_lease_round: 0,
            next_lease_round: now,
            configuration_sent: BTreeMap::new(),
            next_storage_id: StorageId(setup.seed),
        };
        // The identity of the storage must be on disk before anything is sent.
        voter.storage.mark_unsaved();
        if is_only_voter {
            voter.participate(now, &mut Vec::new());
        }
        voter
    }

    /// The state after all committed entries.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether the voter participates, and in which configuration.
    pub fn status(&self) -> VotingStatus {
        VotingStatus {
            participates: self.participation == Participation::Participating,
            configuration: self.storage.state().configuration,
        }
    }

    /// The content of the file, if it must be written before the messages returned so far are sent. It then counts as
    /// written, unless [`Voter::handle_write_failed`] is called.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        if !self.storage.is_unsaved() {
            return None;
        }
        self.storage.mark_saved();
        let mut state = self.storage.state_mut();
        state.storage.write_count += 1;
        Some(state.encode())
    }

    /// The content that [`Voter::take_unsaved`] returned could not be written.
    pub fn handle_write_failed(&mut self) {
        self.storage.mark_unsaved();
    }

    /// When [`Voter::tick`] must be called next.
    pub fn next_wake(&self) -> Time {
        match self.participation {
            Participation::Participating if self.is_only_voter => self.next_lease_round,
            Participation::Participating => self.next_tick,
            Participation::Recovering(_) | Participation::AwaitingAdmission => self.next_hello,
        }
    }

    /// The connection to another voter was established again. Messages on the former one may be lost.
    pub fn handle_connected(&mut self, member: MemberId, actions: &mut Vec<VoterAction>) {
        let node_id = self.paxos_id(member);
        if let (Some(paxos), Some(node_id)) = (&mut self.paxos, node_id) {
            paxos.reconnected(node_id);
        }
        if self.voters.contains(&member) {
            actions.push(VoterAction::Send(member, self.hello()));
        }
    }

    /// Executes what has become due.
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

    /// Handles a message of another voter.
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

    /// Appends an entry of the leader of this epoch to the log, dated with its wall clock.
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

    fn others(&self) -> impl Iterator<Item = MemberId> + '_ {
        let voters = self.voters.iter().copied();
        voters.filter(|member| *member != self.own_id)
    }

    /// The consensus library's number of a voter, counted from 1.
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
            self.others()
                .map(|other| VoterAction::Send(other, message.clone())),
        );
    }
}
