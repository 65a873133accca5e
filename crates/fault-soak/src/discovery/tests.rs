//! Tests of the planned changes of the endpoint list.

use super::*;
use crate::plan::Plan;
use marblefall_process_harness::MILLISECOND;

/// Guards against a drain that is recorded without its end, so that later calls count as violations. This happened when
/// changes were recorded only while clients sent requests and a drain ended afterwards.
#[test]
fn drain_at_the_end_of_a_run_is_recorded_as_ended() {
    let schedule = Schedule::new(Plan::draw(7713, 16, 20), 0);
    let changes = planned_list_changes(&schedule);
    let last_drain = changes.iter().rfind(|change| !change.is_active);
    let last_drain = last_drain.expect("every plan drains an endpoint");
    assert_eq!(last_drain.at, 15_463 * MILLISECOND);
    let is_end = |change: &&ListChange| change.endpoint == last_drain.endpoint && change.is_active;
    let end = changes.iter().rfind(is_end).expect("the drain ends");
    assert_eq!(end.at, 19_511 * MILLISECOND);
}

#[test]
fn every_endpoint_is_active_after_the_last_change() {
    for seed in 0..50 {
        let schedule = Schedule::new(Plan::draw(seed, 12, 20), 0);
        let changes = planned_list_changes(&schedule);
        assert!(!changes.is_empty(), "seed {seed}");
        for endpoint in 0..ENDPOINTS {
            let mut of_endpoint = changes.iter().filter(|change| change.endpoint == endpoint);
            assert!(of_endpoint.next_back().is_none_or(|last| last.is_active));
        }
    }
}
