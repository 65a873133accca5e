//! What is wrong with a list, where, and what to do about it.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;

/// Diagnostics of one file that are shown at most; a file of another kind altogether has one on each line.
const MAX_SHOWN: usize = 40;
/// The longest line that is shown with a diagnostic, in bytes; of a longer one, say in a file that is no list, only the
/// number is.
const MAX_LINE_BYTES: usize = 240;

/// Whether a list with such a diagnostic is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It is.
    Error,
    /// It is accepted, but somebody should look.
    Warning,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// A code that stays the same from version to version.
    pub code: &'static str,
    /// Whether the list is rejected for it.
    pub severity: Severity,
    /// What is wrong.
    #[serde(rename = "what")]
    pub message: String,
    /// What to do.
    pub help: String,
    /// The bytes of the file that it is about, where there are such.
    #[serde(skip)]
    pub span: Option<Range<usize>>,
    /// The line on which they begin, counted from 1; 0 where it is about the file as a whole.
    pub line: usize,
}

impl Diagnostic {
    /// A diagnostic for which a list is rejected. The line is filled in when it is reported.
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

    /// A diagnostic in spite of which a list is accepted.
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

/// All that is wrong with one file. Its text for people is its `Display`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file's name.
    pub file: String,
    /// What is wrong with it, errors before warnings, each in the order of the file.
    #[serde(rename = "faults")]
    pub diagnostics: Vec<Diagnostic>,
    /// What people are shown.
    #[serde(skip)]
    rendered: String,
}

impl Report {
    /// Sorts diagnostics, finds their lines and renders them.
    pub fn new(file: &str, text: &[u8], mut diagnostics: Vec<Diagnostic>) -> Report {
        let text = String::from_utf8_lossy(text);
        diagnostics.sort_by_key(|diagnostic| {
            (
                diagnostic.severity,
                diagnostic.span.as_ref().map_or(0, |span| span.start),
            )
        });
        let more = diagnostics.len().saturating_sub(MAX_SHOWN);
        diagnostics.truncate(MAX_SHOWN);
        let breaks: Vec<usize> = text.match_indices('\n').map(|(at, _)| at).collect();
        for diagnostic in &mut diagnostics {
            if let Some(span) = &diagnostic.span {
                diagnostic.line = breaks.partition_point(|at| *at < span.start) + 1;
            }
        }
        let mut rendered: String = diagnostics
            .iter()
            .map(|diagnostic| render(file, &text, &breaks, diagnostic) + "\n")
            .collect();
        if more > 0 {
            rendered.push_str(&format!("{file}: and {more} more\n"));
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

    /// The first error, or else warning, in one line for a log.
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

/// Shows a diagnostic with the line that it is about and the one before. Only these are handed to the renderer: it reads
/// all that it is given, and a list may have megabytes.
fn render(file: &str, text: &str, breaks: &[usize], diagnostic: &Diagnostic) -> String {
    let level = match diagnostic.severity {
        Severity::Error => Level::ERROR,
        Severity::Warning => Level::WARNING,
    };
    let title = level
        .primary_title(diagnostic.message.as_str())
        .id(diagnostic.code);
    let group = Group::with_title(title);
    let group = match &diagnostic.span {
        Some(span) if diagnostic.line > 0 => {
            let begin = |line: usize| if line <= 1 { 0 } else { breaks[line - 2] + 1 };
            let first = diagnostic.line.saturating_sub(1).max(1);
            let from = begin(first);
            let to = breaks
                .get(diagnostic.line - 1)
                .copied()
                .unwrap_or(text.len());
            let lines = &text[from..to];
            if lines.split('\n').any(|line| line.len() > MAX_LINE_BYTES) {
                let at = format!("in {file}, line {}", diagnostic.line);
                group.element(Level::NOTE.message(at))
            } else {
                // A span may end lines further on, and begin where the text already ends.
                let start = span.start.clamp(from, to) - from;
                let end = span.end.clamp(span.start, to.max(span.start)).min(to) - from;
                let mark = AnnotationKind::Primary.span(start..end.max(start));
                group.element(
                    Snippet::source(lines.to_owned())
                        .line_start(first)
                        .path(file)
                        .annotation(mark),
                )
            }
        }
        _ => group.element(Level::NOTE.message(format!("in {file}"))),
    };
    let group = group.element(Level::HELP.message(diagnostic.help.as_str()));
    Renderer::plain().render(&[group])
}
