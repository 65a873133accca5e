//! One fault of a plan.

use crate::FaultKind;
use std::fmt;
use std::str::FromStr;

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is injected.
    pub kind: FaultKind,
    /// When it becomes active, in milliseconds of the machine's monotonic clock.
    pub from_ms: i64,
    /// When it stops being active, in milliseconds of the machine's monotonic clock.
    pub until_ms: i64,
    /// How many calls of a thousand fail, or by how many milliseconds the wall clock is off.
    pub amount: i64,
}

impl Fault {
    /// Whether it is active at a time of the monotonic clock, in milliseconds.
    pub fn is_active(&self, now_ms: i64) -> bool {
        (self.from_ms..self.until_ms).contains(&now_ms)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            kind,
            from_ms,
            until_ms,
            amount,
        } = self;
        write!(f, "{} {from_ms} {until_ms} {amount}", kind.name())
    }
}

/// A line of a plan is not a fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a fault: {line:?}")]
pub struct ParseFaultError {
    /// The line.
    pub line: String,
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    fn from_str(line: &str) -> Result<Fault, ParseFaultError> {
        parse(line).ok_or_else(|| ParseFaultError {
            line: line.to_owned(),
        })
    }
}

fn parse(line: &str) -> Option<Fault> {
    let mut words = line.split_whitespace();
    let kind = FaultKind::from_name(words.next()?)?;
    let mut number = || words.next()?.parse().ok();
    Some(Fault {
        kind,
        from_ms: number()?,
        until_ms: number()?,
        amount: number()?,
    })
}

#[cfg(test)]
mod tests;
