//! What staff do with rosters: check, show and compare them.

use crate::words::{Form, Roster as Words};
use marblefall_control_plane::list_watcher::{
    list_files, read_bounded, FileState, FileStatus, LastGoodLists, ListStatus,
};
use marblefall_control_plane::manifest::Manifest;
use marblefall_control_plane::plan::Applied;
use marblefall_endpoint_lists::{
    diff, ActiveLists, ChangeKind, Diagnostic, EndpointChange, EndpointList, ListRules, Report,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Does it. The cause of a failure is empty where everything was said on the way.
pub fn obey(words: Words) -> Result<(), String> {
    match words {
        Words::Check {
            files,
            fleet,
            home,
            format,
        } => check(&files, fleet.as_deref(), home.as_deref(), format),
        Words::Show {
            home,
            endpoints,
            format,
        } => show(&home, endpoints, format),
        Words::Diff { old, new, format } => compare(&old, &new, format),
    }
}

fn check(
    given: &[PathBuf],
    fleet: Option<&Path>,
    home: Option<&Path>,
    format: Form,
) -> Result<(), String> {
    let mut book = match (fleet, home) {
        (Some(fleet), _) => {
            let manifest = Manifest::read(fleet).map_err(|error| error.to_string())?;
            ActiveLists::new(manifest.list_terms())
        }
        (None, Some(home)) => last_good_lists(home, &applied_manifest(home)?)?.lists,
        (None, None) => ActiveLists::new(ListRules::default()),
    };
    let mut found: Vec<(String, PathBuf)> = Vec::new();
    for path in given {
        let some = list_files(path).map_err(|error| format!("{}: {error}", path.display()))?;
        if some.is_empty() {
            return Err(format!("{}: no file there ends in .toml", path.display()));
        }
        found.extend(some);
    }
    // A list in force of a file that is not given was not meant to be checked; but one may take over from it.
    if home.is_some() && given.iter().any(|path| path.is_dir()) {
        book.set_present_files(
            &found
                .iter()
                .map(|(name, _)| name.clone())
                .collect::<BTreeSet<_>>(),
        );
    }
    let mut reports: Vec<Report> = Vec::new();
    let mut pending: Vec<(String, Vec<u8>)> = Vec::new();
    for (name, path) in found {
        // The files in force go by their names; without them, by their paths, which tell equal names apart.
        let name = if home.is_some() {
            name
        } else {
            path.display().to_string()
        };
        match read_bounded(&path, book.rules().max_bytes) {
            Ok((bytes, _)) => pending.push((name, bytes)),
            Err(error) => {
                let help = "make it a plain file that the courier may read";
                let fault = Diagnostic::error("unreadable", None, error.to_string(), help);
                reports.push(Report::new(&name, b"", vec![fault]));
            }
        }
    }
    // As the daemon does: what is refused is tried again once another list is in place.
    let mut good: Vec<(String, Vec<EndpointChange>)> = Vec::new();
    loop {
        let (before, mut refused) = (pending.len(), Vec::new());
        let mut wrong = Vec::new();
        for (name, bytes) in std::mem::take(&mut pending) {
            match book.evaluate(&name, &bytes) {
                Ok(offer) => {
                    if !offer.report.diagnostics.is_empty() {
                        reports.push(offer.report.clone());
                    }
                    good.push((name, offer.changes.clone()));
                    book.put_in_force(offer);
                }
                Err(report) => {
                    wrong.push(report);
                    refused.push((name, bytes));
                }
            }
        }
        if refused.is_empty() || refused.len() == before {
            reports.extend(wrong);
            break;
        }
        pending = refused;
    }
    let wrong = reports
        .iter()
        .filter(|report| report.is_rejection())
        .count();
    match format {
        Form::Json => {
            let good: Vec<_> = good
                .iter()
                .map(|(file, changes)| json!({"file": file, "changes": changes}))
                .collect();
            println!("{}", json!({"good": good, "reports": reports}));
        }
        Form::Text => {
            reports.iter().for_each(|report| println!("{report}\n"));
            for (file, changes) in &good {
                match home {
                    Some(_) => println!("{file}: good; {}", sum(changes)),
                    None => println!("{file}: good"),
                }
            }
        }
    }
    if wrong > 0 {
        return Err(if format == Form::Json {
            String::new()
        } else {
            format!("{wrong} refused")
        });
    }
    Ok(())
}

fn applied_manifest(home: &Path) -> Result<Manifest, String> {
    let applied = Applied::read(home).map_err(|error| error.to_string())?;
    Ok(applied.manifest)
}

fn last_good_lists(home: &Path, manifest: &Manifest) -> Result<LastGoodLists, String> {
    LastGoodLists::read(home, manifest).map_err(|error| error.to_string())
}

fn sum(changes: &[EndpointChange]) -> String {
    let count = |step| changes.iter().filter(|change| change.kind == step).count();
    let changed = count(ChangeKind::Changed) + count(ChangeKind::Drained);
    format!(
        "{} to add, {changed} to change, {} to remove",
        count(ChangeKind::Added),
        count(ChangeKind::Removed)
    )
}

fn show(home: &Path, endpoints: bool, format: Form) -> Result<(), String> {
    let manifest = applied_manifest(home)?;
    let LastGoodLists {
        lists: book,
        unreadable: spoilt,
    } = last_good_lists(home, &manifest)?;
    let status = ListStatus::read(home).map_err(|error| error.to_string())?;
    let names: BTreeSet<&String> = book.lists().keys().chain(status.files.keys()).collect();
    let standing = |name: &String| {
        let told = status.files.get(name).cloned();
        told.unwrap_or(FileStatus {
            state: FileState::InForce,
            revision: None,
        })
    };
    if format == Form::Json {
        let file = |name: &&String| {
            let roster = book.lists().get(*name);
            let whole = endpoints
                .then_some(roster)
                .flatten()
                .map(|roster| &roster.destinations);
            json!({
                "file": name,
                "standing": standing(name).state,
                "revision": roster.map(|roster| roster.revision),
                "destinations": roster.map(|roster| roster.destinations.len()),
                "endpoints": whole,
            })
        };
        let files: Vec<_> = names.iter().map(file).collect();
        println!(
            "{}",
            json!({"files": files, "unlisted": book.destinations_without_list(), "spoilt": spoilt})
        );
        return Ok(());
    }
    let path = manifest
        .list_source
        .as_ref()
        .map_or("no [roster] is applied".to_owned(), |at| {
            at.path.display().to_string()
        });
    println!("rosters of {}: {path}", home.display());
    for name in names {
        let said = match standing(name).state {
            FileState::InForce => "in force".to_owned(),
            FileState::Rejected { report } => format!("the file is refused:\n{report}\n"),
            FileState::Unreadable { cause } => format!("the file cannot be read: {cause}"),
            FileState::Missing => "the file is missing".to_owned(),
        };
        match book.lists().get(name) {
            Some(roster) => {
                let (revision, count) = (roster.revision, roster.destinations.len());
                println!("{name}: revision {revision} with {count} destinations, {said}");
                if endpoints {
                    list(roster);
                }
            }
            None => println!("{name}: nothing in force, {said}"),
        }
    }
    spoilt
        .iter()
        .for_each(|report| println!("kept copy spoilt, put aside:\n{report}"));
    for name in book.destinations_without_list() {
        println!("{name}: no roster lists it: nothing is served there");
    }
    Ok(())
}

fn list(roster: &EndpointList) {
    for (name, destination) in &roster.destinations {
        println!("  {name}");
        for endpoint in &destination.endpoints {
            let zone = if endpoint.zone.is_empty() {
                ""
            } else {
                " zone "
            };
            let draining = if endpoint.draining { " draining" } else { "" };
            let (weight, zoned) = (endpoint.weight, &endpoint.zone);
            println!(
                "    {} {} weight {weight}{zone}{zoned}{draining}",
                endpoint.name, endpoint.address
            );
        }
    }
}

fn compare(old: &Path, new: &Path, format: Form) -> Result<(), String> {
    let (old, new) = (read(old)?, read(new)?);
    let changes = diff(&old, &new);
    match format {
        Form::Json => println!(
            "{}",
            json!({"from": old.revision, "to": new.revision, "changes": changes})
        ),
        Form::Text => {
            changes.iter().for_each(|change| println!("{change}"));
            println!(
                "revision {} to {}: {}",
                old.revision,
                new.revision,
                sum(&changes)
            );
        }
    }
    Ok(())
}

fn read(path: &Path) -> Result<EndpointList, String> {
    let most = ListRules::default().max_bytes;
    let (bytes, _) =
        read_bounded(path, most).map_err(|error| format!("{}: {error}", path.display()))?;
    let report = |faults| {
        format!(
            "\n{}",
            Report::new(&path.display().to_string(), &bytes, faults)
        )
    };
    Ok(EndpointList::parse(&bytes, most).map_err(report)?.list)
}
