//! Tests of shrinking.

use super::*;
use crate::schedule::{Action, ProcessSettings, Step};

fn settings() -> ProcessSettings {
    ProcessSettings {
        members: 3,
        voters: 3,
        partition_policy: "stop".to_owned(),
        lease_ms: 500,
        seconds: 5.0,
        clients: 1,
        pause_ms: 1,
        service_ms: 1,
        change_interval_ms: 100,
        fault_interval_ms: 100,
        max_fault_ms: 100,
        faults: Vec::new(),
    }
}

fn step(at_ms: u64) -> Step {
    Step {
        at_ms,
        action: Action::Suspend {
            member: 0,
            ms: at_ms,
        },
    }
}

#[test]
fn shrinking_keeps_only_the_steps_that_cause_the_violation() {
    let schedule = Schedule {
        seed: 1,
        processes: settings(),
        steps: (0..50).map(step).collect(),
    };
    // Only the two steps together violate the invariant.
    let violates = |schedule: &Schedule| {
        let has_step_at = |at_ms: u64| schedule.steps.iter().any(|step| step.at_ms == at_ms);
        if has_step_at(7) && has_step_at(31) {
            vec![Invariant::SinglePolicy]
        } else {
            Vec::new()
        }
    };
    let smallest = shrink(&schedule, Invariant::SinglePolicy, 500, violates);
    assert_eq!(smallest.steps, [step(7), step(31)]);
}
