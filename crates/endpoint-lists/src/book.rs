//! The lists in force, one for each file, and the only way to change them: a file is weighed first, which changes
//! nothing, and what was found good can then be kept on disk and taken up, in this order.

use crate::check::{self, Standing, Terms};
use crate::diff::{diff, Change};
use crate::fault::{Fault, Report};
use crate::form::{Endpoint, Roster};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

/// The lists in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    terms: Terms,
    good: BTreeMap<String, Roster>,
    /// Files that are missing now; what they said holds until another file says it.
    absent: BTreeSet<String>,
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

    /// Whether it is in force already, to the letter of what it says.
    pub fn is_in(&self, book: &Book) -> bool {
        book.good.get(&self.file) == Some(&self.roster)
    }
}

impl Book {
    /// An empty one.
    pub fn new(terms: Terms) -> Book {
        Book {
            terms,
            ..Book::default()
        }
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

    /// Says which files there are. What a missing one said stays in force, but a file that was renamed or split may
    /// name its destinations.
    pub fn see(&mut self, present: &BTreeSet<String>) {
        self.absent = self
            .good
            .keys()
            .filter(|file| !present.contains(*file))
            .cloned()
            .collect();
    }

    /// Files that are missing, with a list of theirs in force.
    pub fn missing(&self) -> impl Iterator<Item = &str> {
        self.absent.iter().map(String::as_str)
    }

    /// The list that a file's new one is held against: its own, and of missing files what the new one takes over.
    fn before(&self, file: &str, new: &Roster) -> Cow<'_, Roster> {
        let own = self.good.get(file);
        let mut before = own.map_or_else(|| Cow::Owned(Roster::default()), Cow::Borrowed);
        for roster in self
            .absent
            .iter()
            .filter(|absent| *absent != file)
            .filter_map(|file| self.good.get(file))
        {
            let taken = roster
                .destinations
                .iter()
                .filter(|(name, _)| new.destinations.contains_key(*name));
            let mut taken = taken
                .map(|(name, to)| (name.clone(), to.clone()))
                .peekable();
            // A list may have thousands: copied only where it must be.
            if taken.peek().is_some() {
                before.to_mut().destinations.extend(taken);
            }
        }
        before
    }

    /// Weighs what a file holds; a roster that is wrong comes back as the report of what is.
    pub fn weigh(&self, file: &str, bytes: &[u8]) -> Result<Offer, Report> {
        let refuse = |faults| Report::new(file, bytes, faults);
        let read = Roster::read(bytes, self.terms.most_bytes).map_err(refuse)?;
        let before = self.before(file, &read.roster);
        let others = self
            .good
            .iter()
            .filter(|(other, _)| *other != file && !self.absent.contains(*other));
        let others = others
            .map(|(other, roster)| (other.clone(), roster))
            .collect();
        let known = self.good.contains_key(file) || !before.destinations.is_empty();
        let report = refuse(check::faults(
            &self.terms,
            &read,
            Some(&*before).filter(|_| known),
            &others,
        ));
        if report.is_refusal() {
            return Err(report);
        }
        let changes = diff(&before, &read.roster);
        Ok(Offer {
            file: file.to_owned(),
            roster: read.roster,
            report,
            changes,
        })
    }

    /// What missing files say once a list has taken over its destinations: their rosters as they are then, empty
    /// ones included. Kept copies must follow before the list itself is kept.
    pub fn taken_over(&self, offer: &Offer) -> Vec<(String, Roster)> {
        let mut left = Vec::new();
        for file in self.absent.iter().filter(|absent| **absent != offer.file) {
            let Some(mut roster) = self.good.get(file).cloned() else {
                continue;
            };
            let before = roster.destinations.len();
            roster
                .destinations
                .retain(|name, _| !offer.roster.destinations.contains_key(name));
            if roster.destinations.len() < before {
                left.push((file.clone(), roster));
            }
        }
        left
    }

    /// Puts a list in force.
    pub fn take(&mut self, offer: Offer) {
        for (file, left) in self.taken_over(&offer) {
            if left.destinations.is_empty() {
                self.good.remove(&file);
                self.absent.remove(&file);
            } else {
                self.good.insert(file, left);
            }
        }
        self.absent.remove(&offer.file);
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
        self.terms
            .partners
            .as_ref()
            .is_none_or(|all| standing(all) == Some(Standing::Rostered))
    }

    /// All endpoints in force, each with its destination.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        let all = self.good.values().flat_map(|roster| &roster.destinations);
        let all = all.filter(|(name, _)| self.is_rostered(name));
        all.flat_map(|(name, to)| {
            to.endpoints
                .iter()
                .map(move |endpoint| (name.as_str(), endpoint))
        })
    }

    /// Rostered partners for which no list is in force.
    pub fn unlisted(&self) -> Vec<&str> {
        let partners = self.terms.partners.iter().flatten();
        let rostered = partners.filter(|(_, standing)| **standing == Standing::Rostered);
        let listed = |name: &String| {
            self.good
                .values()
                .any(|roster| roster.destinations.contains_key(name))
        };
        rostered
            .filter(|(name, _)| !listed(name))
            .map(|(name, _)| name.as_str())
            .collect()
    }
}
