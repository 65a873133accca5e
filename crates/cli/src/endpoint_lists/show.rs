//! Shows the endpoint lists in force in a home, and the state of their files.

use super::{applied_manifest, last_good_lists};
use crate::arguments::OutputFormat;
use crate::error::CommandError;
use marblefall_control_plane::list_watcher::{FileState, LastGoodLists, ListStatus};
use marblefall_control_plane::manifest::Manifest;
use marblefall_endpoint_lists::{Endpoint, EndpointList};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// The level of detail in which a list is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detail {
    /// The file, revision and state of the list.
    Files,
    /// Also each endpoint of the list.
    Endpoints,
}

/// Prints the lists in force, and the state of their files.
pub fn show(home: &Path, detail: Detail, format: OutputFormat) -> Result<(), CommandError> {
    let manifest = applied_manifest(home)?;
    let last_good = last_good_lists(home, &manifest)?;
    let status = ListStatus::read(home)?;
    match format {
        OutputFormat::Json => print_json(&last_good, &status, detail),
        OutputFormat::Text => {
            println!("rosters of {}: {}", home.display(), source_text(&manifest));
            print_text(&last_good, &status, detail);
        }
    }
    Ok(())
}

fn source_text(manifest: &Manifest) -> String {
    match &manifest.list_source {
        Some(source) => source.path.display().to_string(),
        None => "no [roster] is applied".to_owned(),
    }
}

/// Returns the names of the files that have a list in force or a known state.
fn file_names<'a>(last_good: &'a LastGoodLists, status: &'a ListStatus) -> BTreeSet<&'a String> {
    let in_force = last_good.lists.lists().keys();
    in_force.chain(status.files.keys()).collect()
}

fn file_state(status: &ListStatus, file: &str) -> FileState {
    let known = status.files.get(file);
    known.map_or(FileState::InForce, |status| status.state.clone())
}

fn print_json(last_good: &LastGoodLists, status: &ListStatus, detail: Detail) {
    let lists = last_good.lists.lists();
    let file_json = |name: &String| -> Value {
        let list = lists.get(name);
        let with_endpoints = list.filter(|_| detail == Detail::Endpoints);
        json!({
            "file": name,
            "standing": file_state(status, name),
            "revision": list.map(|list| list.revision),
            "destinations": list.map(|list| list.destinations.len()),
            "endpoints": with_endpoints.map(|list| &list.destinations),
        })
    };
    let names = file_names(last_good, status);
    let files: Vec<Value> = names.into_iter().map(file_json).collect();
    let unlisted = last_good.lists.destinations_without_list();
    println!(
        "{}",
        json!({"files": files, "unlisted": unlisted, "spoilt": last_good.unreadable})
    );
}

fn print_text(last_good: &LastGoodLists, status: &ListStatus, detail: Detail) {
    let lists = last_good.lists.lists();
    for name in file_names(last_good, status) {
        let state = state_text(file_state(status, name));
        let Some(list) = lists.get(name) else {
            println!("{name}: nothing in force, {state}");
            continue;
        };
        println!(
            "{name}: revision {} with {} destinations, {state}",
            list.revision,
            list.destinations.len()
        );
        if detail == Detail::Endpoints {
            print_endpoints(list);
        }
    }
    for report in &last_good.unreadable {
        println!("the stored copy of a list is unreadable and was moved aside:\n{report}");
    }
    for name in last_good.lists.destinations_without_list() {
        println!("{name}: no roster lists it: nothing is served there");
    }
}

fn state_text(state: FileState) -> String {
    match state {
        FileState::InForce => "in force".to_owned(),
        FileState::Rejected { report } => format!("the file is refused:\n{report}\n"),
        FileState::Unreadable { cause } => format!("the file cannot be read: {cause}"),
        FileState::Missing => "the file is missing".to_owned(),
    }
}

fn print_endpoints(list: &EndpointList) {
    for (name, destination) in &list.destinations {
        println!("  {name}");
        for endpoint in &destination.endpoints {
            println!("    {}", endpoint_text(endpoint));
        }
    }
}

fn endpoint_text(endpoint: &Endpoint) -> String {
    let mut text = format!(
        "{} {} weight {}",
        endpoint.name, endpoint.address, endpoint.weight
    );
    if !endpoint.zone.is_empty() {
        text.push_str(" zone ");
        text.push_str(&endpoint.zone);
    }
    if endpoint.draining {
        text.push_str(" draining");
    }
    text
}
