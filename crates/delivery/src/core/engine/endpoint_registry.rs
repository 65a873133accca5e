//! Registry of the known endpoints: their ids, their listings, and the ones that operators have disabled.
//!
//! An id belongs to one name at one destination. If a name moves to another destination, the endpoint at the old one is
//! removed and the one at the new one gets an id of its own: connections, failures and results of attempts belong to the
//! destination that they were made at.

use super::EngineCommand;
use crate::core::endpoint::ListedEndpoint;
use marblefall_scheduler as scheduler;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The scope of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListScope {
    /// The list contains all endpoints. Known endpoints that are not in it are removed.
    Complete,
    /// The list contains only the endpoints that changed. A name belongs to at most one destination, so an entry also
    /// removes the endpoint with its name at any other destination.
    Changes,
    /// The list contains endpoints of some destinations. Endpoints of other destinations are not affected, even if they
    /// have the same names.
    Destinations,
}

/// All endpoints that are listed or that an open message was sent to.
#[derive(Debug, Default)]
pub(super) struct EndpointRegistry {
    /// The ids by name, for each destination at which the name is known.
    ids: HashMap<String, BTreeMap<scheduler::DestinationId, scheduler::EndpointId>>,
    /// The name and the destination of each id.
    names: BTreeMap<scheduler::EndpointId, (String, scheduler::DestinationId)>,
    next_id: u32,
    /// Destinations that have, or have had, an endpoint in the list.
    destinations: BTreeSet<scheduler::DestinationId>,
    /// The last listing of each endpoint. It is applied again when the endpoint is disabled or enabled.
    listings: BTreeMap<scheduler::EndpointId, ListedEndpoint>,
    /// Names of the endpoints that operators have disabled.
    disabled: BTreeSet<String>,
}

impl EndpointRegistry {
    /// Returns the id of an endpoint of a destination, and assigns a new one if the endpoint is unknown.
    pub fn get_or_assign_id(
        &mut self,
        destination: scheduler::DestinationId,
        name: &str,
    ) -> scheduler::EndpointId {
        let known = self.ids.get(name);
        if let Some(id) = known.and_then(|ids| ids.get(&destination)) {
            return *id;
        }
        let id = scheduler::EndpointId(self.next_id);
        self.next_id += 1;
        let ids = self.ids.entry(name.to_owned()).or_default();
        ids.insert(destination, id);
        self.names.insert(id, (name.to_owned(), destination));
        id
    }

    /// Returns the id that the next unknown endpoint is assigned.
    pub fn next_id(&self) -> scheduler::EndpointId {
        scheduler::EndpointId(self.next_id)
    }

    /// Returns the name of an endpoint.
    pub fn name_of(&self, id: scheduler::EndpointId) -> Option<&String> {
        self.names.get(&id).map(|(name, _)| name)
    }

    /// Returns the last listing of an endpoint, unless it was removed.
    pub fn listing(&self, id: scheduler::EndpointId) -> Option<&ListedEndpoint> {
        self.listings.get(&id)
    }

    /// Returns the last listings of all endpoints.
    pub fn all_listings(&self) -> Vec<ListedEndpoint> {
        self.listings.values().cloned().collect()
    }

    /// Returns whether a destination has, or has had, an endpoint in the list.
    pub fn has_destination(&self, id: scheduler::DestinationId) -> bool {
        self.destinations.contains(&id)
    }

    /// Removes a destination, which then counts as one that has never had an endpoint.
    pub fn remove_destination(&mut self, id: scheduler::DestinationId) {
        self.destinations.remove(&id);
    }

    /// Replaces the names of disabled endpoints. Returns the listings of those that are newly disabled or enabled.
    pub fn set_disabled(&mut self, names: BTreeSet<String>) -> Vec<ListedEndpoint> {
        let changed: Vec<String> = names
            .symmetric_difference(&self.disabled)
            .cloned()
            .collect();
        self.disabled = names;
        let ids = changed.iter().filter_map(|name| self.ids.get(name));
        ids.flat_map(BTreeMap::values)
            .filter_map(|id| self.listings.get(id).cloned())
            .collect()
    }

