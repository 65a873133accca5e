//! Parses the file of an endpoint list and checks its format.

use super::endpoint::{parse_endpoints, RawDestination};
use super::{Destination, EndpointList, LossAllowance};
use crate::diagnostic::Diagnostic;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use toml::Spanned;

/// Byte ranges of the parts of a list within its file, for diagnostics of later checks.
#[derive(Clone, Debug, Default)]
pub struct Spans {
    /// The range of the revision at the start of the file.
    pub revision: Range<usize>,
    /// The range of each destination's table.
    pub destinations: BTreeMap<String, Range<usize>>,
}

/// A list that was parsed from a file.
#[derive(Clone, Debug)]
pub struct ParsedList {
    /// The list.
    pub list: EndpointList,
    /// The byte ranges of the parts of the list within the file.
    pub spans: Spans,
    /// Warnings about the format of the file.
    pub warnings: Vec<Diagnostic>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    revision: Option<Spanned<u64>>,
    #[serde(rename = "allow_loss")]
    loss_allowance: Option<Spanned<RawLossAllowance>>,
    #[serde(rename = "destination", default)]
    destinations: BTreeMap<String, Spanned<RawDestination>>,
    end: Option<RawEnd>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLossAllowance {
    revision: u64,
    #[serde(default)]
    destinations: BTreeSet<String>,
    #[serde(default)]
    endpoints: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEnd {
    revision: Spanned<u64>,
}

impl EndpointList {
    /// Parses the content of a file and checks its format; a file larger than `max_bytes` is rejected.
    ///
    /// # Errors
    /// The errors of the format.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<ParsedList, Vec<Diagnostic>> {
        let text = decode(bytes, max_bytes).map_err(|error| vec![error])?;
        let raw: RawFile =
            toml::from_str(text).map_err(|error| vec![syntax_error(&error, text.len())])?;
        let mut errors = Vec::new();
        let revision = check_completeness(text, &raw, &mut errors);
        let mut parsed = ParsedList {
            list: EndpointList {
                revision,
                ..EndpointList::default()
            },
            spans: Spans::default(),
            warnings: Vec::new(),
        };
        if let Some(revision) = &raw.revision {
            parsed.spans.revision = revision.span();
        }
        if let Some(allowance) = raw.loss_allowance {
            parsed.set_loss_allowance(allowance);
        }
        for (name, destination) in raw.destinations {
            let span = destination.span();
            let endpoints = parse_endpoints(&name, &span, destination.into_inner(), &mut errors);
            parsed.spans.destinations.insert(name.clone(), span);
            parsed
                .list
                .destinations
                .insert(name, Destination { endpoints });
        }
        if errors.is_empty() {
            Ok(parsed)
        } else {
            Err(errors)
        }
    }
}

impl ParsedList {
    /// Sets the loss allowance if it is for this revision; adds a warning otherwise.
    fn set_loss_allowance(&mut self, allowance: Spanned<RawLossAllowance>) {
        let span = allowance.span();
        let allowance = allowance.into_inner();
        if allowance.revision == self.list.revision {
            self.list.loss_allowance = Some(LossAllowance {
                destinations: allowance.destinations,
                endpoints: allowance.endpoints,
            });
            return;
        }
        let message = format!(
            "allow_loss is for revision {} and has no effect",
            allowance.revision
        );
        let help =
            "remove allow_loss, or set its revision to that of this file if the loss is intended";
        self.warnings.push(Diagnostic::warning(
            "old-allowance",
            Some(span),
            message,
            help,
        ));
    }
}

fn decode(bytes: &[u8], max_bytes: usize) -> Result<&str, Diagnostic> {
    if bytes.len() > max_bytes {
        let message = format!("the file is larger than {max_bytes} bytes");
        let help = "split the list into a file for each destination, or raise max_kb of [roster] in the operators' file";
        return Err(Diagnostic::error("too-large", None, message, help));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let offset = error.valid_up_to();
        let help = "save the file as UTF-8 text";
        Diagnostic::error(
            "not-utf8",
            Some(offset..offset),
            "the file is not UTF-8",
            help,
        )
    })
}

/// Converts an error of the TOML parser to a diagnostic.
fn syntax_error(error: &toml::de::Error, len: usize) -> Diagnostic {
    let message = error.message().trim().to_owned();
    let span = Some(error.span().unwrap_or(len..len));
    if message.starts_with("unknown field") {
        let help = "correct the spelling of the field, or remove it";
        Diagnostic::error("unknown-field", span, message, help)
    } else {
        let help =
            "correct the line; `marblefall roster check FILE` reports whether the file is valid";
        Diagnostic::error("not-readable", span, message, help)
    }
}

/// Checks that the file is complete; returns its revision, or 0 if it has none.
fn check_completeness(text: &str, raw: &RawFile, errors: &mut Vec<Diagnostic>) -> u64 {
    let Some(revision) = &raw.revision else {
        let help = "start the file with a line such as `revision = 8`";
        let message = "the file has no revision";
        errors.push(Diagnostic::error("no-revision", Some(0..0), message, help));
        return 0;
    };
    let revision = *revision.get_ref();
    match &raw.end {
        None => {
            let message = "the file has no [end] table, so it is incomplete";
            let span = Some(text.len()..text.len());
            let help = end_table_help(revision);
            errors.push(Diagnostic::error("cut-off", span, message, help));
        }
        Some(end) => {
            errors.extend(check_end_revision(revision, &end.revision));
            errors.extend(check_last_line(text, revision, &end.revision));
        }
    }
    revision
}

fn end_table_help(revision: u64) -> String {
    format!(
        "end the file with the lines `[end]` and `revision = {revision}`, without any text after them"
    )
}

/// Checks that the file starts and ends with the same revision.
fn check_end_revision(revision: u64, end_revision: &Spanned<u64>) -> Option<Diagnostic> {
    if *end_revision.get_ref() == revision {
        return None;
    }
    let message = format!(
        "the file starts with revision {revision} and ends with revision {}, so it is incomplete",
        end_revision.get_ref()
    );
    let help = "use the same revision in both places; if the file is still being written, wait";
    let span = Some(end_revision.span());
    Some(Diagnostic::error("torn", span, message, help))
}

/// Checks that only a line break follows the revision at the end. A missing line break means that the file was truncated.
/// Further text may be the end of a longer file that this file was written over.
fn check_last_line(text: &str, revision: u64, end_revision: &Spanned<u64>) -> Option<Diagnostic> {
    let end = end_revision.span().end;
    match &text[end..] {
        "\n" | "\r\n" => None,
        "" | "\r" => {
            let message = "the last line has no line break, so the file is incomplete";
            let span = Some(text.len()..text.len());
            let help = "add a line break at the end of the last line";
            Some(Diagnostic::error("cut-off", span, message, help))
        }
        _ => {
            let message = "the file has text after the revision in [end]";
            let span = Some(end..text.len());
            Some(Diagnostic::error(
                "not-last",
                span,
                message,
                end_table_help(revision),
            ))
        }
    }
}
