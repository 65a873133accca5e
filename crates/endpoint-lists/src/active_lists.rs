//! The lists in force, one for each file, and the only way to change them: a file is evaluated first, which changes
//! nothing; what was found good can then be stored on disk and put in force, in this order.

use crate::check::{self, EndpointSource, ListRules, Surroundings};
use crate::diagnostic::{Diagnostic, Report};
use crate::diff::{diff, EndpointChange};
use crate::list::{Endpoint, EndpointList};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// The lists in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveLists {
    rules: ListRules,
    lists: BTreeMap<String, EndpointList>,
    /// Files that are missing now; what they said is in force until another file says it.
    missing: BTreeSet<String>,
}

/// A list that was found good in the place that it would take.
#[derive(Clone, Debug)]
pub struct Candidate {
    file: String,
    list: EndpointList,
    /// What is odd about it, if anything.
    pub report: Report,
    /// What it changes; nothing if it is in force already.
    pub changes: Vec<EndpointChange>,
}

impl Candidate {
    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// Whether it is in force already, to the letter of what it says.
    pub fn is_in_force(&self, active: &ActiveLists) -> bool {
        active.lists.get(&self.file) == Some(&self.list)
    }
}

impl ActiveLists {
    /// No lists yet.
    pub fn new(rules: ListRules) -> ActiveLists {
        ActiveLists {
            rules,
            ..ActiveLists::default()
        }
    }

    /// What its lists must keep to.
    pub fn rules(&self) -> &ListRules {
        &self.rules
    }

    /// Changes what lists must keep to from now on. What is in force stays, but the endpoints of a destination that is
    /// no longer in the manifest count for nothing until it is again.
    pub fn set_rules(&mut self, rules: ListRules) {
        self.rules = rules;
    }

    /// Says which files there are. What a missing one said stays in force, but a file that was renamed or split may name
    /// its destinations.
    pub fn set_present_files(&mut self, present: &BTreeSet<String>) {
        let files = self.lists.keys();
        self.missing = files
            .filter(|file| !present.contains(*file))
            .cloned()
            .collect();
    }

    /// Files that are missing, with a list of theirs in force.
    pub fn missing_files(&self) -> impl Iterator<Item = &str> {
        self.missing.iter().map(String::as_str)
    }

    /// Evaluates what a file holds, in the place that it would take.
    ///
    /// # Errors
    /// The report of what is wrong with it.
    pub fn evaluate(&self, file: &str, bytes: &[u8]) -> Result<Candidate, Report> {
        let report = |diagnostics| Report::new(file, bytes, diagnostics);
        let parsed = EndpointList::parse(bytes, self.rules.max_bytes).map_err(report)?;
        let before = self.before(file, &parsed.list);
        let is_known = self.lists.contains_key(file) || !before.destinations.is_empty();
        let surroundings = Surroundings {
            rules: &self.rules,
            before: Some(&*before).filter(|_| is_known),
            others: self.other_lists(file),
        };
        let report = report(check::check(&parsed, &surroundings));
        if report.is_rejection() {
            return Err(report);
        }
        let changes = diff(&before, &parsed.list);
        Ok(Candidate {
            file: file.to_owned(),
            list: parsed.list,
            report,
            changes,
        })
    }

    /// The list that a file's new one is held against: its own, and of missing files what the new one takes over.
    fn before(&self, file: &str, new: &EndpointList) -> Cow<'_, EndpointList> {
        let mut before = match self.lists.get(file) {
            Some(own) => Cow::Borrowed(own),
            None => Cow::Owned(EndpointList::default()),
        };
        for missing in self.missing.iter().filter(|missing| *missing != file) {
            let Some(list) = self.lists.get(missing) else {
                continue;
            };
            let taken_over = list.destinations.iter();
            let taken_over = taken_over.filter(|(name, _)| new.destinations.contains_key(*name));
            let mut taken_over = taken_over
                .map(|(name, destination)| (name.clone(), destination.clone()))
                .peekable();
            // A list may have thousands: copied only where it must be.
            if taken_over.peek().is_some() {
                before.to_mut().destinations.extend(taken_over);
            }
        }
        before
    }

    /// The lists of other files that are present.
    fn other_lists(&self, file: &str) -> BTreeMap<String, &EndpointList> {
        let others = self.lists.iter();
        let others = others.filter(|(other, _)| *other != file && !self.missing.contains(*other));
        others.map(|(other, list)| (other.clone(), list)).collect()
    }

    /// What missing files say once a list has taken over their destinations, empty lists included. Stored copies must
    /// follow before the list itself is stored.
    pub fn superseded(&self, candidate: &Candidate) -> Vec<(String, EndpointList)> {
        let mut remaining = Vec::new();
        for file in self
            .missing
            .iter()
            .filter(|missing| **missing != candidate.file)
        {
            let Some(mut list) = self.lists.get(file).cloned() else {
                continue;
            };
            let before = list.destinations.len();
            list.destinations
                .retain(|name, _| !candidate.list.destinations.contains_key(name));
            if list.destinations.len() < before {
                remaining.push((file.clone(), list));
            }
        }
        remaining
    }

    /// Puts a list in force.
    pub fn activate(&mut self, candidate: Candidate) {
        for (file, remaining) in self.superseded(&candidate) {
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

    /// Puts a list back in force that was found good by an earlier incarnation. Only its format is checked: what was
    /// reached by allowed steps then needs no allowance now.
    ///
    /// # Errors
    /// The report of what is wrong with its format.
    pub fn restore(&mut self, file: &str, bytes: &[u8]) -> Result<(), Report> {
        let report = |diagnostics: Vec<Diagnostic>| Report::new(file, bytes, diagnostics);
        let parsed = EndpointList::parse(bytes, self.rules.max_bytes).map_err(report)?;
        self.lists.insert(file.to_owned(), parsed.list);
        Ok(())
    }

    /// The lists in force by file.
    pub fn lists(&self) -> &BTreeMap<String, EndpointList> {
        &self.lists
    }

    /// Whether lists decide where a destination is reached.
    pub fn is_from_lists(&self, destination: &str) -> bool {
        let destinations = self.rules.destinations.as_ref();
        destinations.is_none_or(|all| all.get(destination) == Some(&EndpointSource::Lists))
    }

    /// All endpoints in force, each with its destination.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        let destinations = self.lists.values().flat_map(|list| &list.destinations);
        let in_force = destinations.filter(|(name, _)| self.is_from_lists(name));
        in_force.flat_map(|(name, destination)| {
            destination
                .endpoints
                .iter()
                .map(move |endpoint| (name.as_str(), endpoint))
        })
    }

    /// Destinations that lists decide on and for which no list is in force.
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
