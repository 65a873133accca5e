//! Maps the names of the simulator's protocol to the numbers that the scheduler uses.

use crate::error::InputError;
use std::collections::HashMap;

/// A table of names, numbered from 0 in the order in which they were added.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl FromIterator<String> for NameTable {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> NameTable {
        let mut table = NameTable::default();
        for name in names {
            table.intern(&name);
        }
        table
    }
}

impl NameTable {
    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the number of a name, after adding it with the next number if it is new.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the name with this number. Panics if the table has no such number.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }

    /// Returns the number of a name, or an error if the table does not contain it. The error states the `kind` of the name.
    pub fn lookup(&self, kind: &'static str, name: &str) -> Result<usize, InputError> {
        let number = self.numbers.get(name).copied();
        number.ok_or_else(|| InputError::UnknownName {
            kind,
            name: name.to_owned(),
        })
    }
}
