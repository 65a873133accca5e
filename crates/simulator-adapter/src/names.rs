//! Numbers in place of the wire's names.

use crate::error::InputError;
use std::collections::HashMap;

/// Names, numbered in the order of their first appearance.
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
    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The number of a name; a new name gets the next number.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// The name with a number. Panics if no name has it.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }

    /// The number of a known name; `kind` is what the name stands for, for the error.
    pub fn lookup(&self, kind: &'static str, name: &str) -> Result<usize, InputError> {
        let number = self.numbers.get(name).copied();
        number.ok_or_else(|| InputError::UnknownName {
            kind,
            name: name.to_owned(),
        })
    }
}
