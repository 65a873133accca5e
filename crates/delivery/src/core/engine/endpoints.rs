//! Endpoints and destinations as the engine sees them: changes of the list, which destinations are in use, and what is
//! kept of those that are not.

use super::endpoint_registry::ListScope;
use super::{Batch, Engine, EngineCommand, EngineEvent};
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::snapshot::DestinationRecord;
use crate::core::Timestamp;
use marblefall_scheduler as m;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Destinations that one step compacts at most.
const MAX_COMPACTED_PER_STEP: usize = 16;
/// Baseline rates are stored in steps of one over this: they move with every delivery, and each change is written to
/// disk.
const BASELINE_RATE_STEPS: f32 = 4.0;

impl Engine {
    /// Takes the changes of endpoints, which go first: nothing queued behind one may go to an endpoint that drains. The
    /// other events are given back.
    pub(super) fn handle_endpoint_changes(
        &mut self,
        events: Vec<EngineEvent>,
        batch: &mut Batch<'_>,
    ) -> Vec<EngineEvent> {
        let (changes, rest): (Vec<_>, Vec<_>) =
            events.into_iter().partition(EngineEvent::changes_endpoints);
        for change in changes {
            match change {
                EngineEvent::EndpointsReplaced(endpoints) => {
                    let updates = self
                        .endpoints
                        .apply(endpoints, ListScope::Whole, batch.commands);
                    batch
                        .scheduler_events
                        .push(m::Event::EndpointsReplaced(updates));
                }
                EngineEvent::EndpointsUpdated(endpoints) => self.update_endpoints(endpoints, batch),
                EngineEvent::DestinationTableReplaced(table) => self.replace_table(table, batch),
                EngineEvent::EndpointsDisabled(names) => {
                    let changed = self.endpoints.set_disabled(names);
                    if !changed.is_empty() {
                        self.update_endpoints(changed, batch);
                    }
                }
                _ => {}
            }
        }
        rest
    }

    /// Takes changes of the list and tells the scheduler.
    fn update_endpoints(&mut self, endpoints: Vec<ListedEndpoint>, batch: &mut Batch<'_>) {
        let updates = self
            .endpoints
            .apply(endpoints, ListScope::Changes, batch.commands);
        batch
            .scheduler_events
            .push(m::Event::EndpointsUpdated(updates));
    }

    /// Takes another destination table: what changes of destinations in use is a change of the list.
    fn replace_table(&mut self, table: Arc<DestinationTable>, batch: &mut Batch<'_>) {
        let old = self.destination_table.replace(table.clone());
        let active: Vec<_> = self.active_destinations.active().collect();
        for id in active {
            let before = old
                .as_ref()
                .map_or_else(Vec::new, |old| old.listed_endpoints(id));
            self.replace_endpoints(id, table.listed_endpoints(id), before, batch);
        }
        // What an earlier incarnation accepted waits for this.
        let open = self.store.open_messages();
        let waited_for: BTreeSet<_> = open.map(|(_, record)| record.message.destination).collect();
        for id in waited_for {
            self.use_destination(id, batch);
        }
    }

    /// Replaces the endpoints of one destination in use.
    fn replace_endpoints(
        &mut self,
        id: m::DestinationId,
        mut endpoints: Vec<ListedEndpoint>,
        before: Vec<ListedEndpoint>,
        batch: &mut Batch<'_>,
    ) {
        if endpoints == before {
            return;
        }
        let is_kept = |name: &str| endpoints.iter().any(|endpoint| endpoint.name == name);
        let removed = before
            .into_iter()
            .filter(|endpoint| !is_kept(&endpoint.name));
        let removed: Vec<_> = removed
            .map(|endpoint| ListedEndpoint {
                status: m::EndpointStatus::Removed,
                ..endpoint
            })
            .collect();
        endpoints.extend(removed);
        let all_removed = endpoints
            .iter()
            .all(|endpoint| endpoint.status == m::EndpointStatus::Removed);
        self.update_endpoints(endpoints, batch);
        if all_removed {
            self.endpoints.forget_destination(id);
        }
    }

    /// Notes the use of a destination, and makes it known to the scheduler if it is not, with what is kept of it.
    pub(super) fn use_destination(&mut self, id: m::DestinationId, batch: &mut Batch<'_>) {
        let table = self
            .destination_table
            .as_ref()
            .filter(|table| table.entry(id).is_some());
        let Some(table) = table.cloned() else { return };
        if self.active_destinations.touch(batch.now.monotonic, id) {
            self.update_endpoints(table.listed_endpoints(id), batch);
            if let Some(record) = self.active_destinations.take_record(id) {
                let route = m::KnownRoute {
                    destination: id,
                    endpoint: None,
                    record,
                };
                batch.scheduler_events.push(m::Event::RouteRestored(route));
            }
        }
    }

    /// Compacts destinations that have been idle for long, a few with each step.
    pub(super) fn compact_idle_destinations(
        &mut self,
        now: Timestamp,
        commands: &mut Vec<EngineCommand>,
    ) {
        for _ in 0..MAX_COMPACTED_PER_STEP {
            let Some(id) = self.active_destinations.next_idle(now.monotonic) else {
                return;
            };
            let Some(compacted) = self.scheduler.compact_destination(now.monotonic, id) else {
                self.active_destinations.postpone(now.monotonic, id);
                continue;
            };
            self.active_destinations.deactivate(id, compacted.record);
            self.endpoints.forget_destination(id);
            for endpoint in compacted.endpoints {
                self.endpoints.remove(endpoint, commands);
            }
        }
    }

    /// The state of the destinations of which something is known, for a snapshot that outlasts the process; empty where
    /// there is no destination table.
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

    /// Takes over what an earlier incarnation knew of destinations. A restart ends a backoff; an outage that was seen is
    /// remembered. A clock that was set back makes nothing later than now.
    pub fn restore_destinations(&mut self, now: Timestamp, records: &[DestinationRecord]) {
        let not_in_future = |ms: i64| now.monotonic_of(ms.min(now.unix_ms));
        for record in records {
            let baseline_rate = f64::from(record.baseline_rate);
            let restored = m::IdleRecord {
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
            self.active_destinations.keep(record.id(), restored);
        }
    }

    /// Whether a destination could be served now or, as far as is known, later.
    pub(super) fn is_known_destination(&self, id: m::DestinationId) -> bool {
        let in_table = |table: &Arc<DestinationTable>| table.endpoints(id).next().is_some();
        self.endpoints.has_destination(id) || self.destination_table.as_ref().is_some_and(in_table)
    }
}

fn active_record(
    now: Timestamp,
    id: m::DestinationId,
    state: &m::DestinationState,
) -> DestinationRecord {
    let unix_ms = |at: m::Time| unix_ms_of(now, at);
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

fn idle_record(now: Timestamp, id: m::DestinationId, record: &m::IdleRecord) -> DestinationRecord {
    let unix_ms = |at: m::Time| unix_ms_of(now, at);
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

fn unix_ms_of(now: Timestamp, at: m::Time) -> i64 {
    now.unix_ms + (at - now.monotonic).0.div_euclid(1000)
}
