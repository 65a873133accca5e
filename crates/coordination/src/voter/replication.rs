//! The replicated log. Entries are appended through the consensus library, and applied to the state once the library has
//! decided them. A long log is truncated by beginning a new configuration with the same voters.

use super::leadership::Leadership;
use super::{Participation, PaxosMessage, Voter, VoterAction, VoterMessage};
use crate::identifiers::{MemberId, StorageId};
use crate::replicated_state::{LogEntry, ReplicatedState};
use marblefall_time::Time;
use omnipaxos::util::LogEntry as PaxosEntry;
use omnipaxos::{ClusterConfig, ServerConfig};
use std::collections::BTreeMap;

/// Number of ticks per heartbeat round of the consensus library.
const HEARTBEAT_TICKS: u64 = 4;
/// Number of ticks after which the consensus library resends lost messages.
const RESEND_TICKS: u64 = 8;
/// Number of entries that the consensus library buffers.
const PAXOS_BUFFER_SIZE: usize = 64;
/// Number of entries at which the log is truncated.
const MAX_LOG_LENGTH: usize = 96;

impl Voter {
    /// Appends an entry to the log. The entry is lost if this voter is not the leader or the configuration is ending.
    pub(super) fn propose(&mut self, entry: LogEntry) {
        if self.is_only_voter {
            self.storage.append_as_only_voter(entry);
        } else if let Some(paxos) = &mut self.paxos {
            // An error while the configuration is ending is ignored, because proposals are repeated.
            let _ = paxos.append(entry);
        }
    }

    /// Ends the current configuration. The next one has these voters. Returns whether this voter may end it.
    pub(super) fn reconfigure(&mut self, voters: BTreeMap<MemberId, StorageId>) -> bool {
        let is_permitted = self.leadership.is_leading()
            && self.participation == Participation::Participating
            && !self.storage.state().is_configuration_ending();
        if is_permitted {
            self.propose(LogEntry::ConfigurationEnded(voters));
        }
        is_permitted
    }

    /// Passes a message to the consensus library if it belongs to the current configuration.
    pub(super) fn handle_paxos(
        &mut self,
        now: Time,
        from: MemberId,
        received: PaxosMessage,
        actions: &mut Vec<VoterAction>,
    ) {
        let configuration = self.storage.state().configuration;
        if received.configuration < configuration {
            return self.send_configuration(now, from, actions);
        }
        let participates = self.participation == Participation::Participating;
        if received.configuration > configuration || !participates {
            return;
        }
        let message = received.message;
        self.record_write_count(from, received.write_count, &message);
        let is_addressed = Some(message.get_sender()) == self.paxos_id(from)
            && Some(message.get_receiver()) == self.paxos_id(self.own_id);
        if let Some(paxos) = self.paxos.as_mut().filter(|_| is_addressed) {
            paxos.handle_incoming(message);
        }
    }

    /// Applies the entries that the consensus library has decided, and sends its outgoing messages.
    pub(super) fn advance(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        if self.participation != Participation::Participating {
            return;
        }
        if self.is_only_voter {
            // Apply the entries of earlier processes before this process starts its own epoch.
            self.apply_decided(now, actions);
        }
        self.update_leadership(actions);
        self.apply_decided(now, actions);
        self.send_paxos_messages(actions);
    }

    /// Begins a configuration with an empty log that follows the state `base`.
    pub(super) fn begin_configuration(
        &mut self,
        now: Time,
        configuration: u32,
        base: ReplicatedState,
        actions: &mut Vec<VoterAction>,
    ) {
        if self.leadership.is_leading() {
            actions.push(VoterAction::Deposed);
        }
        self.leadership = Leadership::Follower;
        self.storage
            .state_mut()
            .begin_configuration(configuration, base);
        self.storage.mark_unsaved();
        self.participation = Participation::Participating;
        self.start_log(now);
    }

    /// Starts the consensus library with the stored log.
    pub(super) fn start_log(&mut self, now: Time) {
        let configuration = self.storage.state().configuration;
        self.state = self.storage.state().base_state();
        self.applied_entries = 0;
        self.leadership = Leadership::Follower;
        self.next_tick = now;
        self.next_lease_round = now;
        self.lease_rounds.clear();
        if self.is_only_voter {
            return;
        }
        let cluster = ClusterConfig {
            configuration_id: configuration,
            nodes: (1..=self.voters.len() as u64).collect(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: self.paxos_id(self.own_id).unwrap_or(1),
            election_tick_timeout: HEARTBEAT_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            buffer_size: PAXOS_BUFFER_SIZE,
            ..ServerConfig::default()
        };
        self.paxos = cluster.build_for_server(server, self.storage.clone()).ok();
    }

    fn apply_decided(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        for entry in self.decided_entries() {
            self.applied_entries += 1;
            let epoch_started = match &entry {
                LogEntry::EpochStarted(epoch) => Some(*epoch),
                LogEntry::Leader { .. } | LogEntry::ConfigurationEnded(_) => None,
            };
            let ended = matches!(entry, LogEntry::ConfigurationEnded(_));
            actions.extend(self.state.apply(entry).map(VoterAction::Committed));
            if ended {
                return self.begin_next_configuration(now, actions);
            }
            if let Some(epoch) = epoch_started {
                self.handle_epoch_started(now, epoch, actions);
            }
        }
        let is_long = self.storage.state().log_length() >= MAX_LOG_LENGTH;
        if is_long && self.state.pending.is_none() {
            self.reconfigure(self.state.voters.clone());
        }
    }

    /// Returns the entries that are decided and not applied yet.
    fn decided_entries(&self) -> Vec<LogEntry> {
        let Some(paxos) = &self.paxos else {
            return self.storage.state().entries_from(self.applied_entries);
        };
        let decided = paxos
            .read_decided_suffix(self.applied_entries)
            .unwrap_or_default();
        decided
            .into_iter()
            .filter_map(|entry| match entry {
                PaxosEntry::Decided(entry) => Some(entry),
                // Snapshots, stop signs and trimmed entries do not occur in this log.
                _ => None,
            })
            .collect()
    }

    /// Begins the configuration that follows the ended one, and sends it to the other voters.
    fn begin_next_configuration(&mut self, now: Time, actions: &mut Vec<VoterAction>) {
        let configuration = self.storage.state().configuration + 1;
        self.begin_configuration(now, configuration, self.state.clone(), actions);
        let others: Vec<MemberId> = self.other_voters().collect();
        for other in others {
            self.configuration_sent_at.remove(&other);
            self.send_configuration(now, other, actions);
        }
    }

    fn send_paxos_messages(&mut self, actions: &mut Vec<VoterAction>) {
        let Some(paxos) = &mut self.paxos else { return };
        let mut messages = Vec::new();
        paxos.take_outgoing_messages(&mut messages);
        let state = self.storage.state();
        // If there is an unsaved change, the messages depend on the next write.
        let write_count = state.storage.write_count + u64::from(self.storage.is_unsaved());
        for message in messages {
            let position = message.get_receiver().saturating_sub(1) as usize;
            let Some(receiver) = self.voters.iter().nth(position) else {
                continue;
            };
            let message = VoterMessage::Paxos(PaxosMessage {
                configuration: state.configuration,
                write_count,
                message,
            });
            actions.push(VoterAction::Send(*receiver, message));
        }
    }
}
