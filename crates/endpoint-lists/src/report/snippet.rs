//! Renders a diagnostic together with the lines of the file that it is about.

use crate::diagnostic::{Diagnostic, Severity};
use annotate_snippets::{Annotation, AnnotationKind, Group, Level, Renderer, Snippet};
use std::ops::Range;

/// Maximum length of a line that is shown with a diagnostic, in bytes. For a longer line, as in a file that is not a list,
/// only the line number is shown.
const MAX_LINE_BYTES: usize = 240;

/// The text of a file, with the offsets of its line breaks.
pub(super) struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
    line_breaks: Vec<usize>,
}

/// The lines that are shown with a diagnostic.
struct ShownLines {
    /// Number of the first line, counted from 1.
    first_line: usize,
    bytes: Range<usize>,
}

impl<'a> SourceText<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> SourceText<'a> {
        SourceText {
            file,
            text,
            line_breaks: text.match_indices('\n').map(|(offset, _)| offset).collect(),
        }
    }

    /// Returns the number of the line that contains a byte, counted from 1.
    pub(super) fn line_number(&self, byte: usize) -> usize {
        self.line_breaks.partition_point(|offset| *offset < byte) + 1
    }

    /// Renders a diagnostic as several lines of text.
    pub(super) fn render(&self, diagnostic: &Diagnostic) -> String {
        let level = match diagnostic.severity {
            Severity::Error => Level::ERROR,
            Severity::Warning => Level::WARNING,
        };
        let title = level
            .primary_title(diagnostic.message.as_str())
            .id(diagnostic.code);
        let group = self.add_location(Group::with_title(title), diagnostic);
        let group = group.element(Level::HELP.message(diagnostic.help.as_str()));
        Renderer::plain().render(&[group])
    }

    fn add_location<'g>(&self, group: Group<'g>, diagnostic: &Diagnostic) -> Group<'g> {
        let Some(span) = diagnostic.span.as_ref().filter(|_| diagnostic.line > 0) else {
            return group.element(Level::NOTE.message(format!("in {}", self.file)));
        };
        let shown = self.shown_lines(diagnostic.line);
        let lines = &self.text[shown.bytes.clone()];
        if lines.split('\n').any(|line| line.len() > MAX_LINE_BYTES) {
            let location = format!("in {}, line {}", self.file, diagnostic.line);
            return group.element(Level::NOTE.message(location));
        }
        group.element(
            Snippet::source(lines.to_owned())
                .line_start(shown.first_line)
                .path(self.file.to_owned())
                .annotation(annotation(span, &shown.bytes)),
        )
    }

    /// Returns the line of a diagnostic and the line before it. The renderer gets only these, because it processes all of
    /// its input and a list may have several megabytes.
    fn shown_lines(&self, line: usize) -> ShownLines {
        let first_line = line.saturating_sub(1).max(1);
        let start = match first_line {
            0 | 1 => 0,
            _ => self.line_breaks[first_line - 2] + 1,
        };
        let end = self.line_breaks.get(line - 1).copied();
        ShownLines {
            first_line,
            bytes: start..end.unwrap_or(self.text.len()),
        }
    }
}

/// Marks the part of a span that is within the shown bytes. The span may end on a later line, or start at the end of the
/// text.
fn annotation<'g>(span: &Range<usize>, shown: &Range<usize>) -> Annotation<'g> {
    let start = span.start.clamp(shown.start, shown.end) - shown.start;
    let end = span.end.clamp(span.start, shown.end.max(span.start));
    let end = end.min(shown.end) - shown.start;
    AnnotationKind::Primary.span(start..end.max(start))
}
