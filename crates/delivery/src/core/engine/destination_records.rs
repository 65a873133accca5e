//! Converts the states of destinations to the records of a snapshot, and restores them from a snapshot.

use super::Engine;
use crate::core::snapshot::DestinationRecord;
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;

/// Baseline rates in records are rounded to multiples of one over this, in calls per second, because they change with every
/// delivery and each change of a record is written to disk.
const BASELINE_RATE_STEPS: f32 = 4.0;

impl Engine {
    /// Returns the records of all active destinations, and of idle ones with a significant state. Empty if there is no
    /// destination table.
    pub fn destination_records(&self, now: Timestamp) -> Vec<DestinationRecord> {
        let active = self.active_destinations.active();
        let active = active.filter_map(|id| {
            let state = self.scheduler.destination_state(now.monotonic, id)?;
            Some(active_record(now, id, &state))
        });
        let idle = self.active_destinations.idle_records();
        let idle = idle.map(|(id, record)| idle_record(now, id, record));
        let mut records: Vec<_> = active.chain(idle).collect();
        records.sort_unstable_by_key(|record| record.destination);
        records
    }

    /// Restores the destinations of an earlier incarnation as idle ones. A restart ends their backoffs, but not their
    /// ejections. Times in the future, which occur after the clock was set back, are replaced by the current time.
    pub fn restore_destinations(&mut self, now: Timestamp, records: &[DestinationRecord]) {
        let not_in_future = |ms: i64| now.monotonic_of(ms.min(now.unix_ms));
        for record in records {
            let baseline_rate = f64::from(record.baseline_rate);
            let restored = scheduler::IdleRecord {
                backoff_until: None,
                ejected_since: record.ejected_since_ms.map(not_in_future),
                recovering_since: record.recovering_since_ms.map(not_in_future),
                mean_latency_ms: record
                    .mean_latency_ms
                    .map(f64::from)
                    .filter(|mean| mean.is_finite() && *mean > 0.0),
                baseline_rate: if baseline_rate.is_finite() {
                    baseline_rate.max(0.0)
                } else {
                    0.0
                },
            };
            self.active_destinations.insert_idle(record.id(), restored);
        }
    }
}

fn active_record(
    now: Timestamp,
    id: scheduler::DestinationId,
    state: &scheduler::DestinationState,
) -> DestinationRecord {
    let unix_ms = |at: scheduler::Time| now.unix_ms_of(at);
    DestinationRecord {
        destination: id.0,
        ejected_since_ms: state.ejected_since.map(unix_ms),
        recovering_since_ms: state.recovering_since.map(unix_ms),
        backoff_until_ms: state.backoff_until.map(unix_ms),
        mean_latency_ms: state.mean_latency_ms.map(|mean| mean as f32),
        baseline_rate: (state.baseline_rate as f32 * BASELINE_RATE_STEPS).round()
            / BASELINE_RATE_STEPS,
        pending: state.pending as u32,
        in_flight: state.in_flight as u32,
        active: true,
    }
}

fn idle_record(
    now: Timestamp,
    id: scheduler::DestinationId,
    record: &scheduler::IdleRecord,
) -> DestinationRecord {
    let unix_ms = |at: scheduler::Time| now.unix_ms_of(at);
    let backoff_until = record.backoff_until.filter(|until| *until > now.monotonic);
    DestinationRecord {
        destination: id.0,
        ejected_since_ms: record.ejected_since.map(unix_ms),
        recovering_since_ms: record.recovering_since.map(unix_ms),
        backoff_until_ms: backoff_until.map(unix_ms),
        mean_latency_ms: record.mean_latency_ms.map(|mean| mean as f32),
        baseline_rate: record.baseline_rate as f32,
        ..DestinationRecord::default()
    }
}
