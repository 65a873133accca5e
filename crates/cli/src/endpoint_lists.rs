//! Checks, shows and compares endpoint lists.

mod check;
mod show;

use crate::arguments::{EndpointListCommand, OutputFormat};
use crate::error::CommandError;
use marblefall_control_plane::list_watcher::{read_bounded, FileContent, LastGoodLists};
use marblefall_control_plane::manifest::Manifest;
use marblefall_control_plane::plan::Applied;
use marblefall_endpoint_lists::{
    diff, ChangeKind, EndpointChange, EndpointList, ListRules, Report,
};
use serde_json::json;
use show::Detail;
use std::path::Path;

/// Runs `marblefall roster ...`.
pub fn run(command: EndpointListCommand) -> Result<(), CommandError> {
    match command {
        EndpointListCommand::Check {
            files,
            fleet,
            home,
            format,
        } => {
            let reference = check::Reference::new(fleet.as_deref(), home.as_deref());
            check::check(&files, reference, format)
        }
        EndpointListCommand::Show {
            home,
            endpoints,
            format,
        } => {
            let detail = if endpoints {
                Detail::Endpoints
            } else {
                Detail::Files
            };
            show::show(&home, detail, format)
        }
        EndpointListCommand::Diff { old, new, format } => print_diff(&old, &new, format),
    }
}

fn applied_manifest(home: &Path) -> Result<Manifest, CommandError> {
    Ok(Applied::read(home)?.manifest)
}

fn last_good_lists(home: &Path, manifest: &Manifest) -> Result<LastGoodLists, CommandError> {
    Ok(LastGoodLists::read(home, manifest)?)
}

/// Returns the numbers of added, changed and removed endpoints as text.
fn summary(changes: &[EndpointChange]) -> String {
    let count = |kind| changes.iter().filter(|change| change.kind == kind).count();
    let changed = count(ChangeKind::Changed) + count(ChangeKind::Drained);
    format!(
        "{} to add, {changed} to change, {} to remove",
        count(ChangeKind::Added),
        count(ChangeKind::Removed)
    )
}

fn print_diff(old: &Path, new: &Path, format: OutputFormat) -> Result<(), CommandError> {
    let (old, new) = (read_list(old)?, read_list(new)?);
    let changes = diff(&old, &new);
    match format {
        OutputFormat::Json => println!(
            "{}",
            json!({"from": old.revision, "to": new.revision, "changes": changes})
        ),
        OutputFormat::Text => {
            changes.iter().for_each(|change| println!("{change}"));
            println!(
                "revision {} to {}: {}",
                old.revision,
                new.revision,
                summary(&changes)
            );
        }
    }
    Ok(())
}

fn read_list(path: &Path) -> Result<EndpointList, CommandError> {
    let max_bytes = ListRules::default().max_bytes;
    let FileContent { bytes, .. } =
        read_bounded(path, max_bytes).map_err(CommandError::of_file(path))?;
    let name = path.display().to_string();
    let parsed = EndpointList::parse(&bytes, max_bytes)
        .map_err(|faults| CommandError::List(Box::new(Report::new(&name, &bytes, faults))))?;
    Ok(parsed.list)
}
