//! Detection of storage that has lost acknowledged writes, and the admission of such a voter as a new one.
//!
//! A starting voter sends its storage version to the others ([`VoterMessage::Hello`]). It participates once enough of them
//! have responded that they have recorded no later version. If one has recorded a later version, the storage was lost or
//! restored from an old copy. The voter then takes a new [`StorageId`] and requests admission. The leader admits it by
//! beginning a new configuration.

use super::{KnownStorage, Participation, Voter, VoterAction, VoterMessage, HELLO_INTERVAL};
use crate::identifiers::{MemberId, StorageId, StorageVersion};
use crate::persistent_state::PersistentState;
use crate::replicated_state::{LogEntry, ReplicatedState};
use marblefall_time::Time;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::messages::Message;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// Multiplier of the linear congruential generator that derives the identity of each further new storage.
const ID_MULTIPLIER: u64 = 6_364_136_223_846_793_005;
/// Increment of the linear congruential generator.
const ID_INCREMENT: u64 = 1;

impl Voter {
    /// Records another voter's storage version, and responds with the latest version that was recorded.
    pub(super) fn handle_hello(
        &mut self,
        now: Time,
        from: MemberId,
        received: StorageVersion,
        configuration: u32,
        actions: &mut Vec<VoterAction>,
    ) {
        let mut state = self.storage.state_mut();
        // Before the first configuration no voter has acknowledged anything, so a lost storage can be replaced.
        let is_replaced = |known: &StorageVersion| known.id != received.id;
        if state.configuration == 0 && state.peers.get(&from).is_some_and(is_replaced) {
            state.peers.remove(&from);
        }
        let known = match state.peers.entry(from) {
            Entry::Vacant(vacant) => {
                self.storage.mark_unsaved();
                *vacant.insert(received)
            }
            Entry::Occupied(occupied) => {
                let known = occupied.into_mut();
                if known.id == received.id {
                    known.write_count = known.write_count.max(received.write_count);
                }
                *known
            }
        };
        let response = VoterMessage::KnownStorage(KnownStorage {
            own: state.storage.id,
            configuration: state.configuration,
            known,
        });
        let is_behind = configuration < state.configuration;
        drop(state);
        actions.push(VoterAction::Send(from, response));
        if is_behind {
            self.send_configuration(now, from, actions);
        }
    }

    /// Handles a response to [`VoterMessage::Hello`]. The voter participates once enough voters have responded, or replaces
    /// its storage if one of them has recorded a later version.
    pub(super) fn handle_known_storage(
        &mut self,
        now: Time,
        from: MemberId,
        response: KnownStorage,
        actions: &mut Vec<VoterAction>,
    ) {
        let Participation::Recovering(responded) = &mut self.participation else {
            return;
        };
        let mut state = self.storage.state_mut();
        let own = state.storage;
        if response.known.id != own.id || response.known.write_count > own.write_count {
            drop(state);
            return self.replace_storage(now, response.known, actions);
        }
        if let Entry::Vacant(unknown) = state.peers.entry(from) {
            unknown.insert(StorageVersion {
                id: response.own,
                write_count: 0,
            });
            self.storage.mark_unsaved();
        }
        let has_configuration = state.configuration > 0;
        drop(state);
        responded.insert(from);
        let required = match has_configuration {
            true => self.voters.len() / 2,
            // Before the first configuration all must respond: a voter that does not respond may have lost its storage.
            false if response.configuration == 0 => self.voters.len() - 1,
            false => return,
        };
        if responded.len() >= required {
            self.participate(now, actions);
        }
    }

    /// Starts to participate, and begins the first configuration if there is none yet.
    pub(super) fn participate(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        let mut state = self.storage.state_mut();
        if state.configuration == 0 {
            let peers = state.peers.iter();
            let mut voters: BTreeMap<MemberId, StorageId> = peers
                .map(|(member, storage)| (*member, storage.id))
                .collect();
            voters.insert(self.own_id, state.storage.id);
            state.begin_configuration(1, ReplicatedState::new(voters));
            self.storage.mark_unsaved();
        }
        drop(state);
        self.participation = Participation::Participating;
        self.start_log(now);
        actions.push(VoterAction::Log(
            "voter-participates",
            format!(
                "this voter participates in configuration {}",
                self.status().configuration
            ),
        ));
    }

