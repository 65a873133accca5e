//! Model check of leases and the two-phase policy change. All orders of events in a small group and a short time are
//! explored: messages that arrive late, out of order or never, members that restart, leaders that have not noticed a later
//! leader, and clocks of different speeds.

#[path = "model/group_model.rs"]
mod group_model;
#[path = "model/state.rs"]
mod state;

use group_model::{GroupModel, Mutant, REVISIONS_DO_NOT_DECREASE};
use stateright::{Checker, Model};

/// Maximum number of states to explore.
const MAX_STATES: usize = 12_000_000;
/// Maximum number of states to explore until the mutant is detected.
const MAX_MUTANT_STATES: usize = 3_000_000;
/// Minimum number of unique states for a meaningful result.
const MIN_UNIQUE_STATES: usize = 20_000;

/// Returns the bounds of the exploration. With `MODEL=large` it takes minutes.
fn bounds() -> GroupModel {
    let small = GroupModel {
        members: 2,
        max_time: 2,
        max_restarts: 1,
        max_elections: 1,
        max_in_flight: 3,
        mutant: Mutant::Unmodified,
    };
    match std::env::var("MODEL").as_deref() {
        Ok("large") => GroupModel {
            max_time: 3,
            ..small
        },
        _ => small,
    }
}

#[test]
fn acting_revision_never_decreases_in_any_event_order() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checked = bounds()
        .checker()
        .threads(threads)
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} unique, maximum depth {}",
        checked.state_count(),
        checked.unique_state_count(),
        checked.max_depth()
    );
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > MIN_UNIQUE_STATES,
        "too few unique states: {}",
        checked.unique_state_count()
    );
}

#[test]
fn member_acting_after_its_lease_is_detected() {
    let model = GroupModel {
        mutant: Mutant::ActsAfterLease,
        max_time: 4,
        ..bounds()
    };
    let checked = model
        .checker()
        .target_state_count(MAX_MUTANT_STATES)
        .spawn_bfs()
        .join();
    assert!(checked.discovery(REVISIONS_DO_NOT_DECREASE).is_some());
}
