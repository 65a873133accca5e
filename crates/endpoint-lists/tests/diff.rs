//! Tests of the differences between random lists, generated from a fixed seed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{check_property, ValidList};
use marblefall_endpoint_lists::{diff, ChangeKind, Endpoint, EndpointList};
use std::collections::BTreeMap;

#[test]
fn applying_a_diff_to_the_old_list_gives_the_new_one() {
    check_property(
        5,
        300,
        |(ValidList(old), ValidList(new)): (ValidList, ValidList)| {
            // Random names rarely coincide, so some destinations of the old list are copied to the new list.
            let mut new = new;
            for (name, destination) in old.destinations.iter().take(2) {
                let mut copied = destination.clone();
                copied.endpoints.truncate(2);
                copied.endpoints[0].weight = 7.0;
                new.destinations.insert(name.clone(), copied);
            }
            let endpoints_by_name = |list: &EndpointList| -> BTreeMap<(String, String), Endpoint> {
                let destinations = list.destinations.iter();
                destinations
                    .flat_map(|(name, destination)| {
                        let endpoints = destination.endpoints.iter();
                        endpoints.map(|endpoint| {
                            let key = (name.clone(), endpoint.name.clone());
                            (key, endpoint.clone())
                        })
                    })
                    .collect()
            };
            let changes = diff(&old, &new);
            let mut result = endpoints_by_name(&old);
            for change in &changes {
                let key = (change.destination.clone(), change.endpoint.name.clone());
                match change.kind {
                    ChangeKind::Removed => drop(result.remove(&key)),
                    _ => drop(result.insert(key, change.endpoint.clone())),
                }
            }
            result == endpoints_by_name(&new) && changes.is_sorted_by_key(|change| change.kind)
        },
    );
}
