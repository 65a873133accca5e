//! Checks of a list beyond its format: against the operators' manifest, the lists of other files, and the list that it
//! replaces.

mod changes;
mod weight_loss;

pub use weight_loss::weight_loss;

use crate::diagnostic::Diagnostic;
use crate::list::{Destination, Endpoint, EndpointList, ParsedList};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;

const DEFAULT_MAX_BYTES: usize = 8 * 1024 * 1024;
const DEFAULT_MAX_LOSS: f64 = 0.5;

/// The place where the endpoints of a destination are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSource {
    /// The endpoints are listed in endpoint lists.
    Lists,
    /// The endpoints are listed in the manifest itself.
    Manifest,
}

/// The rules against which lists are checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ListRules {
    /// The destinations of the manifest; `None` if there is no manifest, and any destination name is valid.
    pub destinations: Option<BTreeMap<String, EndpointSource>>,
    /// Maximum size of a file, in bytes.
    pub max_bytes: usize,
    /// Maximum share of a destination's weight, 0 to 1, that one change may remove without a loss allowance.
    pub max_weight_loss: f64,
    /// Maximum share of a file's active endpoints, 0 to 1, that one change may remove without a loss allowance.
    pub max_endpoint_loss: f64,
}

impl Default for ListRules {
    fn default() -> ListRules {
        ListRules {
            destinations: None,
            max_bytes: DEFAULT_MAX_BYTES,
            max_weight_loss: DEFAULT_MAX_LOSS,
            max_endpoint_loss: DEFAULT_MAX_LOSS,
        }
    }
}

/// The rules and lists against which a list is checked.
pub(crate) struct CheckContext<'a> {
    pub rules: &'a ListRules,
    /// The list that the checked list replaces, if any.
    pub previous: Option<&'a EndpointList>,
    /// The active lists of other files, by file name.
    pub other_lists: BTreeMap<&'a str, &'a EndpointList>,
}

/// Returns all diagnostics of a list, including the warnings of its format.
pub(crate) fn check(parsed: &ParsedList, context: &CheckContext<'_>) -> Vec<Diagnostic> {
    let mut checker = Checker {
        parsed,
        context,
        diagnostics: parsed.warnings.clone(),
    };
    for (name, destination) in &parsed.list.destinations {
        checker.check_endpoint_source(name);
        checker.check_not_in_other_files(name);
        checker.check_has_active_endpoint(name, destination);
    }
    checker.check_shared_addresses();
    if let Some(previous) = context
        .previous
        .filter(|previous| **previous != parsed.list)
    {
        checker.check_revision(previous);
        checker.check_weight_losses(previous);
        checker.check_endpoint_losses(previous);
        checker.check_address_changes(previous);
    }
    checker.diagnostics
}

/// Checks one list and collects the diagnostics.
struct Checker<'a> {
    parsed: &'a ParsedList,
    context: &'a CheckContext<'a>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> Checker<'a> {
    fn span_of(&self, destination: &str) -> Option<Range<usize>> {
        self.parsed.spans.destinations.get(destination).cloned()
    }

    /// Adds an error located at a destination's table.
    fn error(&mut self, code: &'static str, destination: &str, message: String, help: &str) {
        let span = self.span_of(destination);
        self.diagnostics
            .push(Diagnostic::error(code, span, message, help));
    }

    /// Adds a warning located at a destination's table.
    fn warning(&mut self, code: &'static str, destination: &str, message: String, help: &str) {
        let span = self.span_of(destination);
        self.diagnostics
            .push(Diagnostic::warning(code, span, message, help));
    }

    /// Adds an error located at the list's revision.
    fn error_at_revision(&mut self, code: &'static str, message: String, help: String) {
        let span = Some(self.parsed.spans.revision.clone());
        self.diagnostics
            .push(Diagnostic::error(code, span, message, help));
    }

    /// Checks that the manifest has a destination, and that its endpoints are to be listed in endpoint lists.
    fn check_endpoint_source(&mut self, name: &str) {
        let destinations = self.context.rules.destinations.as_ref();
        match destinations.map(|destinations| destinations.get(name)) {
            None | Some(Some(EndpointSource::Lists)) => {}
            Some(None) => {
                let message = format!("{name} is not a destination in the operators' file");
                let help =
                    "correct the name, or plan and apply an operators' file that contains the destination";
                self.error("unknown-partner", name, message, help);
            }
            Some(Some(EndpointSource::Manifest)) => {
                let message = format!("the endpoints of {name} are listed in the operators' file");
                let help = "remove the destination from this file, or its endpoints from the operators' file";
                self.error("fixed-partner", name, message, help);
            }
        }
    }

    /// Checks that no other file lists a destination.
    fn check_not_in_other_files(&mut self, name: &str) {
        let mut other_lists = self.context.other_lists.iter();
        if let Some((file, _)) = other_lists.find(|(_, list)| list.destinations.contains_key(name))
        {
            let message = format!("{name} stands in {file} too");
            let help =
                "remove it from one of the two files; to move it, remove it from the old file first";
            self.error("two-files", name, message, help);
        }
    }

    /// Warns of a destination without an active endpoint.
    fn check_has_active_endpoint(&mut self, name: &str, destination: &Destination) {
        if !destination.endpoints.iter().any(Endpoint::is_active) {
            let message = format!("no endpoint of {name} receives new attempts");
            let help =
                "its messages will wait until they expire; activate an endpoint unless this is intended";
            self.warning("none-serves", name, message, help);
        }
    }

    /// Warns of two destinations with the same address. They may share a gateway, but more often one entry was copied from
    /// the other by mistake.
    fn check_shared_addresses(&mut self) {
        let mut destinations_by_address: HashMap<SocketAddr, &str> = HashMap::new();
        let other_destinations = self
            .context
            .other_lists
            .values()
            .flat_map(|list| &list.destinations);
        for (name, destination) in other_destinations {
            let addresses = destination
                .endpoints
                .iter()
                .map(|endpoint| endpoint.address);
            destinations_by_address.extend(addresses.map(|address| (address, name.as_str())));
        }
        let parsed: &'a ParsedList = self.parsed;
        for (name, destination) in &parsed.list.destinations {
            for endpoint in &destination.endpoints {
                let other = destinations_by_address.insert(endpoint.address, name);
                if let Some(other) = other.filter(|other| other != name) {
                    let message =
                        format!("{name} and {other} share the address {}", endpoint.address);
                    let help = "make sure that both destinations are reached at this address";
                    self.warning("shared-address", name, message, help);
                }
            }
        }
    }
}
