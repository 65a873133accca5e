//! A fault of a plan and its text form.

use crate::FaultKind;
use std::fmt;
use std::str::FromStr;

/// A fault that is injected into one kind of system call for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Affected system call and the failure that is injected.
    pub kind: FaultKind,
    /// Start of the fault, in milliseconds of the machine's monotonic clock.
    pub from_ms: i64,
    /// Exclusive end of the fault, in milliseconds of the machine's monotonic clock.
    pub until_ms: i64,
    /// Number of calls per thousand that fail, or the offset of the wall clock in milliseconds.
    pub amount: i64,
}

impl Fault {
    /// Returns whether the fault is active at a time of the monotonic clock, in milliseconds.
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

/// Error for a line of a plan that does not describe a fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid fault {line:?}, expected KIND FROM_MS UNTIL_MS AMOUNT")]
pub struct ParseFaultError {
    /// Text of the line.
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
