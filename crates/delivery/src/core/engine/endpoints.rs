//! Applies endpoint changes, activates the destinations that are in use, and compacts idle ones.

use super::endpoint_registry::ListScope;
use super::{Batch, Engine, EngineCommand, EngineEvent};
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of destinations that one step compacts.
const MAX_COMPACTED_PER_STEP: usize = 16;

impl Engine {
    /// Applies endpoint changes before all other events of the step, so that no queued submission is sent to a draining
    /// endpoint. Returns the other events.
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
                    self.replace_all_endpoints(endpoints, batch);
                }
                EngineEvent::EndpointsUpdated(endpoints) => {
                    self.update_endpoints(endpoints, ListScope::Changes, batch)
                }
                EngineEvent::DestinationTableReplaced(table) => self.replace_table(table, batch),
                EngineEvent::EndpointsDisabled(names) => {
                    let changed = self.endpoints.set_disabled(names);
                    if !changed.is_empty() {
                        self.update_endpoints(changed, ListScope::Destinations, batch);
                    }
                }
                _ => {}
            }
        }
        rest
    }

    /// Replaces all endpoints with a complete list.
    fn replace_all_endpoints(&mut self, endpoints: Vec<ListedEndpoint>, batch: &mut Batch<'_>) {
        let first_new = self.endpoints.next_id();
        let updates = self
            .endpoints
            .apply(endpoints, ListScope::Complete, batch.commands);
        let backoffs = self.backoffs_of_new(first_new, &updates, batch);
        batch
            .scheduler_events
            .push(scheduler::Event::EndpointsReplaced(updates));
        batch.scheduler_events.extend(backoffs);
    }

    /// Applies changes to the endpoint list.
    fn update_endpoints(
        &mut self,
        endpoints: Vec<ListedEndpoint>,
        scope: ListScope,
        batch: &mut Batch<'_>,
    ) {
        let first_new = self.endpoints.next_id();
        let updates = self.endpoints.apply(endpoints, scope, batch.commands);
        let backoffs = self.backoffs_of_new(first_new, &updates, batch);
        batch
            .scheduler_events
            .push(scheduler::Event::EndpointsUpdated(updates));
        batch.scheduler_events.extend(backoffs);
    }

    /// Restores the backoffs of endpoints that have got a new id, as they may have been listed before. Returns the events for
    /// the scheduler.
    fn backoffs_of_new(
        &self,
        first_new: scheduler::EndpointId,
        updates: &[scheduler::EndpointUpdate],
        batch: &mut Batch<'_>,
    ) -> Vec<scheduler::Event> {
        let new = updates.iter().filter(|update| {
            update.endpoint >= first_new && update.status != scheduler::EndpointStatus::Removed
        });
        let mut events = Vec::new();
        for update in new {
            let name = self.endpoints.name_of(update.endpoint);
            let until_ms = name.and_then(|name| {
                let backoffs = self.store.backoffs();
                backoffs.get(&(update.destination, name.clone())).copied()
            });
            if let Some(until_ms) = until_ms.filter(|until_ms| *until_ms > batch.now.unix_ms) {
                events.push(self.restore_backoff(
                    batch.now,
                    update.destination,
                    update.endpoint,
                    until_ms,
                    batch.commands,
                ));
            }
        }
        events
    }

    /// Replaces the destination table. Changed endpoints of destinations in use are applied as changes to the list.
    fn replace_table(&mut self, table: Arc<DestinationTable>, batch: &mut Batch<'_>) {
        let old = self.destination_table.replace(table.clone());
        let active: Vec<_> = self.active_destinations.active().collect();
        for id in active {
            let previous = old
                .as_ref()
                .map_or_else(Vec::new, |old| old.listed_endpoints(id));
            self.replace_endpoints(id, table.listed_endpoints(id), previous, batch);
        }
        // Messages of an earlier incarnation may wait for destinations that were unknown until now.
        let open = self.store.open_messages();
        let with_open_messages: BTreeSet<_> =
            open.map(|(_, record)| record.message.destination).collect();
        for id in with_open_messages {
            self.use_destination(id, batch);
        }
    }

    /// Replaces the endpoints of one destination in use.
    fn replace_endpoints(
        &mut self,
        id: scheduler::DestinationId,
        mut endpoints: Vec<ListedEndpoint>,
        previous: Vec<ListedEndpoint>,
        batch: &mut Batch<'_>,
    ) {
        if endpoints == previous {
            return;
        }
        let is_listed = |name: &str| endpoints.iter().any(|endpoint| endpoint.name == name);
        let removed = previous
            .into_iter()
            .filter(|endpoint| !is_listed(&endpoint.name));
        let removed: Vec<_> = removed
            .map(|endpoint| ListedEndpoint {
                status: scheduler::EndpointStatus::Removed,
                ..endpoint
            })
            .collect();
        endpoints.extend(removed);
        let all_removed = endpoints
            .iter()
            .all(|endpoint| endpoint.status == scheduler::EndpointStatus::Removed);
        self.update_endpoints(endpoints, ListScope::Destinations, batch);
        if all_removed {
            self.endpoints.remove_destination(id);
        }
    }

    /// Marks a destination as in use. If it was idle, its endpoints and its record are passed to the scheduler.
    pub(super) fn use_destination(&mut self, id: scheduler::DestinationId, batch: &mut Batch<'_>) {
        let table = self
            .destination_table
            .as_ref()
            .filter(|table| table.entry(id).is_some());
        let Some(table) = table.cloned() else { return };
        if self.active_destinations.touch(batch.now.monotonic, id) {
            self.update_endpoints(table.listed_endpoints(id), ListScope::Destinations, batch);
            if let Some(record) = self.active_destinations.take_record(id) {
                let route = scheduler::KnownRoute {
                    destination: id,
                    endpoint: None,
                    record,
                };
                batch
                    .scheduler_events
                    .push(scheduler::Event::RouteRestored(route));
            }
        }
    }

    /// Compacts destinations that have been idle for long enough, a limited number per step.
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
            self.endpoints.remove_destination(id);
            for endpoint in compacted.endpoints {
                self.endpoints.remove(endpoint, commands);
            }
        }
    }

    /// Returns whether a destination has endpoints in the table, or has had one in the list.
    pub(super) fn is_known_destination(&self, id: scheduler::DestinationId) -> bool {
        let in_table = |table: &Arc<DestinationTable>| table.endpoints(id).next().is_some();
        self.endpoints.has_destination(id) || self.destination_table.as_ref().is_some_and(in_table)
    }
}
