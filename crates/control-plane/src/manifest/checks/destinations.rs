//! Checks of the destinations and their endpoints.

use super::entries::is_path;
use super::{Checker, EntryLocation};
use crate::manifest::error::FaultCause;
use crate::manifest::{name_hash, DestinationSpec};
use std::collections::BTreeSet;

impl Checker<'_> {
    /// Checks all destinations.
    pub(super) fn check_destinations(&mut self) {
        let mut name_hashes = BTreeSet::new();
        let mut endpoint_names = BTreeSet::new();
        for (name, destination) in &self.document.destinations {
            let location = EntryLocation::named("destination", name, destination);
            let destination = destination.get_ref();
            self.check_destination(location, destination);
            if !name_hashes.insert(name_hash(name)) {
                self.report(location, FaultCause::HashCollision);
            }
            self.check_endpoints(location, destination, &mut endpoint_names);
        }
    }

    fn check_destination(&mut self, location: EntryLocation<'_>, destination: &DestinationSpec) {
        if destination.endpoints.is_empty() && self.document.list_source.is_none() {
            self.report(location, FaultCause::NoEndpoints);
        }
        if !is_path(&destination.path) {
            self.report(location, FaultCause::InvalidPath(destination.path.clone()));
        }
        if !(destination.rate.is_finite() && destination.rate > 0.0) {
            self.report(location, FaultCause::RateNotPositive);
        }
    }

    /// Checks the endpoints of a destination. Endpoint names must be unique across all destinations of the file.
    fn check_endpoints<'d>(
        &mut self,
        location: EntryLocation<'_>,
        destination: &'d DestinationSpec,
        known_names: &mut BTreeSet<&'d str>,
    ) {
        for endpoint in &destination.endpoints {
            let name = &endpoint.name;
            if name.contains('/') && self.document.list_source.is_some() {
                self.report(location, FaultCause::SlashInEndpointName(name.clone()));
            }
            if !known_names.insert(name) {
                self.report(location, FaultCause::DuplicateEndpoint(name.clone()));
            }
        }
    }
}
