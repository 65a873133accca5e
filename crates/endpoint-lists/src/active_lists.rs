//! The active lists, one for each file, and the only way to change them.
//!
//! Evaluating a file does not change the active lists. The resulting candidate can then be stored on disk and activated, in
//! this order.

use crate::check::{self, CheckContext, EndpointSource, ListRules};
use crate::diagnostic::Diagnostic;
use crate::diff::{diff, EndpointChange};
use crate::list::{Endpoint, EndpointList};
use crate::report::Report;
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// The active lists and the rules for new ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveLists {
    rules: ListRules,
    lists: BTreeMap<String, EndpointList>,
    /// Files that are missing but have an active list. Their destinations stay active until another file lists them.
    missing: BTreeSet<String>,
}

/// A list that passed all checks and can be activated.
#[derive(Clone, Debug)]
pub struct Candidate {
    file: String,
    list: EndpointList,
    /// The warnings about the list, if any.
    pub report: Report,
    /// The changes to the active lists; empty if the list is already active.
    pub changes: Vec<EndpointChange>,
}

/// The active list of a missing file after a candidate has taken over some of its destinations.
#[derive(Clone, Debug, PartialEq)]
pub struct SupersededList {
    /// Name of the missing file.
    pub file: String,
    /// The list without the destinations that were taken over; possibly empty.
    pub remaining: EndpointList,
}

impl Candidate {
    /// Returns the list's revision.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// Returns whether an equal list is active for the same file.
    pub fn is_active(&self, active: &ActiveLists) -> bool {
        active.lists.get(&self.file) == Some(&self.list)
    }
}

impl ActiveLists {
    /// Creates an empty set of active lists with these rules.
    pub fn new(rules: ListRules) -> ActiveLists {
        ActiveLists {
            rules,
            ..ActiveLists::default()
        }
    }

    /// Returns the rules against which lists are checked.
    pub fn rules(&self) -> &ListRules {
        &self.rules
    }

    /// Replaces the rules for later evaluations. Active lists stay active, but [`ActiveLists::endpoints`] omits destinations
    /// whose endpoints the new rules do not expect in endpoint lists.
    pub fn set_rules(&mut self, rules: ListRules) {
        self.rules = rules;
    }

    /// Sets the files that exist. The list of a missing file stays active, but other files may take over its destinations,
    /// for example after a file was renamed or split.
    pub fn set_present_files(&mut self, present: &BTreeSet<String>) {
        let files = self.lists.keys();
        self.missing = files
            .filter(|file| !present.contains(*file))
            .cloned()
            .collect();
    }

    /// Returns the names of the missing files that have an active list.
    pub fn missing_files(&self) -> impl Iterator<Item = &str> {
        self.missing.iter().map(String::as_str)
    }

    /// Checks the content of a file against the rules and the active lists.
    ///
    /// # Errors
    /// The report on a rejected list.
    pub fn evaluate(&self, file: &str, bytes: &[u8]) -> Result<Candidate, Report> {
        let report = |diagnostics| Report::new(file, bytes, diagnostics);
        let parsed = EndpointList::parse(bytes, self.rules.max_bytes).map_err(report)?;
        let previous = self.previous_list(file, &parsed.list);
        let has_previous = self.lists.contains_key(file) || !previous.destinations.is_empty();
        let context = CheckContext {
            rules: &self.rules,
            previous: Some(&*previous).filter(|_| has_previous),
            other_lists: self.other_lists(file),
        };
        let report = report(check::check(&parsed, &context));
        if report.is_rejection() {
            return Err(report);
        }
        let changes = diff(&previous, &parsed.list);
        Ok(Candidate {
            file: file.to_owned(),
            list: parsed.list,
            report,
            changes,
        })
    }

