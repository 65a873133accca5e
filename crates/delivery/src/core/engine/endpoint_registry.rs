//! Registry of the known endpoints: their ids, their listings, and the ones that operators have disabled.

use super::EngineCommand;
use crate::core::endpoint::ListedEndpoint;
use marblefall_scheduler as scheduler;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The scope of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListScope {
    /// The list contains all endpoints. Known endpoints that are not in it are removed.
    Complete,
    /// The list contains only the endpoints that changed.
    Changes,
}

/// All endpoints that are listed or that an open message was sent to.
#[derive(Debug, Default)]
pub(super) struct EndpointRegistry {
    ids: HashMap<String, scheduler::EndpointId>,
    names: BTreeMap<scheduler::EndpointId, String>,
    next_id: u32,
    /// Destinations that have, or have had, an endpoint in the list.
    destinations: BTreeSet<scheduler::DestinationId>,
    /// The last listing of each endpoint. It is applied again when the endpoint is disabled or enabled.
    listings: BTreeMap<scheduler::EndpointId, ListedEndpoint>,
    /// Names of the endpoints that operators have disabled.
    disabled: BTreeSet<String>,
}

impl EndpointRegistry {
    /// Returns the id of an endpoint, and assigns a new one if the name is unknown.
    pub fn get_or_assign_id(&mut self, name: &str) -> scheduler::EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = scheduler::EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        id
    }

    /// Returns the name of an endpoint.
    pub fn name_of(&self, id: scheduler::EndpointId) -> Option<&String> {
        self.names.get(&id)
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
        ids.filter_map(|id| self.listings.get(id).cloned())
            .collect()
    }

    /// Applies a list. Returns the updates for the scheduler.
    pub fn apply(
        &mut self,
        endpoints: Vec<ListedEndpoint>,
        scope: ListScope,
        commands: &mut Vec<EngineCommand>,
    ) -> Vec<scheduler::EndpointUpdate> {
        let updates: Vec<_> = endpoints
            .into_iter()
            .map(|endpoint| self.apply_one(endpoint, commands))
            .collect();
        for id in self.removed_ids(&updates, scope) {
            self.remove(id, commands);
        }
        updates
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
            ListScope::Changes => {
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
        let id = self.get_or_assign_id(&endpoint.name);
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
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
        self.listings.remove(&id);
        commands.push(EngineCommand::EndpointRemoved(id));
    }
}
