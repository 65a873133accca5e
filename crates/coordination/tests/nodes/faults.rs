//! Fault injection into the simulated group of nodes.

use super::common::MS;
use super::daemon::Daemon;
use super::mutant::Mutant;
use super::simulation::{Simulation, OWNER, WRITES_AHEAD};
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::persistent_state::PersistentState;
use rand::Rng;

/// Number of equally likely choices in a step. The first ones are faults, and the others inject nothing.
const CHOICES: u32 = 2600;
/// Maximum time for which a voter is down when its storage is lost or restored.
const MAX_DOWN_AFTER_STORAGE_FAULT: i64 = 200 * MS;

/// A fault in a voter's storage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StorageFault {
    Lost,
    /// The storage is restored from an old copy.
    Restored,
}

impl Simulation {
    /// Injects a random fault, or none in most steps.
    pub fn inject_fault(&mut self) {
        let member = self.random_member();
        let voter = MemberId(self.rng.random_range(0..self.voters));
        let duration = self.rng.random_range(50..3000) * MS;
        let (until, ms) = (self.now + duration, duration / MS);
        match self.rng.random_range(0..CHOICES) {
            0..=3 => {
                self.log(&format!("{member:?} is killed for {ms} ms"));
                self.kill(member, duration);
            }
            4..=5 => {
                self.log(&format!("{member:?} is suspended for {ms} ms"));
                self.daemon_mut(member).suspended_until = until;
            }
            6..=8 => self.partition_pair(member, until),
            9 => self.partition_from_all(member, until),
            10 => {
                self.log(&format!("the disk of {voter:?} is full for {ms} ms"));
                self.daemon_mut(voter).disk_full_until = until;
            }
            11 | 12 => self.damage_storage(voter, duration),
            13 => self.kill_all(),
            _ => {}
        }
    }

    fn partition_pair(&mut self, member: MemberId, until: i64) {
        let other = self.random_member();
        let one_way = self.rng.random_bool(0.5);
        self.log(&format!(
            "{member:?} is partitioned from {other:?} until {} ms, one way {one_way}",
            until / MS
        ));
        let directions = if one_way { 1 } else { 2 };
        for pair in [(member, other), (other, member)].iter().take(directions) {
            if let Some(link) = self.links.get_mut(pair) {
                link.partition(until);
            }
        }
    }

    fn partition_from_all(&mut self, member: MemberId, until: i64) {
        self.log(&format!(
            "{member:?} is partitioned from all until {} ms",
            until / MS
        ));
        for ((from, to), link) in &mut self.links {
            if *from == member || *to == member {
                link.partition(until);
            }
        }
    }

    fn kill_all(&mut self) {
        let down = self.rng.random_range(50..600) * MS;
        self.log(&format!("all are killed for {} ms", down / MS));
        for member in self.members() {
            let extra = self.rng.random_range(0..400) * MS;
            self.kill(member, down + extra);
        }
    }

    /// Loses or restores the storage of a voter, if all other voters participate. Otherwise the storage of a majority could
    /// be lost, which cannot be detected.
    fn damage_storage(&mut self, voter: MemberId, down: i64) {
        let is_intact = |(member, daemon): (&MemberId, &Daemon)| {
            let is_other_voter = member.0 < self.voters && *member != voter;
            !is_other_voter || daemon.participates() == Some(true)
        };
        let is_partitioned = self
            .links
            .values()
            .any(|link| link.is_partitioned(self.now));
        // The loss of an only voter's storage cannot be detected.
        if self.voters == 1 || !self.daemons.iter().all(is_intact) || is_partitioned {
            return;
        }
        let fault = match self.rng.random_bool(0.5) {
            true => StorageFault::Lost,
            false => StorageFault::Restored,
        };
        let mutant = self.mutant;
        let daemon = self.daemons.get_mut(&voter).unwrap();
        let backup = match daemon.backups.len() {
            0 => None,
            count => daemon.backups[self.rng.random_range(0..count)].clone(),
        };
        daemon.disk = match (mutant, fault) {
            (Mutant::TrustsLostStorage, StorageFault::Lost)
            | (Mutant::TrustsRestoredStorage, StorageFault::Restored) => {
                daemon.storage_with_undetectable_loss(fault, backup.as_deref())
            }
            (_, StorageFault::Lost) => None,
            (_, StorageFault::Restored) => backup,
        };
        daemon.backups.clear();
        let outcome = match fault {
            StorageFault::Lost => "lost",
            StorageFault::Restored => "restored from an old copy",
        };
        self.log(&format!("{voter:?} crashes and its storage is {outcome}"));
        // The voter restarts while the voters that have recorded its writes are still running.
        self.kill(voter, down.min(MAX_DOWN_AFTER_STORAGE_FAULT));
    }
}

impl Daemon {
    fn stored(&self) -> Option<PersistentState> {
        let bytes = self.disk.as_ref()?;
        PersistentState::decode(bytes, OWNER).ok()
    }

    /// For a mutant: returns storage that has lost acknowledged writes without the other voters being able to detect it.
    fn storage_with_undetectable_loss(
        &self,
        fault: StorageFault,
        backup: Option<&[u8]>,
    ) -> Option<Vec<u8>> {
        let current = self.stored()?;
        let write_count = current.storage.write_count + WRITES_AHEAD;
        let mut state = match fault {
            StorageFault::Lost => {
                let mut empty = PersistentState::new(OWNER, current.storage.id);
                empty.configuration = current.configuration;
                empty.base = current.base;
                empty.peers = current.peers;
                empty
            }
            StorageFault::Restored => backup
                .and_then(|bytes| PersistentState::decode(bytes, OWNER).ok())
                .unwrap_or(current),
        };
        state.storage.write_count = write_count;
        Some(state.encode())
    }

    /// For a mutant: loses a write without the other voters being able to detect it.
    pub fn lose_write(&mut self, written: &[u8]) {
        let Ok(written) = PersistentState::decode(written, OWNER) else {
            return;
        };
        if let Some(mut stored) = self.stored() {
            stored.storage.write_count = written.storage.write_count + WRITES_AHEAD;
            self.disk = Some(stored.encode());
        }
    }
}