    /// Applies a list. Returns the updates for the scheduler.
    pub fn apply(
        &mut self,
        endpoints: Vec<ListedEndpoint>,
        scope: ListScope,
        commands: &mut Vec<EngineCommand>,
    ) -> Vec<scheduler::EndpointUpdate> {
        let mut updates = Vec::new();
        for endpoint in endpoints {
            if scope == ListScope::Changes {
                let moved = self.listings_elsewhere(&endpoint);
                updates.extend(
                    moved
                        .into_iter()
                        .map(|endpoint| self.apply_one(endpoint, commands)),
                );
            }
            updates.push(self.apply_one(endpoint, commands));
        }
        for id in self.removed_ids(&updates, scope) {
            self.remove(id, commands);
        }
        updates
    }

    /// Returns the endpoints with the name of an entry at other destinations, as removed ones.
    fn listings_elsewhere(&self, entry: &ListedEndpoint) -> Vec<ListedEndpoint> {
        let ids = self.ids.get(&entry.name).into_iter().flatten();
        ids.filter(|(destination, _)| **destination != entry.destination)
            .filter_map(|(_, id)| self.listings.get(id))
            .map(|listing| ListedEndpoint {
                status: scheduler::EndpointStatus::Removed,
                ..listing.clone()
            })
            .collect()
    }

    /// Returns the known endpoints that a list removes.
    fn removed_ids(
        &self,
        updates: &[scheduler::EndpointUpdate],
        scope: ListScope,
    ) -> Vec<scheduler::EndpointId> {
        let is_listed = |update: &&scheduler::EndpointUpdate| {
            update.status != scheduler::EndpointStatus::Removed
        };
        match scope {
            ListScope::Complete => {
                let listed: BTreeSet<_> = updates
                    .iter()
                    .filter(is_listed)
                    .map(|update| update.endpoint)
                    .collect();
                self.names
                    .keys()
                    .copied()
                    .filter(|id| !listed.contains(id))
                    .collect()
            }
            ListScope::Changes | ListScope::Destinations => {
                let removed = updates.iter().filter(|update| !is_listed(update));
                removed.map(|update| update.endpoint).collect()
            }
        }
    }

    fn apply_one(
        &mut self,
        mut endpoint: ListedEndpoint,
        commands: &mut Vec<EngineCommand>,
    ) -> scheduler::EndpointUpdate {
        let id = self.get_or_assign_id(endpoint.destination, &endpoint.name);
        self.destinations.insert(endpoint.destination);
        match endpoint.status {
            scheduler::EndpointStatus::Removed => drop(self.listings.remove(&id)),
            scheduler::EndpointStatus::Active | scheduler::EndpointStatus::Draining => {
                self.listings.insert(id, endpoint.clone());
            }
        }
        if endpoint.status == scheduler::EndpointStatus::Active
            && self.disabled.contains(&endpoint.name)
        {
            endpoint.status = scheduler::EndpointStatus::Draining;
        }
        let update = scheduler::EndpointUpdate {
            endpoint: id,
            destination: endpoint.destination,
            kind: endpoint.kind,
            zone: endpoint.zone,
            status: endpoint.status,
            advertised_rate: endpoint.advertised_rate,
            weight: endpoint.weight,
        };
        commands.push(EngineCommand::EndpointListed(id, endpoint));
        update
    }

    /// Removes an endpoint and its id. New endpoint names appear for as long as the process runs, so a removed endpoint
    /// must not occupy memory.
    pub fn remove(&mut self, id: scheduler::EndpointId, commands: &mut Vec<EngineCommand>) {
        if let Some((name, destination)) = self.names.remove(&id) {
            self.forget_name(&name, destination);
        }
        self.listings.remove(&id);
        commands.push(EngineCommand::EndpointRemoved(id));
    }

    fn forget_name(&mut self, name: &str, destination: scheduler::DestinationId) {
        let Some(ids) = self.ids.get_mut(name) else {
            return;
        };
        ids.remove(&destination);
        if ids.is_empty() {
            self.ids.remove(name);
        }
    }
}
