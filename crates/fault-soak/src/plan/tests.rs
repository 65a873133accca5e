//! Tests of the generation and the stored form of plans.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

/// A plan in the format that was stored before the kinds of faults were renamed.
const OLD_PLAN: &str = r#"seed = 1
processes = 4
seconds = 8

[[troubles]]
from_ms = 1500
lasts_ms = 700
target = 3
amount = 400
kind = "hold-up"

[[troubles]]
from_ms = 1600
lasts_ms = 700
target = 3
amount = 400

[troubles.kind]
endpoint = "shut"

[[troubles]]
from_ms = 1700
lasts_ms = 700
target = 3
amount = 400

[troubles.kind]
proxy = "trickles"

[[troubles]]
from_ms = 1800
lasts_ms = 700
target = 3
amount = 400

[troubles.kind]
system = "disk-eio"
"#;

#[test]
fn plan_stored_by_an_earlier_version_is_read() {
    let plan: Plan = toml::from_str(OLD_PLAN).unwrap();
    let kinds: Vec<PlannedFaultKind> = plan.faults.iter().map(|fault| fault.kind).collect();
    assert_eq!(
        kinds,
        [
            PlannedFaultKind::Suspend,
            PlannedFaultKind::Endpoint(EndpointFault::RejectAll),
            PlannedFaultKind::Proxy(ProxyFault::ByteByByte),
            PlannedFaultKind::System(SystemFault(FaultKind::DiskError)),
        ]
    );
}

#[test]
fn plan_depends_only_on_its_seed_and_round_trips_through_toml() {
    let plan = Plan::draw(7, 12, 20);
    assert_eq!(plan, Plan::draw(7, 12, 20));
    assert_ne!(plan.faults, Plan::draw(8, 12, 20).faults);
    let text = toml::to_string(&plan).unwrap();
    assert_eq!(toml::from_str::<Plan>(&text).unwrap(), plan);
}

#[test]
fn every_plan_sends_other_signals_to_a_process_that_shuts_down() {
    for seed in 1..40 {
        let plan = Plan::draw(seed, 12, 20);
        let faults = || plan.faults.iter();
        let shutdown = faults().find(|fault| fault.kind == PlannedFaultKind::Terminate);
        let shutdown = shutdown.unwrap();
        let to_same = faults()
            .filter(|fault| fault.kind.is_process_fault() && fault.target == shutdown.target);
        assert!(to_same.count() > 1, "seed {seed}");
        assert!(faults().is_sorted_by_key(|fault| fault.from_ms));
    }
}

#[test]
fn repeats_leave_the_other_faults_of_a_seed_unchanged() {
    let plan = Plan::draw(7, 12, 20);
    let with_repeats = Plan::draw(7, 12, 20).with_repeats();
    let is_drawn_before = |fault: &&PlannedFault| {
        let burst = PlannedFaultKind::Clients(ClientFault::Burst);
        !matches!(fault.kind, PlannedFaultKind::Repeat(_)) && fault.kind != burst
    };
    let others = with_repeats.faults.iter().filter(is_drawn_before);
    assert_eq!(others.copied().collect::<Vec<_>>(), plan.faults);
    assert!(with_repeats.has_repeats() && !plan.has_repeats());
    let text = toml::to_string(&with_repeats).unwrap();
    assert_eq!(toml::from_str::<Plan>(&text).unwrap(), with_repeats);
}
