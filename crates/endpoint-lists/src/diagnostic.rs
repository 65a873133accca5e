//! Diagnostics of a list: what is wrong, where, and how to correct it.

use serde::{Deserialize, Serialize};
use std::ops::Range;

/// Whether a list with a diagnostic is rejected. Errors come first in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The list is rejected.
    Error,
    /// The list is accepted, but somebody should look at it.
    Warning,
}

/// One thing that is wrong with a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// A code that stays the same from version to version.
    pub code: &'static str,
    /// Whether the list is rejected.
    pub severity: Severity,
    /// What is wrong.
    #[serde(rename = "what")]
    pub message: String,
    /// How to correct it.
    pub help: String,
    /// The bytes of the file that the diagnostic is about; `None` if it is about the whole file.
    #[serde(skip)]
    pub span: Option<Range<usize>>,
    /// The line on which the span starts, counted from 1; 0 if the diagnostic is about the whole file. A
    /// [`Report`](crate::report::Report) fills it in.
    pub line: usize,
}

impl Diagnostic {
    /// An error.
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

    /// A warning.
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
