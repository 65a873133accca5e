//! Diagnostics of a list: the problem, its location, and how to correct it.

use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Severity of a diagnostic. Errors are ordered before warnings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The list is rejected.
    Error,
    /// The list is accepted, but an operator should review it.
    Warning,
}

/// An error or a warning about a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// A code that identifies the kind of problem. It is stable across versions of the program.
    pub code: &'static str,
    /// Determines whether the list is rejected.
    pub severity: Severity,
    /// A description of the problem.
    #[serde(rename = "what")]
    pub message: String,
    /// Advice on how to correct the problem.
    pub help: String,
    /// The byte range of the file that the diagnostic is about; `None` if it is about the entire file.
    #[serde(skip)]
    pub span: Option<Range<usize>>,
    /// Number of the line on which the span starts, counted from 1; 0 if the diagnostic is about the entire file, or is not
    /// yet part of a [`Report`](crate::report::Report), which sets the line.
    pub line: usize,
}

impl Diagnostic {
    /// Creates an error.
    pub fn error(
        code: &'static str,
        span: Option<Range<usize>>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            code,
            severity: Severity::Error,
            message: message.into(),
            help: help.into(),
            span,
            line: 0,
        }
    }

    /// Creates a warning.
    pub fn warning(
        code: &'static str,
        span: Option<Range<usize>>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            severity: Severity::Warning,
            ..Diagnostic::error(code, span, message, help)
        }
    }
}
