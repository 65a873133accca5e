//! The diagnostics of one file, sorted and rendered.

mod snippet;

use crate::diagnostic::{Diagnostic, Severity};
use serde::Serialize;
use snippet::SourceText;
use std::fmt;

/// Maximum number of diagnostics in a report.
const MAX_DIAGNOSTICS: usize = 40;

/// The diagnostics of one file. `Display` renders them as text for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Name of the file.
    pub file: String,
    /// The errors and then the warnings, each in the order of the file. Their number is limited, because a file of another
    /// format may have an error on every line.
    #[serde(rename = "faults")]
    pub diagnostics: Vec<Diagnostic>,
    #[serde(skip)]
    rendered: String,
}

impl Report {
    /// Sorts diagnostics, sets their line numbers and renders them.
    pub fn new(file: &str, bytes: &[u8], mut diagnostics: Vec<Diagnostic>) -> Report {
        let text = String::from_utf8_lossy(bytes);
        let source = SourceText::new(file, &text);
        diagnostics.sort_by_key(|diagnostic| {
            let start = diagnostic.span.as_ref().map_or(0, |span| span.start);
            (diagnostic.severity, start)
        });
        let omitted = diagnostics.len().saturating_sub(MAX_DIAGNOSTICS);
        diagnostics.truncate(MAX_DIAGNOSTICS);
        for diagnostic in &mut diagnostics {
            if let Some(span) = &diagnostic.span {
                diagnostic.line = source.line_number(span.start);
            }
        }
        let mut rendered: String = diagnostics
            .iter()
            .map(|diagnostic| source.render(diagnostic) + "\n")
            .collect();
        if omitted > 0 {
            rendered.push_str(&format!("{file}: {omitted} more diagnostics omitted\n"));
        }
        Report {
            file: file.to_owned(),
            diagnostics,
            rendered: rendered.trim_end().to_owned(),
        }
    }

    /// Returns whether the file is rejected.
    pub fn is_rejection(&self) -> bool {
        self.diagnostics
            .iter()
            .any(|diagnostic| diagnostic.severity == Severity::Error)
    }

    /// Returns the first diagnostic on one line, for a log; empty if there is none.
    pub fn summary(&self) -> String {
        let first = self.diagnostics.first();
        first.map_or_else(String::new, |diagnostic| {
            format!(
                "line {}: {} ({})",
                diagnostic.line, diagnostic.message, diagnostic.help
            )
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.rendered)
    }
}
