//! Checks of the destinations and their endpoints.

use super::entries::is_path;
use super::{Checker, Place};
use crate::manifest::error::FaultCause;
use crate::manifest::{name_hash, DestinationSpec};
use std::collections::BTreeSet;

impl Checker<'_> {
    /// Checks all destinations.
    pub(super) fn check_destinations(&mut self) {
        let mut name_hashes = BTreeSet::new();
        let mut endpoint_names = BTreeSet::new();
        for (name, destination) in &self.document.destinations {
            let place = Place::named("destination", name, destination);
            let destination = destination.get_ref();
            self.check_destination(place, destination);
            if !name_hashes.insert(name_hash(name)) {
                self.report(place, FaultCause::NumberCollision);
            }
            self.check_endpoints(place, destination, &mut endpoint_names);
        }
    }

    fn check_destination(&mut self, place: Place<'_>, destination: &DestinationSpec) {
        if destination.endpoints.is_empty() && self.document.list_source.is_none() {
            self.report(place, FaultCause::NoEndpoints);
        }
        if !is_path(&destination.path) {
            self.report(place, FaultCause::InvalidPath(destination.path.clone()));
        }
        if !(destination.rate.is_finite() && destination.rate > 0.0) {
            self.report(place, FaultCause::RateNotPositive);
        }
    }

    /// Checks the endpoints of a destination. Endpoint names must be unique across all destinations of the file.
    fn check_endpoints<'d>(
        &mut self,
        place: Place<'_>,
        destination: &'d DestinationSpec,
        known_names: &mut BTreeSet<&'d str>,
    ) {
        for endpoint in &destination.endpoints {
            let name = &endpoint.name;
            if name.contains('/') && self.document.list_source.is_some() {
                self.report(place, FaultCause::SlashInEndpointName(name.clone()));
            }
            if !known_names.insert(name) {
                self.report(place, FaultCause::DuplicateEndpoint(name.clone()));
            }
        }
    }
}
