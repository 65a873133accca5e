//! Shrinking of schedules that violate an invariant.

use crate::invariants::Invariant;
use crate::schedule::Schedule;

/// Removes steps from a schedule for as long as the remaining steps still violate the invariant. Tries to remove half of
/// the steps at a time first, and then ever smaller ranges. `play` returns the invariants that a schedule violates; it is
/// called at most `max_runs` times.
pub fn shrink(
    schedule: &Schedule,
    invariant: Invariant,
    max_runs: u32,
    mut play: impl FnMut(&Schedule) -> Vec<Invariant>,
) -> Schedule {
    let (mut smallest, mut runs_left) = (schedule.clone(), max_runs);
    let mut count = smallest.steps.len().div_ceil(2);
    while count > 0 {
        let mut first = 0;
        while first < smallest.steps.len() && runs_left > 0 {
            let smaller = smallest.without_steps(first, count);
            runs_left -= 1;
            if play(&smaller).contains(&invariant) {
                smallest = smaller;
            } else {
                first += count;
            }
        }
        if count == 1 || runs_left == 0 {
            break;
        }
        count = count.div_ceil(2);
    }
    smallest
}

#[cfg(test)]
mod tests;
