//! Checks a document for values that are out of range and for entries that contradict each other. Faults are reported in
//! the order of the checks in [`check`].

mod destinations;
mod entries;
mod group;
mod instances;

use super::document::Document;
use super::error::{FaultCause, ManifestFault};
use entries::{class_fault, limits_fault, list_source_fault};
use toml::Spanned;

/// Maximum number of external instances. A larger number is presumably a mistake.
const MAX_EXTERNAL_INSTANCES: usize = 10_000;

/// Returns all faults of a document that was parsed from `text`.
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

/// The location of an entry in the document, with the names for the report of a fault.
#[derive(Clone, Copy)]
struct EntryLocation<'a> {
    kind: &'static str,
    /// The entry's name; `None` if the document has at most one entry of the kind.
    name: Option<&'a str>,
    /// Byte offset of the entry in the document's text.
    offset: usize,
}

impl<'a> EntryLocation<'a> {
    fn named<T>(kind: &'static str, name: &'a str, entry: &Spanned<T>) -> EntryLocation<'a> {
        EntryLocation {
            kind,
            name: Some(name),
            offset: entry.span().start,
        }
    }

    /// Creates the location of an entry without a name, of which the document has at most one.
    fn unnamed<T>(kind: &'static str, entry: &Spanned<T>) -> EntryLocation<'a> {
        EntryLocation {
            kind,
            name: None,
            offset: entry.span().start,
        }
    }
}

struct Checker<'a> {
    document: &'a Document,
    /// Byte offsets of the line breaks in ascending order, for a binary search of an offset's line.
    line_breaks: Vec<usize>,
    faults: Vec<ManifestFault>,
}

impl Checker<'_> {
    fn report(&mut self, location: EntryLocation<'_>, cause: FaultCause) {
        let entry = match location.name {
            Some(name) => format!("{} {name}", location.kind),
            None => location.kind.to_owned(),
        };
        let line = self.line_breaks.partition_point(|at| *at < location.offset) + 1;
        self.faults.push(ManifestFault {
            line: Some(line),
            entry,
            cause,
        });
    }

    fn check_classes(&mut self) {
        for (name, class) in &self.document.classes {
            if let Some(cause) = class_fault(class.get_ref()) {
                self.report(EntryLocation::named("class", name, class), cause);
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
            self.report(EntryLocation::unnamed("fleet", fleet), cause);
        }
    }

    fn check_list_source(&mut self) {
        let Some(source) = &self.document.list_source else {
            return;
        };
        if let Some(cause) = list_source_fault(source.get_ref()) {
            self.report(EntryLocation::unnamed("roster", source), cause);
        }
    }

    /// Checks the manifest's limits. Their fault names no line, because the file may omit them.
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
