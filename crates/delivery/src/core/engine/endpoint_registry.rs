//! The endpoints that the engine knows: their ids, their listings, and which ones operators have disabled.

use super::EngineCommand;
use crate::core::endpoint::ListedEndpoint;
use marblefall_scheduler as scheduler;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a list of endpoints covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListScope {
    /// All endpoints: those that are not in it are removed.
    Complete,
    /// Only the endpoints that changed.
    Changes,
}

/// All endpoints that are listed or that an open message was sent to.
#[derive(Debug, Default)]
pub(super) struct EndpointRegistry {
    ids: HashMap<String, scheduler::EndpointId>,
    names: BTreeMap<scheduler::EndpointId, String>,
    next_id: u32,
    /// Destinations that have had an endpoint.
    destinations: BTreeSet<scheduler::DestinationId>,
    /// The last listing of each endpoint, from which one that is disabled or enabled is applied again.
    listings: BTreeMap<scheduler::EndpointId, ListedEndpoint>,
    /// Names of the endpoints that operators disabled.
    disabled: BTreeSet<String>,
}

impl EndpointRegistry {
    /// The id of an endpoint, a new one where the name is unknown.
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

    /// The name of an endpoint.
    pub fn name_of(&self, id: scheduler::EndpointId) -> Option<&String> {
        self.names.get(&id)
    }

    /// The listing of an endpoint.
    pub fn listing(&self, id: scheduler::EndpointId) -> Option<&ListedEndpoint> {
        self.listings.get(&id)
    }

    /// All listings.
    pub fn all_listings(&self) -> Vec<ListedEndpoint> {
        self.listings.values().cloned().collect()
    }

    /// Whether a destination has had an endpoint.
    pub fn has_destination(&self, id: scheduler::DestinationId) -> bool {
        self.destinations.contains(&id)
    }

    /// Removes a destination, as one that has had no endpoint.
    pub fn remove_destination(&mut self, id: scheduler::DestinationId) {
        self.destinations.remove(&id);
    }

    /// Replaces the names of disabled endpoints; returns the listings of those that are newly disabled or enabled.
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

    /// Applies a list; returns the updates for the scheduler.
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

    /// The known endpoints that a list removes.
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

    /// Removes an endpoint with its id. New endpoint names appear for as long as the process runs, so a removed one must
    /// not use memory.
    pub fn remove(&mut self, id: scheduler::EndpointId, commands: &mut Vec<EngineCommand>) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
        self.listings.remove(&id);
        commands.push(EngineCommand::EndpointRemoved(id));
    }
}
