//! Reads a list's file. All that is wrong by the format alone is found here.

use super::endpoint::{parse_endpoints, RawDestination};
use super::{Destination, EndpointList, LossAllowance};
use crate::diagnostic::Diagnostic;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use toml::Spanned;

/// Where the parts of a list stand in its file, for what is found out about them later.
#[derive(Clone, Debug, Default)]
pub struct Spans {
    /// The revision.
    pub revision: Range<usize>,
    /// Each destination's table.
    pub destinations: BTreeMap<String, Range<usize>>,
}

/// A list that was read, with where its parts stand and what is odd about it.
#[derive(Clone, Debug)]
pub struct ParsedList {
    /// The list.
    pub list: EndpointList,
    /// Where its parts stand.
    pub spans: Spans,
    /// Warnings.
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
    /// Reads a file of at most `max_bytes`.
    ///
    /// # Errors
    /// All that is wrong by the format alone.
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<ParsedList, Vec<Diagnostic>> {
        let text = decode(bytes, max_bytes).map_err(|error| vec![error])?;
        let raw: RawFile =
            toml::from_str(text).map_err(|error| vec![syntax_error(&error, text.len())])?;
        let mut errors = Vec::new();
        let revision = check_is_whole(text, &raw, &mut errors);
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
    /// Takes what the change may take away, if it was meant for this revision.
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
            "allow_loss was meant for revision {} and counts for nothing",
            allowance.revision
        );
        let help = "take it out, or give it this file's revision if the loss is meant";
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
        let help = "split it into a file for each partner, or raise max_kb of [roster] in the operators' file";
        return Err(Diagnostic::error("too-large", None, message, help));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let at = error.valid_up_to();
        let help = "write the file as UTF-8 text";
        Diagnostic::error("not-utf8", Some(at..at), "the file is not UTF-8", help)
    })
}

/// What the TOML reader says, with what to do.
fn syntax_error(error: &toml::de::Error, len: usize) -> Diagnostic {
    let message = error.message().trim().to_owned();
    let span = Some(error.span().unwrap_or(len..len));
    if message.starts_with("unknown field") {
        let help = "mend its spelling or take it out";
        Diagnostic::error("unknown-field", span, message, help)
    } else {
        let help = "mend the line; `marblefall roster check FILE` says when the file is good";
        Diagnostic::error("not-readable", span, message, help)
    }
}

/// Checks that the file is whole; returns its revision.
fn check_is_whole(text: &str, raw: &RawFile, errors: &mut Vec<Diagnostic>) -> u64 {
    let Some(revision) = &raw.revision else {
        let help = "begin the file with a line such as `revision = 8`";
        let message = "the file names no revision";
        errors.push(Diagnostic::error("no-revision", Some(0..0), message, help));
        return 0;
    };
    let number = *revision.get_ref();
    let end = text.len()..text.len();
    let help = format!(
        "end the file with the lines `[end]` and `revision = {number}`, and nothing after them"
    );
    let Some(closing) = &raw.end else {
        let message = "the file has no [end] table: it is not whole";
        errors.push(Diagnostic::error("cut-off", Some(end), message, help));
        return number;
    };
    let closing = &closing.revision;
    if *closing.get_ref() != number {
        let message = format!(
            "the file begins as revision {number} and ends as revision {}: it is not whole",
            closing.get_ref()
        );
        let help = "give both places the same revision; if somebody is writing the file, wait";
        errors.push(Diagnostic::error(
            "torn",
            Some(closing.span()),
            message,
            help,
        ));
    }
    // Also a lost line break is a cut. What follows might be the tail of a longer file that this one was written over.
    match &text[closing.span().end..] {
        "\n" | "\r\n" => {}
        "" | "\r" => {
            let message = "the last line has no line break: the file is not whole";
            errors.push(Diagnostic::error(
                "cut-off",
                Some(end),
                message,
                "end the last line",
            ));
        }
        _ => {
            let rest = closing.span().end..text.len();
            let message = "something follows the end's revision";
            errors.push(Diagnostic::error("not-last", Some(rest), message, help));
        }
    }
    number
}
