//! Numbers in place of the wire's names.

use crate::error::InputError;
use std::collections::HashMap;

/// Names, numbered in the order of their first appearance.
#[derive(Default)]
pub struct Names {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl FromIterator<String> for Names {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Names {
        let mut numbered = Names::default();
        for name in names {
            numbered.number(&name);
        }
        numbered
    }
}

impl Names {
    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The number of a name; a new name gets the next number.
    pub fn number(&mut self, name: &str) -> usize {
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
    pub fn known(&self, kind: &'static str, name: &str) -> Result<usize, InputError> {
        let number = self.numbers.get(name).copied();
        number.ok_or_else(|| InputError::UnknownName {
            kind,
            name: name.to_owned(),
        })
    }
}