    /// Returns the list that a new list of a file replaces: the active list of the file, extended by the destinations that
    /// the new list takes over from missing files.
    fn previous_list(&self, file: &str, new: &EndpointList) -> Cow<'_, EndpointList> {
        let mut previous = match self.lists.get(file) {
            Some(own) => Cow::Borrowed(own),
            None => Cow::Owned(EndpointList::default()),
        };
        for missing in self.missing.iter().filter(|missing| *missing != file) {
            let Some(list) = self.lists.get(missing) else {
                continue;
            };
            let mut taken_over = list
                .destinations
                .iter()
                .filter(|(name, _)| new.destinations.contains_key(*name))
                .map(|(name, destination)| (name.clone(), destination.clone()))
                .peekable();
            // A list may have thousands of destinations, so it is copied only if it changes.
            if taken_over.peek().is_some() {
                previous.to_mut().destinations.extend(taken_over);
            }
        }
        previous
    }

    /// Returns the active lists of other files that are present.
    fn other_lists(&self, file: &str) -> BTreeMap<&str, &EndpointList> {
        self.lists
            .iter()
            .filter(|(other, _)| *other != file && !self.missing.contains(*other))
            .map(|(other, list)| (other.as_str(), list))
            .collect()
    }

    /// Returns the lists of missing files that lose destinations to a candidate. Their stored copies must be replaced before
    /// the candidate is stored.
    pub fn superseded(&self, candidate: &Candidate) -> Vec<SupersededList> {
        let mut superseded = Vec::new();
        for file in self
            .missing
            .iter()
            .filter(|missing| **missing != candidate.file)
        {
            let Some(mut remaining) = self.lists.get(file).cloned() else {
                continue;
            };
            let len_before = remaining.destinations.len();
            remaining
                .destinations
                .retain(|name, _| !candidate.list.destinations.contains_key(name));
            if remaining.destinations.len() < len_before {
                superseded.push(SupersededList {
                    file: file.clone(),
                    remaining,
                });
            }
        }
        superseded
    }

    /// Activates a candidate, and removes the destinations that it takes over from the lists of missing files.
    pub fn activate(&mut self, candidate: Candidate) {
        for SupersededList { file, remaining } in self.superseded(&candidate) {
            if remaining.destinations.is_empty() {
                self.lists.remove(&file);
                self.missing.remove(&file);
            } else {
                self.lists.insert(file, remaining);
            }
        }
        self.missing.remove(&candidate.file);
        self.lists.insert(candidate.file, candidate.list);
    }

    /// Restores a list that an earlier incarnation had activated. Only its format is checked, because its changes were
    /// accepted when it was activated.
    ///
    /// # Errors
    /// The report on a list whose format is invalid.
    pub fn restore(&mut self, file: &str, bytes: &[u8]) -> Result<(), Report> {
        let report = |diagnostics: Vec<Diagnostic>| Report::new(file, bytes, diagnostics);
        let parsed = EndpointList::parse(bytes, self.rules.max_bytes).map_err(report)?;
        self.lists.insert(file.to_owned(), parsed.list);
        Ok(())
    }

    /// Returns the active lists, by file name.
    pub fn lists(&self) -> &BTreeMap<String, EndpointList> {
        &self.lists
    }

    /// Returns whether the rules expect the endpoints of a destination in endpoint lists.
    pub fn uses_endpoint_lists(&self, destination: &str) -> bool {
        let destinations = self.rules.destinations.as_ref();
        destinations.is_none_or(|sources| sources.get(destination) == Some(&EndpointSource::Lists))
    }

    /// Returns the endpoints of all active lists, each with the name of its destination.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        let destinations = self.lists.values().flat_map(|list| &list.destinations);
        let active = destinations.filter(|(name, _)| self.uses_endpoint_lists(name));
        active.flat_map(|(name, destination)| {
            destination
                .endpoints
                .iter()
                .map(move |endpoint| (name.as_str(), endpoint))
        })
    }

    /// Returns the destinations whose endpoints are expected in endpoint lists, but that no active list contains.
    pub fn destinations_without_list(&self) -> Vec<&str> {
        let destinations = self.rules.destinations.iter().flatten();
        let from_lists = destinations.filter(|(_, source)| **source == EndpointSource::Lists);
        let is_listed = |name: &String| {
            self.lists
                .values()
                .any(|list| list.destinations.contains_key(name))
        };
        let unlisted = from_lists.filter(|(name, _)| !is_listed(name));
        unlisted.map(|(name, _)| name.as_str()).collect()
    }
}
