//! Small numbers for the wire's names.

use crate::adapter::InputError;
use std::collections::HashMap;

/// Names numbered in the order of their first appearance.
#[derive(Default)]
pub struct Names {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    /// These names, in their order.
    pub fn of(names: impl IntoIterator<Item = String>) -> Names {
        let mut all = Names::default();
        for name in names {
            all.number(&name);
        }
        all
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The number of a name, a new one where it is unknown.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len();
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), number);
        number
    }

    /// The name of a number that was given.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }

    /// The number of a name that must be known; `kind` says of what.
    pub fn known(&self, kind: &'static str, name: &str) -> Result<usize, InputError> {
        let number = self.numbers.get(name).copied();
        number.ok_or_else(|| InputError::UnknownName {
            kind,
            name: name.to_owned(),
        })
    }
}
