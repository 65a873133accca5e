//! Checks whether endpoint lists would be put in force.

use super::{applied_manifest, last_good_lists, summary};
use crate::arguments::OutputFormat;
use crate::error::CommandError;
use marblefall_control_plane::list_watcher::{list_files, read_bounded, FileContent};
use marblefall_control_plane::manifest::Manifest;
use marblefall_endpoint_lists::{ActiveLists, Diagnostic, EndpointChange, ListRules, Report};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The policy that lists are checked against.
#[derive(Clone, Copy)]
pub enum Reference<'a> {
    /// No policy: only the lists' own form is checked.
    Form,
    /// The policy in the operators' file.
    File(&'a Path),
    /// The policy applied in a home, and the lists in force there.
    Home(&'a Path),
}

impl<'a> Reference<'a> {
    /// Returns the reference that the arguments select.
    pub fn new(file: Option<&'a Path>, home: Option<&'a Path>) -> Reference<'a> {
        match (file, home) {
            (Some(file), _) => Reference::File(file),
            (None, Some(home)) => Reference::Home(home),
            (None, None) => Reference::Form,
        }
    }

    fn active_lists(self) -> Result<ActiveLists, CommandError> {
        match self {
            Reference::Form => Ok(ActiveLists::new(ListRules::default())),
            Reference::File(file) => Ok(ActiveLists::new(Manifest::read(file)?.list_rules())),
            Reference::Home(home) => Ok(last_good_lists(home, &applied_manifest(home)?)?.lists),
        }
    }
}

/// The file of a list, with its name in reports.
struct ListFile {
    name: String,
    path: PathBuf,
}

/// The content of a list's file.
struct Content {
    name: String,
    bytes: Vec<u8>,
}

/// A list that would be put in force.
struct AcceptedList {
    name: String,
    changes: Vec<EndpointChange>,
}

/// The outcome of the check of all files.
#[derive(Default)]
struct Outcome {
    accepted: Vec<AcceptedList>,
    reports: Vec<Report>,
}

/// Checks files and folders of files together.
pub fn check(
    paths: &[PathBuf],
    reference: Reference,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let mut lists = reference.active_lists()?;
    let files = find_files(paths)?;
    let in_home = matches!(reference, Reference::Home(_));
    // Lists of files that are missing from a given folder can be replaced by a list that takes over their destinations. If
    // only files are given, other files are not checked and do not count as missing.
    if in_home && paths.iter().any(|path| path.is_dir()) {
        let present: BTreeSet<String> = files.iter().map(|file| file.name.clone()).collect();
        lists.set_present_files(&present);
    }
    let mut outcome = Outcome::default();
    let contents = read_files(files, in_home, lists.rules().max_bytes, &mut outcome);
    evaluate(&mut lists, contents, &mut outcome);
    match format {
        OutputFormat::Json => print_json(&outcome),
        OutputFormat::Text => print_text(&outcome, in_home),
    }
    let rejections = outcome
        .reports
        .iter()
        .filter(|report| report.is_rejection());
    match (rejections.count(), format) {
        (0, _) => Ok(()),
        (_, OutputFormat::Json) => Err(CommandError::Reported),
        (rejected, OutputFormat::Text) => Err(CommandError::ListsRejected(rejected)),
    }
}

fn find_files(paths: &[PathBuf]) -> Result<Vec<ListFile>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        let found = list_files(path).map_err(CommandError::of_file(path))?;
        if found.is_empty() {
            return Err(CommandError::NoLists(path.clone()));
        }
        files.extend(
            found
                .into_iter()
                .map(|(name, path)| ListFile { name, path }),
        );
    }
    Ok(files)
}

/// Reads all files, and adds a report to the outcome for each file that cannot be read.
fn read_files(
    files: Vec<ListFile>,
    in_home: bool,
    max_bytes: usize,
    outcome: &mut Outcome,
) -> Vec<Content> {
    let mut contents = Vec::new();
    for ListFile { name, path } in files {
        // In a home, files are identified by name, as the lists in force are. Elsewhere their paths distinguish equal names.
        let name = if in_home {
            name
        } else {
            path.display().to_string()
        };
        match read_bounded(&path, max_bytes) {
            Ok(FileContent { bytes, .. }) => contents.push(Content { name, bytes }),
            Err(error) => {
                let help = "make it a plain file that the daemon may read";
                let fault = Diagnostic::error("unreadable", None, error.to_string(), help);
                outcome.reports.push(Report::new(&name, b"", vec![fault]));
            }
        }
    }
    contents
}

/// Evaluates lists as the daemon does: rejected lists are evaluated again once another list is in force.
fn evaluate(lists: &mut ActiveLists, mut pending: Vec<Content>, outcome: &mut Outcome) {
    loop {
        let before = pending.len();
        let mut rejections = Vec::new();
        let mut rejected = Vec::new();
        for content in pending {
            match lists.evaluate(&content.name, &content.bytes) {
                Ok(candidate) => {
                    if !candidate.report.diagnostics.is_empty() {
                        outcome.reports.push(candidate.report.clone());
                    }
                    outcome.accepted.push(AcceptedList {
                        name: content.name,
                        changes: candidate.changes.clone(),
                    });
                    lists.activate(candidate);
                }
                Err(report) => {
                    rejections.push(report);
                    rejected.push(content);
                }
            }
        }
        let made_progress = rejected.len() < before;
        if rejected.is_empty() || !made_progress {
            outcome.reports.extend(rejections);
            return;
        }
        pending = rejected;
    }
}

fn print_json(outcome: &Outcome) {
    let accepted = outcome.accepted.iter();
    let good: Vec<Value> = accepted
        .map(|list| json!({"file": list.name, "changes": list.changes}))
        .collect();
    println!("{}", json!({"good": good, "reports": outcome.reports}));
}

fn print_text(outcome: &Outcome, with_changes: bool) {
    for report in &outcome.reports {
        println!("{report}\n");
    }
    for list in &outcome.accepted {
        if with_changes {
            println!("{}: good; {}", list.name, summary(&list.changes));
        } else {
            println!("{}: good", list.name);
        }
    }
}
