//! What is wrong with a roster, where, and what to do about it.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;

/// Faults of one file that are told at most; a file of another kind altogether has one on each line.
const MOST_TOLD: usize = 40;
/// The longest line that is shown with a fault; of a longer one, say in a file that is no roster, only the number
/// is told.
const WIDEST: usize = 240;

/// Whether a roster with such a fault is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It is.
    Error,
    /// It is taken, but somebody should look.
    Warning,
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// A word that stays the same from version to version.
    pub code: &'static str,
    /// Whether the roster is refused for it.
    pub severity: Severity,
    /// What is wrong.
    pub what: String,
    /// What to do.
    pub help: String,
    /// The bytes of the file that it is about, where there are such.
    #[serde(skip)]
    pub span: Option<Range<usize>>,
    /// The line on which they begin, counted from 1; 0 where it is about the file as a whole.
    pub line: usize,
}

impl Fault {
    /// One for which a roster is refused. The line is filled in when it is reported.
    pub fn error(
        code: &'static str,
        span: Option<Range<usize>>,
        what: impl Into<String>,
        help: impl Into<String>,
    ) -> Fault {
        Fault {
            code,
            severity: Severity::Error,
            what: what.into(),
            help: help.into(),
            span,
            line: 0,
        }
    }

    /// The same for one that is taken in spite of it.
    pub fn warning(
        code: &'static str,
        span: Option<Range<usize>>,
        what: impl Into<String>,
        help: impl Into<String>,
    ) -> Fault {
        Fault {
            severity: Severity::Warning,
            ..Fault::error(code, span, what, help)
        }
    }
}

/// All that is wrong with one file. Its text for people is its `Display`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The file's name.
    pub file: String,
    /// What is wrong with it, errors before warnings, each in the order of the file.
    pub faults: Vec<Fault>,
    /// What people are shown.
    #[serde(skip)]
    shown: String,
}

impl Report {
    /// Puts faults in order, finds their lines and words them.
    pub fn new(file: &str, text: &[u8], mut faults: Vec<Fault>) -> Report {
        let text = String::from_utf8_lossy(text);
        faults.sort_by_key(|fault| {
            (
                fault.severity,
                fault.span.as_ref().map_or(0, |span| span.start),
            )
        });
        let more = faults.len().saturating_sub(MOST_TOLD);
        faults.truncate(MOST_TOLD);
        let breaks: Vec<usize> = text.match_indices('\n').map(|(at, _)| at).collect();
        for fault in &mut faults {
            if let Some(span) = &fault.span {
                fault.line = breaks.partition_point(|at| *at < span.start) + 1;
            }
        }
        let mut shown: String = faults
            .iter()
            .map(|fault| show(file, &text, &breaks, fault) + "\n")
            .collect();
        if more > 0 {
            shown.push_str(&format!("{file}: and {more} more\n"));
        }
        Report {
            file: file.to_owned(),
            faults,
            shown: shown.trim_end().to_owned(),
        }
    }

    /// Whether the file is refused.
    pub fn is_refusal(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| fault.severity == Severity::Error)
    }

    /// The first error, or else warning, in one line for a log.
    pub fn first(&self) -> String {
        let told = self.faults.first();
        told.map_or_else(String::new, |fault| {
            format!("line {}: {} ({})", fault.line, fault.what, fault.help)
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.shown)
    }
}

/// Shows a fault with the line that it is about and the one before. Only these are handed to the renderer: it reads
/// all that it is given, and a roster may have megabytes.
fn show(file: &str, text: &str, breaks: &[usize], fault: &Fault) -> String {
    let level = match fault.severity {
        Severity::Error => Level::ERROR,
        Severity::Warning => Level::WARNING,
    };
    let title = level.primary_title(fault.what.as_str()).id(fault.code);
    let group = Group::with_title(title);
    let group = match &fault.span {
        Some(span) if fault.line > 0 => {
            let begin = |line: usize| if line <= 1 { 0 } else { breaks[line - 2] + 1 };
            let first = fault.line.saturating_sub(1).max(1);
            let from = begin(first);
            let to = breaks.get(fault.line - 1).copied().unwrap_or(text.len());
            let lines = &text[from..to];
            if lines.split('\n').any(|line| line.len() > WIDEST) {
                let at = format!("in {file}, line {}", fault.line);
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
    let group = group.element(Level::HELP.message(fault.help.as_str()));
    Renderer::plain().render(&[group])
}
