//! Rule for slow starts: a recovering destination receives no more calls than its budget in any window.

use super::Oracle;
use crate::endpoint::destination_of;
use crate::record::{Call, Period};
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::BTreeSet;

/// Duration of the slow start of a destination after an outage.
const SLOW_START_DURATION: Micros = 10_000 * MILLISECOND;
/// Share of its rate that a destination can take at the start of its recovery.
const COLD_SHARE: f64 = 0.27;
/// Multiple of its current capacity above which a destination is overloaded.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Length of the window in which calls are counted.
const WINDOW: Micros = 2000 * MILLISECOND;
/// Budget, in calls per window, below which the statistical margin is wider.
const SMALL_BUDGET: f64 = 30.0;

/// Minimum time between the acceptance of a message and the end of an outage for an attempt to have been made in it.
const MIN_TIME_TO_ATTEMPT: Micros = 1000 * MILLISECOND;

/// The window with the highest load after an outage.
struct WorstWindow {
    from: Micros,
    calls: usize,
    /// Ratio of the calls to the budget.
    load: f64,
}

impl Oracle<'_> {
    pub(super) fn check_slow_start(&mut self) {
        for outage in &self.record.outages {
            let Some(worst) = self.worst_window(outage).filter(|worst| worst.load > 1.0) else {
                continue;
            };
            let observed = format!(
                "destination {}: {} calls, {:.2} of its budget, from {} ms on; back at {} ms",
                outage.subject,
                worst.calls,
                worst.load,
                self.ms(worst.from),
                self.ms(outage.interval.until)
            );
            self.report("slow start", observed);
        }
    }

    /// Returns the processes that observed an outage: a call of theirs reached the destination, or they accepted a message
    /// for it early enough to have attempted it. The second condition is needed since an endpoint that closes all
    /// connections reads no calls.
    fn processes_that_observed(&self, outage: &Period, calls: &[&Call]) -> BTreeSet<usize> {
        let interval = outage.interval;
        let called = calls
            .iter()
            .filter(|call| interval.contains(call.last_byte_at))
            .filter_map(|call| self.request_of(call).map(|request| request.process));
        let attempt_span = interval.from..interval.until - MIN_TIME_TO_ATTEMPT;
        let accepted = self.record.requests.iter().filter(|request| {
            request.is_accepted()
                && request.destination == outage.subject
                && attempt_span.contains(&request.sent_at)
        });
        called
            .chain(accepted.map(|request| request.process))
            .collect()
    }

    /// Returns the window with the highest load among those in which more than two thirds of the calls are from
    /// processes that observed the outage.
    fn worst_window(&self, outage: &Period) -> Option<WorstWindow> {
        let recovered_at = outage.interval.until;
        let to_destination = |call: &&Call| destination_of(call.endpoint) == outage.subject;
        let calls: Vec<&Call> = self.record.calls.iter().filter(to_destination).collect();
        let process_of = |call: &Call| self.request_of(call).map(|request| request.process);
        let observers = self.processes_that_observed(outage, &calls);
        let ramp = recovered_at..recovered_at + SLOW_START_DURATION;
        let starts = calls.iter().map(|call| call.last_byte_at);
        let mut worst: Option<WorstWindow> = None;
        for from in starts.filter(|at| ramp.contains(at)) {
            let window = from..from + WINDOW;
            let in_window: Vec<&&Call> = calls
                .iter()
                .filter(|call| window.contains(&call.last_byte_at))
                .collect();
            let from_observers = in_window
                .iter()
                .filter(|call| process_of(call).is_some_and(|process| observers.contains(&process)))
                .count();
            let load = in_window.len() as f64 / self.budget(from - recovered_at);
            let is_worse = worst.as_ref().is_none_or(|worst| load > worst.load);
            if from_observers * 3 > in_window.len() * 2 && is_worse {
                worst = Some(WorstWindow {
                    from,
                    calls: in_window.len(),
                    load,
                });
            }
        }
        worst
    }

    /// Returns the number of calls that a destination may receive in the window that begins this long after its recovery.
    fn budget(&self, since_recovery: Micros) -> f64 {
        let progress = (since_recovery as f64 / SLOW_START_DURATION as f64).clamp(0.0, 1.0);
        let capacity = self.rate * (COLD_SHARE + (1.0 - COLD_SHARE) * progress);
        let expected = OVERLOAD_FACTOR * capacity * WINDOW as f64 / 1e6;
        if expected < SMALL_BUDGET {
            expected + 3.0 * expected.sqrt() + 3.0
        } else {
            expected + 2.0 * expected.sqrt() + 2.0
        }
    }
}