    /// Sends the current configuration to a voter with an earlier one, at most once per [`HELLO_INTERVAL`].
    pub(super) fn send_configuration(
        &mut self,
        now: Time,
        to: MemberId,
        actions: &mut Vec<VoterAction>,
    ) {
        let last_sent = self.configuration_sent_at.get(&to);
        if last_sent.is_some_and(|sent_at| now - *sent_at < HELLO_INTERVAL) {
            return;
        }
        let state = self.storage.state();
        if let Some(base) = state.base.clone() {
            self.configuration_sent_at.insert(to, now);
            let message = VoterMessage::Configuration(state.configuration, Box::new(base));
            actions.push(VoterAction::Send(to, message));
        }
    }

    /// Handles the configuration of another voter. Begins it if it is later than the current one and contains this voter.
    pub(super) fn handle_configuration(
        &mut self,
        now: Time,
        configuration: u32,
        base: ReplicatedState,
        actions: &mut Vec<VoterAction>,
    ) {
        let state = self.storage.state();
        let is_admitted = base.voters.get(&self.own_id) == Some(&state.storage.id);
        // A voter whose storage may be an old copy may already have participated in that configuration.
        let is_current = match &self.participation {
            Participation::Recovering(responded) => {
                state.configuration == 0 && responded.len() >= self.voters.len() / 2
            }
            Participation::Participating | Participation::AwaitingAdmission => true,
        };
        if configuration <= state.configuration || !is_admitted || !is_current {
            return;
        }
        drop(state);
        actions.push(VoterAction::Log(
            "voter-admitted",
            format!("this voter is admitted to configuration {configuration}"),
        ));
        self.begin_configuration(now, configuration, base, actions);
    }

    /// Admits a voter whose storage was replaced, by beginning a new configuration.
    pub(super) fn handle_admission_request(
        &mut self,
        now: Time,
        member: MemberId,
        id: StorageId,
        actions: &mut Vec<VoterAction>,
    ) {
        if self.state.voters.get(&member) == Some(&id) {
            return self.send_configuration(now, member, actions);
        }
        let mut voters = self.state.voters.clone();
        voters.insert(member, id);
        if self.reconfigure(voters) {
            actions.push(VoterAction::Log(
                "voter-admission",
                format!("member {} is admitted with a new storage", member.0),
            ));
        }
    }

    /// Records the number of writes to another voter's storage.
    pub(super) fn record_write_count(
        &mut self,
        from: MemberId,
        write_count: u64,
        message: &Message<LogEntry>,
    ) {
        let mut state = self.storage.state_mut();
        let known = state.peers.get_mut(&from);
        let Some(known) = known.filter(|known| known.write_count < write_count) else {
            return;
        };
        known.write_count = write_count;
        // The number of a write on which a majority depends must survive a restart of this voter.
        let acknowledges = match message {
            Message::SequencePaxos(paxos) => {
                matches!(paxos.msg, PaxosMsg::Accepted(_) | PaxosMsg::Promise(_))
            }
            Message::BLE(_) => false,
        };
        if acknowledges {
            self.storage.mark_unsaved();
        }
    }

    /// Replaces the storage with a new one. The voter must not vote before its admission, because its promises and its log
    /// are lost.
    fn replace_storage(
        &mut self,
        now: Time,
        known: StorageVersion,
        actions: &mut Vec<VoterAction>,
    ) {
        let mut state = self.storage.state_mut();
        let cause = if known.id != state.storage.id {
            "a different storage of this voter"
        } else {
            "a later version of this voter's storage"
        };
        *state = PersistentState::new(state.owner, self.next_storage_id);
        drop(state);
        self.next_storage_id = derived_storage_id(self.next_storage_id);
        self.storage.mark_unsaved();
        self.participation = Participation::AwaitingAdmission;
        self.next_hello = now;
        actions.push(VoterAction::Log(
            "storage-amnesia",
            format!("another voter has recorded {cause}; this voter does not vote until it is admitted as a new one"),
        ));
    }
}

/// Returns the identity that follows `id` in the linear congruential generator's sequence.
fn derived_storage_id(id: StorageId) -> StorageId {
    let next = id.0.wrapping_mul(ID_MULTIPLIER).wrapping_add(ID_INCREMENT);
    StorageId(next)
}
