//! Simulation of the complete nodes of a group: the replicated log, leases, policy changes and storage. Faults are
//! connections that break or work in one direction only, nodes that are killed or suspended, storage that is lost or
//! restored from an old copy, and full disks. The checks must also detect mutants. A failure prints its seed and the end
//! of its trace.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;
#[path = "nodes/daemon.rs"]
mod daemon;
#[path = "nodes/driver.rs"]
mod driver;
#[path = "nodes/faults.rs"]
mod faults;
#[path = "nodes/link.rs"]
mod link;
#[path = "nodes/mutant.rs"]
mod mutant;
#[path = "nodes/operators.rs"]
mod operators;
#[path = "nodes/simulation.rs"]
mod simulation;

use common::{assert_all_detected, catch_failure, Run, Summary, MS};
use marblefall_coordination::identifiers::{MemberId, Revision, StorageId};
use marblefall_coordination::persistent_state::{DecodeError, PersistentState};
use marblefall_coordination::settings::PartitionPolicy;
use mutant::Mutant;
use simulation::{GroupSize, Simulation, OWNER};

/// Number of steps with injected faults.
const STEPS: u32 = 8000;

fn run_seed(
    seed: u64,
    size: GroupSize,
    partition_policy: PartitionPolicy,
    mutant: Mutant,
) -> Result<Summary, String> {
    let mut simulation = Simulation::new(seed, size, partition_policy, mutant);
    let run = Run {
        changes: catch_failure(|| simulation.run(STEPS)),
        acts: simulation.invariants.act_count(),
        title: format!("seed {seed}, {size:?}, {partition_policy:?}"),
        trace: simulation.trace,
    };
    run.finish()
}

fn number_from_env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_faults() {
    let sizes = [(3, 3), (5, 3), (6, 5), (2, 1)];
    let mut total = Summary {
        changes: 0,
        acts: 0,
    };
    let seeds = number_from_env("SEEDS", 24);
    let first = number_from_env("FROM", 0);
    for seed in first..first + seeds {
        let (members, voters) = sizes[(seed % 4) as usize];
        let partition_policy = match seed % 3 {
            0 => PartitionPolicy::Serve,
            _ => PartitionPolicy::Stop,
        };
        let size = GroupSize { members, voters };
        match run_seed(seed, size, partition_policy, Mutant::Unmodified) {
            Ok(summary) => total.add(&summary),
            Err(failure) => panic!("{failure}"),
        }
    }
    let Summary { changes, acts } = total;
    assert!(changes > 10 * seeds, "too few changes: {changes}");
    assert!(acts > 10_000 * seeds, "too few acts: {acts}");
}

/// The measured time is simulated, so it does not depend on the machine. Frames take 1 to 8 ms one way, and writes no time.
#[test]
fn change_of_300_members_takes_under_one_second() {
    let size = GroupSize {
        members: 300,
        voters: 5,
    };
    let mut simulation = Simulation::new(3, size, PartitionPolicy::Stop, Mutant::Unmodified);
    simulation.faults_enabled = false;
    simulation.run_until_common(Revision(1));
    simulation.propose_acceptable(MemberId(299));
    let elapsed_ms = simulation.run_until_common(Revision(2)) / MS;
    println!(
        "300 members: {elapsed_ms} ms of simulated time from the proposal until all act under it"
    );
    assert!(elapsed_ms < 1000, "{elapsed_ms} ms");
}

#[test]
fn every_mutant_is_detected() {
    let mutants = [
        Mutant::TrustsLostStorage,
        Mutant::TrustsRestoredStorage,
        Mutant::SendsBeforeWriting,
        Mutant::ActsAfterLease,
        Mutant::TrustsStoredPolicy,
        Mutant::ActsWhileQuiesced,
    ];
    let size = GroupSize {
        members: 4,
        voters: 3,
    };
    assert_all_detected(&mutants, |mutant| {
        (0..400).any(|seed| run_seed(seed, size, PartitionPolicy::Stop, mutant).is_err())
    });
}

#[test]
fn invalid_voter_state_file_is_rejected() {
    let state = PersistentState::new(OWNER, StorageId(3));
    let bytes = state.encode();
    let decode = |bytes: &[u8]| PersistentState::decode(bytes, OWNER);
    assert_eq!(decode(&bytes), Ok(state));
    let other_owner = PersistentState::decode(&bytes, OWNER + 1);
    assert_eq!(other_owner, Err(DecodeError::OtherOwner));
    assert_eq!(decode(b"something else"), Err(DecodeError::UnknownFormat));
    for cut in 8..bytes.len() {
        let result = decode(&bytes[..cut]);
        assert_eq!(result, Err(DecodeError::Corrupt), "cut at {cut}");
    }
    let mut newer = bytes.clone();
    newer[7] = 9;
    assert_eq!(decode(&newer), Err(DecodeError::NewerVersion));
    for position in 8..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[position] ^= 1;
        let result = decode(&flipped);
        assert_eq!(result, Err(DecodeError::Corrupt), "byte {position}");
    }
}
