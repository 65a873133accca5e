//! Checks a list that is sound by its format against what surrounds it: the operators' manifest, the other lists, and the
//! list that it would replace.

use crate::diagnostic::Diagnostic;
use crate::list::{Destination, Endpoint, EndpointList, ParsedList};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::Range;

/// What says where a destination of the manifest is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSource {
    /// Endpoint lists.
    Lists,
    /// The manifest itself.
    Manifest,
}

/// What a list must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct ListRules {
    /// The destinations of the manifest; `None` where none is at hand, and any name passes.
    pub destinations: Option<BTreeMap<String, EndpointSource>>,
    /// The largest file, in bytes.
    pub max_bytes: usize,
    /// The share of a destination's weight, 0 to 1, that one change may take away without an allowance.
    pub max_weight_loss: f64,
    /// The share of a file's endpoints, 0 to 1, that one change may take away without an allowance.
    pub max_endpoint_loss: f64,
}

impl Default for ListRules {
    fn default() -> ListRules {
        ListRules {
            destinations: None,
            max_bytes: 8 << 20,
            max_weight_loss: 0.5,
            max_endpoint_loss: 0.5,
        }
    }
}

/// What surrounds a list.
pub(crate) struct Surroundings<'a> {
    pub rules: &'a ListRules,
    /// The list that it would replace, if there is one.
    pub before: Option<&'a EndpointList>,
    /// The lists of other files, by file.
    pub others: BTreeMap<String, &'a EndpointList>,
}

/// All that is wrong with a list in the place that it would take, with the warnings of its format.
pub(crate) fn check(parsed: &ParsedList, surroundings: &Surroundings<'_>) -> Vec<Diagnostic> {
    let mut check = Check {
        parsed,
        surroundings,
        found: parsed.warnings.clone(),
    };
    for (name, destination) in &parsed.list.destinations {
        check.destination(name, destination);
    }
    check.shared_addresses();
    if let Some(before) = surroundings.before.filter(|before| **before != parsed.list) {
        check.revision(before);
        check.weight_losses(before);
        check.endpoint_losses(before);
        check.moved_endpoints(before);
    }
    check.found
}

/// The share of its weight, 0 to 1, that a destination would lose: what stood on endpoints that get nothing new from now
/// on, and what others lose against the one that keeps most. Scaling all weights alike loses nothing, nor do further
/// endpoints.
pub fn weight_lost(old: &Destination, new: &Destination) -> f64 {
    let active = new.endpoints.iter().filter(|endpoint| endpoint.is_active());
    let kept: HashMap<&str, f64> = active
        .map(|endpoint| (endpoint.name.as_str(), endpoint.weight))
        .collect();
    let before: Vec<&Endpoint> = old
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.is_active())
        .collect();
    let total: f64 = before.iter().map(|endpoint| endpoint.weight).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let kept_share = |endpoint: &Endpoint| {
        let weight = kept.get(endpoint.name.as_str());
        weight.map_or(0.0, |now| now / endpoint.weight)
    };
    let most_kept = before
        .iter()
        .map(|endpoint| kept_share(endpoint))
        .fold(0.0, f64::max);
    let lost = |endpoint: &Endpoint| {
        let share = if most_kept > 0.0 {
            1.0 - kept_share(endpoint) / most_kept
        } else {
            1.0
        };
        endpoint.weight / total * share
    };
    before.iter().map(|endpoint| lost(endpoint)).sum()
}

/// One check of a list.
struct Check<'a> {
    parsed: &'a ParsedList,
    surroundings: &'a Surroundings<'a>,
    found: Vec<Diagnostic>,
}

impl<'a> Check<'a> {
    fn span_of(&self, destination: &str) -> Option<Range<usize>> {
        self.parsed.spans.destinations.get(destination).cloned()
    }

    fn error(&mut self, code: &'static str, destination: &str, message: String, help: &str) {
        let span = self.span_of(destination);
        self.found
            .push(Diagnostic::error(code, span, message, help));
    }

    fn warning(&mut self, code: &'static str, destination: &str, message: String, help: &str) {
        let span = self.span_of(destination);
        self.found
            .push(Diagnostic::warning(code, span, message, help));
    }

    fn destination(&mut self, name: &str, destination: &Destination) {
        let destinations = self.surroundings.rules.destinations.as_ref();
        match destinations.map(|destinations| destinations.get(name)) {
            None | Some(Some(EndpointSource::Lists)) => {}
            Some(None) => {
                let message = format!("{name} is no partner of the operators' file");
                let help =
                    "mend the name, or plan and apply an operators' file that has the destination";
                self.error("unknown-partner", name, message, help);
            }
            Some(Some(EndpointSource::Manifest)) => {
                let message = format!("the endpoints of {name} stand in the operators' file");
                let help = "take the destination out here, or its endpoints out there";
                self.error("fixed-partner", name, message, help);
            }
        }
        let mut others = self.surroundings.others.iter();
        if let Some((file, _)) = others.find(|(_, list)| list.destinations.contains_key(name)) {
            let message = format!("{name} stands in {file} too");
            let help = "take it out of one of the two files; first out of the old one, then into the new one";
            self.error("two-files", name, message, help);
        }
        if !destination.endpoints.iter().any(Endpoint::is_active) {
            let message = format!("no endpoint of {name} takes anything new");
            let help =
                "its messages wait until their time is up; let one serve unless that is meant";
            self.warning("none-serves", name, message, help);
        }
    }

