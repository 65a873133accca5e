//! The diagnostics of one file, sorted and rendered.

mod snippet;

use crate::diagnostic::{Diagnostic, Severity};
use serde::Serialize;
use snippet::SourceText;
use std::fmt;

/// Maximum number of diagnostics of one file.
const MAX_DIAGNOSTICS: usize = 40;

/// The diagnostics of one file. `Display` renders them for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file's name.
    pub file: String,
    /// Errors before warnings, each in the order of the file. There is a limit on their number, since a file of another format may have one on each line.
    #[serde(rename = "faults")]
    pub diagnostics: Vec<Diagnostic>,
    #[serde(skip)]
    rendered: String,
}

impl Report {
    /// Sorts diagnostics, fills in their lines and renders them.
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
            rendered.push_str(&format!("{file}: and {omitted} more\n"));
        }
        Report {
            file: file.to_owned(),
            diagnostics,
            rendered: rendered.trim_end().to_owned(),
        }
    }

    /// Whether the file is rejected.
    pub fn is_rejection(&self) -> bool {
        self.diagnostics
            .iter()
            .any(|diagnostic| diagnostic.severity == Severity::Error)
    }

    /// The first diagnostic in one line, for a log; empty if there is none.
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
