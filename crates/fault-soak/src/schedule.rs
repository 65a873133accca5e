//! Which faults are active at a moment.

use crate::plan::{Plan, PlannedFault, PlannedFaultKind};
use marblefall_process_harness::{monotonic_micros, Micros, MILLISECOND};
use std::sync::Arc;

/// A plan with the time at which it starts.
#[derive(Clone, Debug)]
pub struct Schedule {
    plan: Arc<Plan>,
    started_at: Micros,
}

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Its start.
    pub from: Micros,
    /// Its end, which is not part of it.
    pub until: Micros,
}

impl Interval {
    /// Whether it contains a time.
    pub fn contains(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }

    /// Whether it and the span between two times, each extended by `margin`, have a moment in common.
    pub fn overlaps(&self, from: Micros, until: Micros, margin: Micros) -> bool {
        self.from - margin <= until && from <= self.until + margin
    }
}

impl Schedule {
    /// A plan that starts at a time.
    pub fn new(plan: Plan, started_at: Micros) -> Schedule {
        Schedule {
            plan: Arc::new(plan),
            started_at,
        }
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// When the plan starts.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// When a fault is active.
    pub fn interval(&self, fault: &PlannedFault) -> Interval {
        let from = self.started_at + fault.from_ms as Micros * MILLISECOND;
        Interval {
            from,
            until: from + fault.duration_ms as Micros * MILLISECOND,
        }
    }

    /// What `select` returns for the first fault active now for which it returns something.
    pub fn active<T>(&self, select: impl Fn(&PlannedFault) -> Option<T>) -> Option<T> {
        self.active_at(monotonic_micros(), select)
    }

    /// What `select` returns for the first fault active at a time for which it returns something.
    pub fn active_at<T>(
        &self,
        at: Micros,
        select: impl Fn(&PlannedFault) -> Option<T>,
    ) -> Option<T> {
        let faults = self.plan.faults.iter();
        let mut active = faults.filter(|fault| self.interval(fault).contains(at));
        active.find_map(select)
    }

    /// Whether a fault of this kind is active for one of `count` targets.
    pub fn is_active(&self, kind: PlannedFaultKind, target: usize, count: usize) -> bool {
        let found =
            self.active(|fault| (fault.kind == kind && fault.is_for(target, count)).then_some(()));
        found.is_some()
    }
}
