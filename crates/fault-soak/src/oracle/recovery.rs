//! A destination that recovers gets no more calls than its budget in any window.

use super::Oracle;
use crate::endpoint::{destination_of, RATE};
use crate::record::{Call, Period};
use marblefall_process_harness::{Micros, MILLISECOND};
use std::collections::BTreeSet;

/// How long a destination warms up after an outage.
const WARM_UP: Micros = 10_000 * MILLISECOND;
/// Share of its rate that a destination can take as it recovers.
const COLD_SHARE: f64 = 0.27;
/// Above this multiple of what a destination can take it is overloaded.
const OVERLOAD_FACTOR: f64 = 1.5;
/// The window in which calls are counted.
const WINDOW: Micros = 2000 * MILLISECOND;
/// A budget below this many calls has a wider margin.
const SMALL_BUDGET: f64 = 30.0;

/// How long before the end of an outage a message must be accepted to have been tried within it.
const TIME_TO_TRY: Micros = 1000 * MILLISECOND;

/// The worst window after an outage.
struct WorstWindow {
    from: Micros,
    calls: usize,
    /// The calls as a share of the budget.
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

    /// The processes that had a call at a destination during its outage, or accepted a message for it early enough to have
    /// tried it: an endpoint that closes all connections reads no calls.
    fn processes_that_saw(&self, outage: &Period, calls: &[&Call]) -> BTreeSet<usize> {
        let interval = outage.interval;
        let called = calls
            .iter()
            .filter(|call| interval.contains(call.last_byte_at))
            .filter_map(|call| self.request_of(call).map(|request| request.process));
        let tried = interval.from..interval.until - TIME_TO_TRY;
        let accepted = self.record.requests.iter().filter(|request| {
            request.is_accepted()
                && request.destination == outage.subject
                && tried.contains(&request.sent_at)
        });
        called
            .chain(accepted.map(|request| request.process))
            .collect()
    }

    /// The window with the highest load in which at least two thirds of the calls are of processes that saw the outage.
    fn worst_window(&self, outage: &Period) -> Option<WorstWindow> {
        let recovered_at = outage.interval.until;
        let to_destination = |call: &&Call| destination_of(call.endpoint) == outage.subject;
        let calls: Vec<&Call> = self.record.calls.iter().filter(to_destination).collect();
        let process_of = |call: &Call| self.request_of(call).map(|request| request.process);
        let saw_outage = self.processes_that_saw(outage, &calls);
        let ramp = recovered_at..recovered_at + WARM_UP;
        let starts = calls.iter().map(|call| call.last_byte_at);
        let mut worst: Option<WorstWindow> = None;
        for from in starts.filter(|at| ramp.contains(at)) {
            let window = from..from + WINDOW;
            let in_window: Vec<&&Call> = calls
                .iter()
                .filter(|call| window.contains(&call.last_byte_at))
                .collect();
            let informed = in_window
                .iter()
                .filter(|call| {
                    process_of(call).is_some_and(|process| saw_outage.contains(&process))
                })
                .count();
            let load = in_window.len() as f64 / budget(from - recovered_at);
            let is_worse = worst.as_ref().is_none_or(|worst| load > worst.load);
            if informed * 3 > in_window.len() * 2 && is_worse {
                worst = Some(WorstWindow {
                    from,
                    calls: in_window.len(),
                    load,
                });
            }
        }
        worst
    }
}

/// The calls that a destination may get within the window that begins at this time after its recovery.
fn budget(since_recovery: Micros) -> f64 {
    let warm = (since_recovery as f64 / WARM_UP as f64).clamp(0.0, 1.0);
    let capacity = RATE * (COLD_SHARE + (1.0 - COLD_SHARE) * warm);
    let expected = OVERLOAD_FACTOR * capacity * WINDOW as f64 / 1e6;
    if expected < SMALL_BUDGET {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}
