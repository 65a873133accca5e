//! Finds what contradicts itself in a document. Faults are given in the order of the document's tables.

mod entries;
mod group;

use super::document::Document;
use super::error::{FaultCause, ManifestFault};
use super::{destination_number, DestinationSpec, InstanceSpec};
use entries::{class_fault, is_path, limits_fault, list_source_fault, name_is_valid};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use toml::Spanned;

/// More external instances than serve any destination; a number above it is a mistake.
const MAX_EXTERNAL_INSTANCES: usize = 10_000;

/// All faults of a document.
pub(super) fn check(document: &Document, text: &str) -> Vec<ManifestFault> {
    let mut checker = Checker {
        document,
        line_breaks: text.match_indices('\n').map(|(at, _)| at).collect(),
        faults: Vec::new(),
    };
    checker.check_classes();
    checker.check_destinations();
    checker.check_instances();
    checker.check_fleet();
    checker.check_list_source();
    checker.check_group();
    checker.check_limits();
    checker.faults
}

/// The entry that a fault is of.
#[derive(Clone, Copy)]
struct Place<'a> {
    kind: &'static str,
    /// `None` where there is one entry of the kind.
    name: Option<&'a str>,
    /// Where it begins, in bytes.
    offset: usize,
}

impl<'a> Place<'a> {
    fn named<T>(kind: &'static str, name: &'a str, entry: &Spanned<T>) -> Place<'a> {
        Place {
            kind,
            name: Some(name),
            offset: entry.span().start,
        }
    }

    fn only<T>(kind: &'static str, entry: &Spanned<T>) -> Place<'a> {
        Place {
            kind,
            name: None,
            offset: entry.span().start,
        }
    }
}

struct Checker<'a> {
    document: &'a Document,
    /// Sorted: a line is found by halving, as there may be tens of thousands of entries.
    line_breaks: Vec<usize>,
    faults: Vec<ManifestFault>,
}

impl Checker<'_> {
    fn report(&mut self, place: Place<'_>, cause: FaultCause) {
        let entry = match place.name {
            Some(name) => format!("{} {name}", place.kind),
            None => place.kind.to_owned(),
        };
        let line = self.line_breaks.partition_point(|at| *at < place.offset) + 1;
        self.faults.push(ManifestFault {
            line: Some(line),
            entry,
            cause,
        });
    }

    fn check_classes(&mut self) {
        for (name, class) in &self.document.classes {
            if let Some(cause) = class_fault(class.get_ref()) {
                self.report(Place::named("class", name, class), cause);
            }
        }
    }

    fn check_destinations(&mut self) {
        let mut numbers = BTreeSet::new();
        let mut endpoint_names = BTreeSet::new();
        for (name, destination) in &self.document.destinations {
            let place = Place::named("destination", name, destination);
            let destination = destination.get_ref();
            self.check_destination(place, destination);
            if !numbers.insert(destination_number(name)) {
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

    /// An endpoint's name is the only one in the whole file.
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

    fn check_instances(&mut self) {
        let mut addresses = BTreeSet::new();
        for (name, instance) in &self.document.instances {
            let place = Place::named("instance", name, instance);
            let instance = instance.get_ref();
            // The name is also the name of its folder.
            if !name_is_valid(name) {
                self.report(place, FaultCause::InvalidName);
            }
            if instance.events.is_none() && instance.platform.is_none() {
                self.report(place, FaultCause::NoFrontend);
            }
            if let Some(cause) = instance.limits.as_ref().and_then(limits_fault) {
                self.report(place, cause);
            }
            self.check_events_frontend(place, instance);
            self.check_platform_frontend(place, instance);
            self.check_addresses(place, instance, &mut addresses);
        }
    }

    fn check_events_frontend(&mut self, place: Place<'_>, instance: &InstanceSpec) {
        let Some(events) = &instance.events else {
            return;
        };
        if !is_path(&events.path) {
            self.report(place, FaultCause::InvalidPath(events.path.clone()));
        }
        for (event_type, class) in &events.class_by_type {
            if !self.document.classes.contains_key(class) {
                let cause = FaultCause::UnknownClass {
                    event_type: event_type.clone(),
                    class: class.clone(),
                };
                self.report(place, cause);
            }
        }
    }

    fn check_platform_frontend(&mut self, place: Place<'_>, instance: &InstanceSpec) {
        let Some(platform) = &instance.platform else {
            return;
        };
        for (number, destination) in &platform.destination_by_number {
            let is_known = self.document.destinations.contains_key(destination);
            if number.parse::<u64>().is_err() || !is_known {
                let cause = FaultCause::UnknownDestination {
                    number: number.clone(),
                    destination: destination.clone(),
                };
                self.report(place, cause);
            }
        }
    }

    fn check_addresses(
        &mut self,
        place: Place<'_>,
        instance: &InstanceSpec,
        known_addresses: &mut BTreeSet<SocketAddr>,
    ) {
        let events = instance.events.iter().map(|events| events.listen_address);
        let platform = instance.platform.iter();
        for address in events.chain(platform.map(|platform| platform.listen_address)) {
            if address.port() != 0 && !known_addresses.insert(address) {
                self.report(place, FaultCause::DuplicateAddress(address));
            }
        }
    }

    fn check_fleet(&mut self) {
        let Some(fleet) = &self.document.fleet else {
            return;
        };
        if fleet.get_ref().external_instances > MAX_EXTERNAL_INSTANCES {
            let cause = FaultCause::TooManyExternalInstances {
                max: MAX_EXTERNAL_INSTANCES,
            };
            self.report(Place::only("fleet", fleet), cause);
        }
    }

    fn check_list_source(&mut self) {
        let Some(source) = &self.document.list_source else {
            return;
        };
        if let Some(cause) = list_source_fault(source.get_ref()) {
            self.report(Place::only("roster", source), cause);
        }
    }

    /// The manifest's own limits have no line, as they may be left out.
    fn check_limits(&mut self) {
        if let Some(cause) = limits_fault(&self.document.limits) {
            self.faults.push(ManifestFault {
                line: None,
                entry: "limits".to_owned(),
                cause,
            });
        }
    }
}
