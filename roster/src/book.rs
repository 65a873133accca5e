//! The lists in force, one for each file, and the only way to change them: a file is weighed first, which changes
//! nothing, and what was found good can then be kept on disk and taken up, in this order.

use crate::check::{self, Standing, Terms};
use crate::diff::{diff, Change};
use crate::fault::{Fault, Report};
use crate::form::{Endpoint, Roster};
use std::collections::BTreeMap;

/// The lists in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    terms: Terms,
    good: BTreeMap<String, Roster>,
}

/// A list that was found good in the place that it would take.
#[derive(Clone, Debug)]
pub struct Offer {
    file: String,
    roster: Roster,
    /// What is odd about it, if anything.
    pub report: Report,
    /// What it changes; nothing if it is in force already.
    pub changes: Vec<Change>,
}

impl Offer {
    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.roster.revision
    }
}

impl Book {
    /// An empty one.
    pub fn new(terms: Terms) -> Book {
        Book { terms, good: BTreeMap::new() }
    }

    /// What its lists must keep to.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Changes what lists must keep to from now on. What is in force stays, but a destination that is no longer a
    /// partner counts for nothing until it is one again.
    pub fn hold_to(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Weighs what a file holds; a roster that is wrong comes back as the report of what is.
    pub fn weigh(&self, file: &str, bytes: &[u8]) -> Result<Offer, Report> {
        let refuse = |faults| Report::new(file, bytes, faults);
        let read = Roster::read(bytes, self.terms.most_bytes).map_err(refuse)?;
        let before = self.good.get(file);
        let others = self.good.iter().filter(|(other, _)| *other != file);
        let others = others.map(|(other, roster)| (other.clone(), roster)).collect();
        let report = refuse(check::faults(&self.terms, &read, before, &others));
        if report.is_refusal() {
            return Err(report);
        }
        let changes = diff(before.unwrap_or(&Roster::default()), &read.roster);
        Ok(Offer { file: file.to_owned(), roster: read.roster, report, changes })
    }

    /// Puts a list in force.
    pub fn take(&mut self, offer: Offer) {
        self.good.insert(offer.file, offer.roster);
    }

    /// Puts a list back in force that was found good in an earlier life. Only its form is looked at: what was
    /// reached by allowed steps then needs no allowance now.
    pub fn restore(&mut self, file: &str, bytes: &[u8]) -> Result<(), Report> {
        let refuse = |faults: Vec<Fault>| Report::new(file, bytes, faults);
        let read = Roster::read(bytes, self.terms.most_bytes).map_err(refuse)?;
        self.good.insert(file.to_owned(), read.roster);
        Ok(())
    }

    /// The lists in force by file.
    pub fn rosters(&self) -> &BTreeMap<String, Roster> {
        &self.good
    }

    /// Whether a roster decides where a destination is reached.
    pub fn is_rostered(&self, destination: &str) -> bool {
        let standing = |partners: &BTreeMap<String, Standing>| partners.get(destination).copied();
        self.terms.partners.as_ref().is_none_or(|all| standing(all) == Some(Standing::Rostered))
    }

    /// All endpoints in force, each with its destination.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        let all = self.good.values().flat_map(|roster| &roster.destinations);
        let all = all.filter(|(name, _)| self.is_rostered(name));
        all.flat_map(|(name, to)| to.endpoints.iter().map(move |endpoint| (name.as_str(), endpoint)))
    }

    /// Rostered partners for which no list is in force.
    pub fn unlisted(&self) -> Vec<&str> {
        let partners = self.terms.partners.iter().flatten();
        let rostered = partners.filter(|(_, standing)| **standing == Standing::Rostered);
        let listed = |name: &String| self.good.values().any(|roster| roster.destinations.contains_key(name));
        rostered.filter(|(name, _)| !listed(name)).map(|(name, _)| name.as_str()).collect()
    }
}
