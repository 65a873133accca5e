//! The schedule of a run, which determines the faults that are active at a given time.

use crate::plan::{Plan, PlannedFault, PlannedFaultKind};
use marblefall_process_harness::{monotonic_micros, Micros, MILLISECOND};
use std::sync::Arc;

/// A plan and its start time.
#[derive(Clone, Debug)]
pub struct Schedule {
    plan: Arc<Plan>,
    started_at: Micros,
}

/// An interval of the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Inclusive start.
    pub from: Micros,
    /// Exclusive end.
    pub until: Micros,
}

impl Interval {
    /// Returns whether the interval contains a time.
    pub fn contains(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }

    /// Returns whether the interval, extended by `margin` at both ends, overlaps the span from `from` to `until`.
    pub fn overlaps(&self, from: Micros, until: Micros, margin: Micros) -> bool {
        self.from - margin <= until && from <= self.until + margin
    }
}

impl Schedule {
    /// Creates the schedule of a plan that starts at a given time.
    pub fn new(plan: Plan, started_at: Micros) -> Schedule {
        Schedule {
            plan: Arc::new(plan),
            started_at,
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the start time of the plan.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the interval in which a fault is active.
    pub fn interval(&self, fault: &PlannedFault) -> Interval {
        let from = self.started_at + fault.from_ms as Micros * MILLISECOND;
        Interval {
            from,
            until: from + fault.duration_ms as Micros * MILLISECOND,
        }
    }

    /// Returns the first value that `select` yields for the faults that are active now.
    pub fn active<T>(&self, select: impl Fn(&PlannedFault) -> Option<T>) -> Option<T> {
        self.active_at(monotonic_micros(), select)
    }

    /// Returns the first value that `select` yields for the faults that are active at a given time.
    pub fn active_at<T>(
        &self,
        at: Micros,
        select: impl Fn(&PlannedFault) -> Option<T>,
    ) -> Option<T> {
        let faults = self.plan.faults.iter();
        let mut active = faults.filter(|fault| self.interval(fault).contains(at));
        active.find_map(select)
    }

    /// Returns whether a fault of this kind is active for `target`, one of `count` targets.
    pub fn is_active(&self, kind: PlannedFaultKind, target: usize, count: usize) -> bool {
        let found =
            self.active(|fault| (fault.kind == kind && fault.is_for(target, count)).then_some(()));
        found.is_some()
    }
}
