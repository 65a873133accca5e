//! Simulation of leases and the two-phase policy change, without the consensus library. Faults are members that are
//! partitioned, suspended or restarted, leaders that are deposed, messages that are lost or late, and clocks of different
//! speeds. The checks of the invariants in `docs/design/group.md` must also detect mutants.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;
#[path = "policy_change/elections.rs"]
mod elections;
#[path = "policy_change/faults.rs"]
mod faults;
#[path = "policy_change/mutant.rs"]
mod mutant;
#[path = "policy_change/network.rs"]
mod network;
#[path = "policy_change/simulated_member.rs"]
mod simulated_member;
#[path = "policy_change/simulation.rs"]
mod simulation;

use common::{assert_all_detected, catch_failure, Run, Summary};
use marblefall_coordination::identifiers::{MemberId, Policy, ProposalId, Revision};
use marblefall_coordination::replicated_state::LeaderEntry;
use marblefall_coordination::settings::PartitionPolicy;
use mutant::Mutant;
use simulation::{LeaderState, Simulation};

fn run_seed(
    seed: u64,
    members: u32,
    partition_policy: PartitionPolicy,
    mutant: Mutant,
) -> Result<Summary, String> {
    let mut simulation = Simulation::new(seed, members, partition_policy, mutant);
    let run = Run {
        changes: catch_failure(|| simulation.run()),
        acts: simulation.invariants.act_count(),
        title: format!("seed {seed}, {members} members, {partition_policy:?}"),
        trace: simulation.trace,
    };
    run.finish()
}

#[test]
fn invariants_hold_under_random_faults() {
    let mut total = Summary {
        changes: 0,
        acts: 0,
    };
    // With seeds 47 and 1776, messages for an earlier process are delivered to a later one.
    for seed in (0..200).chain([1776]) {
        for partition_policy in [PartitionPolicy::Stop, PartitionPolicy::Serve] {
            let members = 3 + (seed % 3) as u32;
            match run_seed(seed, members, partition_policy, Mutant::Unmodified) {
                Ok(summary) => total.add(&summary),
                Err(failure) => panic!("{failure}"),
            }
        }
    }
    let Summary { changes, acts } = total;
    assert!(changes > 2000, "too few changes: {changes}");
    assert!(acts > 5_000_000, "too few acts: {acts}");
}

#[test]
fn every_mutant_is_detected() {
    let mutants = [
        Mutant::ActsAfterLease,
        Mutant::ActsWhileQuiesced,
        Mutant::RestoresEarlierState,
        Mutant::IgnoresRejection,
        Mutant::LeadsAfterLease,
        Mutant::IgnoresCommittedOutcomes,
    ];
    assert_all_detected(&mutants, |mutant| {
        (0..40).any(|seed| run_seed(seed, 4, PartitionPolicy::Stop, mutant).is_err())
    });
}

#[test]
fn excluded_member_is_not_awaited_and_later_readmitted() {
    let mut simulation = Simulation::new(1, 3, PartitionPolicy::Serve, Mutant::Unmodified);
    let absent = MemberId(2);
    simulation.faults_enabled = false;
    simulation.start_all();
    simulation.run_steps(500);
    // The change waits for a member that is stopped and does not restart.
    simulation.stop(absent);
    simulation.step(Some(&Policy::from(&b"second"[..])));
    simulation.run_steps(3000);
    let waiting = LeaderState {
        committed: Revision(0),
        pending: Some(ProposalId(1)),
    };
    assert_eq!(simulation.leader_state(), waiting);
    let acted_under: Vec<Revision> = simulation.invariants.acts.keys().copied().collect();
    assert_eq!(acted_under, [Revision(0)], "the others continue to act");
    simulation.append_now(LeaderEntry::Excluded(absent));
    simulation.run_steps(200);
    let resolved = LeaderState {
        committed: Revision(1),
        pending: None,
    };
    assert_eq!(simulation.leader_state(), resolved);
    simulation.start(absent);
    simulation.run_steps(300);
    assert_eq!(simulation.lease_of(absent), Some(Revision(1)));
    assert!(simulation.log.contains(&LeaderEntry::Readmitted(absent)));
}