    /// Two destinations behind one address may share a gateway; more often one of them was pasted.
    fn shared_addresses(&mut self) {
        let mut seen: HashMap<SocketAddr, &str> = HashMap::new();
        let elsewhere = self
            .surroundings
            .others
            .values()
            .flat_map(|list| &list.destinations);
        for (name, destination) in elsewhere {
            let addresses = destination
                .endpoints
                .iter()
                .map(|endpoint| endpoint.address);
            seen.extend(addresses.map(|address| (address, name.as_str())));
        }
        let parsed: &'a ParsedList = self.parsed;
        for (name, destination) in &parsed.list.destinations {
            for endpoint in &destination.endpoints {
                let other = seen.insert(endpoint.address, name);
                if let Some(other) = other.filter(|other| other != name) {
                    let message =
                        format!("{name} and {other} share the address {}", endpoint.address);
                    let help = "make sure that both partners are behind it";
                    self.warning("shared-address", name, message, help);
                }
            }
        }
    }

    fn revision(&mut self, before: &EndpointList) {
        let (new, old) = (self.parsed.list.revision, before.revision);
        if new > old {
            return;
        }
        let message =
            format!("revision {new} is not above {old}, which is in force with other content");
        let help = format!("raise both places to {} or more", old.saturating_add(1));
        let span = Some(self.parsed.spans.revision.clone());
        self.found
            .push(Diagnostic::error("old-revision", span, message, help));
    }

    fn weight_losses(&mut self, before: &EndpointList) {
        let none = Destination::default();
        let list = &self.parsed.list;
        let allowed = list.loss_allowance.clone().unwrap_or_default();
        for (name, old) in &before.destinations {
            let new = list.destinations.get(name).unwrap_or(&none);
            let lost = if old == new {
                0.0
            } else {
                weight_lost(old, new)
            };
            if lost <= self.surroundings.rules.max_weight_loss
                || allowed.destinations.contains(name)
            {
                continue;
            }
            let message = format!(
                "{:.0}% of the weight of {name} would be taken away at once",
                lost * 100.0
            );
            let help = format!(
                "go in smaller steps, or say so: allow_loss = {{ revision = {}, destinations = [{name:?}] }}",
                list.revision
            );
            let span = self
                .span_of(name)
                .unwrap_or(self.parsed.spans.revision.clone());
            self.found
                .push(Diagnostic::error("large-loss", Some(span), message, help));
        }
    }

    fn endpoint_losses(&mut self, before: &EndpointList) {
        let list = &self.parsed.list;
        let (mut all, mut lost) = (0_u32, 0_u32);
        for (name, old) in &before.destinations {
            let new = list.destinations.get(name).into_iter();
            let active = new
                .flat_map(|new| &new.endpoints)
                .filter(|endpoint| endpoint.is_active());
            let active: BTreeSet<&str> = active.map(|endpoint| endpoint.name.as_str()).collect();
            for endpoint in old.endpoints.iter().filter(|endpoint| endpoint.is_active()) {
                all += 1;
                lost += u32::from(!active.contains(endpoint.name.as_str()));
            }
        }
        let allowed = list
            .loss_allowance
            .as_ref()
            .is_some_and(|allowance| allowance.endpoints);
        let share = f64::from(lost) / f64::from(all.max(1));
        if share <= self.surroundings.rules.max_endpoint_loss || allowed {
            return;
        }
        let message = format!("{lost} of the {all} endpoints in use would be taken away at once");
        let help = format!(
            "go in smaller steps, or say so: allow_loss = {{ revision = {}, endpoints = true }}",
            list.revision
        );
        let span = Some(self.parsed.spans.revision.clone());
        self.found
            .push(Diagnostic::error("large-loss", span, message, help));
    }

    /// An endpoint with its old name at another address is most often right, and sends messages to nowhere if not.
    fn moved_endpoints(&mut self, before: &EndpointList) {
        let parsed: &'a ParsedList = self.parsed;
        for (name, destination) in &parsed.list.destinations {
            let Some(old) = before.destinations.get(name) else {
                continue;
            };
            for endpoint in &destination.endpoints {
                let previous = old.endpoints.iter().find(|old| old.name == endpoint.name);
                let Some(previous) = previous.filter(|old| old.address != endpoint.address) else {
                    continue;
                };
                let message = format!(
                    "{name}/{} moves from {} to {}",
                    endpoint.name, previous.address, endpoint.address
                );
                self.warning("moved", name, message, "make sure that it answers there");
            }
        }
    }
}
