//! Checks of the instances and their frontends.

use super::entries::{is_path, limits_fault, name_is_valid};
use super::{Checker, EntryLocation};
use crate::manifest::error::FaultCause;
use crate::manifest::InstanceSpec;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Checker<'_> {
    /// Checks all instances and their frontends.
    pub(super) fn check_instances(&mut self) {
        let mut addresses = BTreeSet::new();
        for (name, instance) in &self.document.instances {
            let location = EntryLocation::named("instance", name, instance);
            let instance = instance.get_ref();
            // The instance's name is also the name of its state folder.
            if !name_is_valid(name) {
                self.report(location, FaultCause::InvalidName);
            }
            if instance.events.is_none() && instance.platform.is_none() {
                self.report(location, FaultCause::NoFrontend);
            }
            if let Some(cause) = instance.limits.as_ref().and_then(limits_fault) {
                self.report(location, cause);
            }
            self.check_events_frontend(location, instance);
            self.check_platform_frontend(location, instance);
            self.check_addresses(location, instance, &mut addresses);
        }
    }

    fn check_events_frontend(&mut self, location: EntryLocation<'_>, instance: &InstanceSpec) {
        let Some(events) = &instance.events else {
            return;
        };
        if !is_path(&events.path) {
            self.report(location, FaultCause::InvalidPath(events.path.clone()));
        }
        for (event_type, class) in &events.class_by_type {
            if !self.document.classes.contains_key(class) {
                let cause = FaultCause::UnknownClass {
                    event_type: event_type.clone(),
                    class: class.clone(),
                };
                self.report(location, cause);
            }
        }
    }

    fn check_platform_frontend(&mut self, location: EntryLocation<'_>, instance: &InstanceSpec) {
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
                self.report(location, cause);
            }
        }
    }

    fn check_addresses(
        &mut self,
        location: EntryLocation<'_>,
        instance: &InstanceSpec,
        known_addresses: &mut BTreeSet<SocketAddr>,
    ) {
        let events = instance.events.iter().map(|events| events.listen_address);
        let platform = instance.platform.iter();
        for address in events.chain(platform.map(|platform| platform.listen_address)) {
            if address.port() != 0 && !known_addresses.insert(address) {
                self.report(location, FaultCause::DuplicateAddress(address));
            }
        }
    }
}
