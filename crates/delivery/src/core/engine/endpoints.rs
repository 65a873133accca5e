//! Changes of endpoints, and the use of destinations: the scheduler is given those in use, and idle ones are compacted.

use super::endpoint_registry::ListScope;
use super::{Batch, Engine, EngineCommand, EngineEvent};
use crate::core::destination_table::DestinationTable;
use crate::core::endpoint::ListedEndpoint;
use crate::core::Timestamp;
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;
use std::sync::Arc;

/// How many destinations one step compacts at most.
const MAX_COMPACTED_PER_STEP: usize = 16;

impl Engine {
    /// Applies the changes of endpoints, before all other events of the step: no queued submission may be sent to an
    /// endpoint that is draining. Returns the other events.
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

    /// Replaces all endpoints by a complete list.
    fn replace_all_endpoints(&mut self, endpoints: Vec<ListedEndpoint>, batch: &mut Batch<'_>) {
        let updates = self
            .endpoints
            .apply(endpoints, ListScope::Complete, batch.commands);
        batch
            .scheduler_events
            .push(scheduler::Event::EndpointsReplaced(updates));
    }

    /// Applies changes of the list.
    fn update_endpoints(&mut self, endpoints: Vec<ListedEndpoint>, batch: &mut Batch<'_>) {
        let updates = self
            .endpoints
            .apply(endpoints, ListScope::Changes, batch.commands);
        batch
            .scheduler_events
            .push(scheduler::Event::EndpointsUpdated(updates));
    }

    /// Replaces the destination table. Endpoints of destinations in use that differ are changes of the list.
    fn replace_table(&mut self, table: Arc<DestinationTable>, batch: &mut Batch<'_>) {
        let old = self.destination_table.replace(table.clone());
        let active: Vec<_> = self.active_destinations.active().collect();
        for id in active {
            let before = old
                .as_ref()
                .map_or_else(Vec::new, |old| old.listed_endpoints(id));
            self.replace_endpoints(id, table.listed_endpoints(id), before, batch);
        }
        // Messages of an earlier incarnation wait for their destinations.
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
        before: Vec<ListedEndpoint>,
        batch: &mut Batch<'_>,
    ) {
        if endpoints == before {
            return;
        }
        let is_listed = |name: &str| endpoints.iter().any(|endpoint| endpoint.name == name);
        let removed = before
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
        self.update_endpoints(endpoints, batch);
        if all_removed {
            self.endpoints.remove_destination(id);
        }
    }

    /// Notes the use of a destination. The scheduler is given one that was idle, with its record.
    pub(super) fn use_destination(&mut self, id: scheduler::DestinationId, batch: &mut Batch<'_>) {
        let table = self
            .destination_table
            .as_ref()
            .filter(|table| table.entry(id).is_some());
        let Some(table) = table.cloned() else { return };
        if self.active_destinations.touch(batch.now.monotonic, id) {
            self.update_endpoints(table.listed_endpoints(id), batch);
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

    /// Compacts destinations that have been idle for long enough, a few with each step.
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

    /// Whether a destination has endpoints in the table, or has had one in the list.
    pub(super) fn is_known_destination(&self, id: scheduler::DestinationId) -> bool {
        let in_table = |table: &Arc<DestinationTable>| table.endpoints(id).next().is_some();
        self.endpoints.has_destination(id) || self.destination_table.as_ref().is_some_and(in_table)
    }
}
