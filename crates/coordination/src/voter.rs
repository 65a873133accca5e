//! A voter: its part of the replicated log by the consensus library, when it leads and until when it is the only leader,
//! and whether its storage still has what it once acknowledged. Without I/O: what must be on disk is handed out before
//! what depends on it.
//!
//! Three protocols are added to the library's:
//! - *Leader leases* (`leadership`): a leader asks the other voters whether they have promised to anyone else since. If a
//!   majority has not, a later leader begins only after the question was sent.
//! - *Epochs* (`replication`): a leader's first entry marks where its epoch begins; entries that an earlier leader had
//!   under way are void from there on.
//! - *Amnesia detection* (`amnesia`): everything that a voter sends names how often its storage had been written, the
//!   others keep the highest number that they were shown, and a voter that starts participates only once enough others
//!   were shown no more than it has.

mod amnesia;
mod leadership;
mod message;
mod replication;

pub use message::{KnownStorage, PaxosMessage, VoterMessage};

use crate::identifiers::{Epoch, MemberId};
use crate::log_storage::LogStorage;
use crate::persistent_state::PersistentState;
use crate::replicated_state::{LeaderEntry, LogEntry, ReplicatedState};
use leadership::{Leadership, LeaseRound};
use marblefall_time::{Span, Time};
use omnipaxos::OmniPaxos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The consensus library's unit of time.
const TICK: Span = Span(100_000);
/// A voter that does not participate asks the others again after this.
const HELLO_INTERVAL: Span = Span(400_000);

/// What the voter's driver must do.
#[derive(Debug)]
pub enum VoterAction {
    /// Send this to another voter.
    Send(MemberId, VoterMessage),
    /// An entry of the log that counts is committed.
    Committed(LeaderEntry),
    /// This voter leads from now on: all that was committed before is in its state.
    Elected(Epoch),
    /// It does not lead any more.
    Deposed,
    /// It is the only leader until then.
    LeaseExtended(Time),
    /// Write a log line: a reason code, and what happened.
    Log(&'static str, String),
}

/// Whether a voter participates, and in which configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VotingStatus {
    /// Whether it participates.
    pub participates: bool,
    /// The configuration of voters; 0 is none.
    pub configuration: u32,
}

/// What a voter starts with.
#[derive(Clone, Debug)]
pub struct VoterSetup {
    /// Which member this is.
    pub own_id: MemberId,
    /// All voters.
    pub voters: BTreeSet<MemberId>,
    /// How long a leader is the only one after its question was sent.
    pub lease_duration: Span,
    /// What its storage holds.
    pub state: PersistentState,
    /// Drawn anew for each process.
    pub seed: u64,
}

/// Whether the voter participates.
#[derive(Clone, Debug, PartialEq)]
enum Participation {
    /// It asks what others know of its storage; these have responded.
    Recovering(BTreeSet<MemberId>),
    /// It participates.
    Participating,
    /// Its storage has lost what it acknowledged; it asks to be admitted as a new one.
    AwaitingAdmission,
}

/// A voter.
pub struct Voter {
    own_id: MemberId,
    voters: BTreeSet<MemberId>,
    lease_duration: Span,
    storage: LogStorage,
    participation: Participation,
    /// The consensus library; none where there is only one voter.
    paxos: Option<OmniPaxos<LogEntry, LogStorage>>,
    /// The only voter commits what it has written.
    is_only_voter: bool,
    state: ReplicatedState,
    /// Entries of the log that were applied to the state.
    applied: usize,
    next_tick: Time,
    next_hello: Time,
    leadership: Leadership,
    lease_rounds: Vec<LeaseRound>,
    last_lease_round: u64,
    next_lease_round: Time,
    /// When the configuration was last sent to other voters.
    configuration_sent: BTreeMap<MemberId, Time>,
    /// For the identity of a new storage.
    seed: u64,
}

impl Voter {
    /// A voter that starts.
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
            seed: setup.seed,
        };
        // The first write gives the storage its identity before anything is sent.
        voter.storage.mark_unsaved();
        if is_only_voter {
            voter.participate(now, &mut Vec::new());
        }
        voter
    }

    /// The state after all entries that are committed.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether it participates, and in which configuration.
    pub fn status(&self) -> VotingStatus {
        VotingStatus {
            participates: self.participation == Participation::Participating,
            configuration: self.storage.state().configuration,
        }
    }

    /// The content of the file that must be on disk before anything that was handed out since is sent. Counts as written.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        if !self.storage.is_unsaved() {
            return None;
        }
        self.storage.mark_saved();
        let mut state = self.storage.state_mut();
        state.storage.write_count += 1;
        Some(state.encode())
    }

    /// What [`Voter::take_unsaved`] gave was not written.
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

    /// The connection to another voter was established anew: what was sent on the old one may be lost.
    pub fn handle_connected(&mut self, member: MemberId, actions: &mut Vec<VoterAction>) {
        let node_id = self.paxos_id(member);
        if let (Some(paxos), Some(node_id)) = (&mut self.paxos, node_id) {
            paxos.reconnected(node_id);
        }
        if self.voters.contains(&member) {
            actions.push(VoterAction::Send(member, self.hello()));
        }
    }

    /// Time has passed.
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

    /// Another voter has sent a message.
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

    /// Appends to the log what the leader of this epoch decided, dated with its wall clock.
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

    /// A voter's number with the consensus library, which counts from 1.
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

    /// Sends to all other voters, once per interval.
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
