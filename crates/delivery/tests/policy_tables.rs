//! Destination tables that are received with a policy change, before it, or after it.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::policy::{message, policy_settings, PolicyEngine, CLASSES, IDEMPOTENCIES};
use common::{attempt_finished, class_names, started_attempts, DESTINATION};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptRequest, EngineCommand, EngineEvent, LeaseState, PolicyChange,
};
use marblefall_scheduler::{EndpointId, Outcome};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The endpoints of [`DESTINATION`] in a destination table: the name of each, and whether it is active.
type TableEndpoints = [(&'static str, bool); 2];

const BOTH_ACTIVE: TableEndpoints = [("a", true), ("b", true)];
const ONLY_B_ACTIVE: TableEndpoints = [("a", false), ("b", true)];

fn destination_table(endpoints: TableEndpoints) -> Arc<DestinationTable> {
    let mut table = DestinationTable::with_large_capacity();
    let entry = DestinationEntry {
        name: "seven",
        id: DESTINATION,
        encoding: 0,
        rate: 50.0,
        from_list: false,
    };
    let endpoints = endpoints.map(|(name, active)| EndpointEntry {
        name,
        address: "127.0.0.1:1".parse().unwrap(),
        weight: None,
        active,
    });
    table.add(entry, endpoints.into_iter()).unwrap();
    Arc::new(table.build())
}

fn table_replaced(endpoints: TableEndpoints) -> EngineEvent {
    EngineEvent::DestinationTableReplaced(destination_table(endpoints))
}

/// The names of endpoints, by the ids that the engine has assigned to them.
#[derive(Default)]
struct EndpointNames(BTreeMap<EndpointId, String>);

impl EndpointNames {
    /// Records the endpoints that commands list. Returns the names of the endpoints to which attempts are started.
    fn attempt_targets(&mut self, commands: &[EngineCommand]) -> Vec<String> {
        let mut targets = Vec::new();
        for command in commands {
            match command {
                EngineCommand::EndpointListed(id, ListedEndpoint { name, .. }) => {
                    self.0.insert(*id, name.clone());
                }
                EngineCommand::StartAttempt(AttemptRequest { endpoint, .. }) => {
                    targets.push(self.0[endpoint].clone());
                }
                _ => {}
            }
        }
        targets
    }
}

/// Changes the policy of an engine whose destination is in use, and returns the endpoints of all later attempts. A table in
/// `before` is received in the same step as the policy, before it; a table in `after` is received in the next step.
fn targets_after_change(
    name: &str,
    before: Option<TableEndpoints>,
    policy_table: TableEndpoints,
    after: Option<TableEndpoints>,
) -> Vec<String> {
    let mut fixture = PolicyEngine::start(name);
    let mut names = EndpointNames::default();
    names.attempt_targets(&fixture.step(5, vec![table_replaced(BOTH_ACTIVE)]));
    // Only the endpoints of a destination in use are passed to the scheduler.
    let commands = fixture.submit(10, 1, message("delivered", 1, 20_000));
    let (id, attempt) = started_attempts(&commands)[0];
    names.attempt_targets(&commands);
    let delivered = attempt_finished(id, attempt, Outcome::Delivered);
    names.attempt_targets(&fixture.step(20, vec![delivered]));
    fixture.engine.set_lease(LeaseState::Suspended);
    let change = PolicyChange {
        revision: 2,
        settings: policy_settings(4, &IDEMPOTENCIES),
        classes: class_names(&CLASSES),
        destination_table: Some(destination_table(policy_table)),
    };
    let changed = EngineEvent::PolicyChanged(Box::new(change));
    let events = before.map(table_replaced).into_iter().chain([changed]);
    names.attempt_targets(&fixture.step(30, events.collect()));
    let events = after.map(table_replaced).into_iter().collect();
    names.attempt_targets(&fixture.step(40, events));
    fixture.engine.set_lease(LeaseState::Held);
    let mut targets = names.attempt_targets(&fixture.step(50, vec![]));
    for n in 0..8 {
        let ms = 60 + n;
        let commands = fixture.submit(ms, 10 + n as u64, message(&format!("m{n}"), 1, 20_000));
        targets.extend(names.attempt_targets(&commands));
        for (id, attempt) in started_attempts(&commands) {
            let delivered = attempt_finished(id, attempt, Outcome::Delivered);
            fixture.step(ms, vec![delivered]);
        }
    }
    targets
}

fn assert_only_b(targets: &[String]) {
    assert!(
        targets.len() > 4 && targets.iter().all(|endpoint| endpoint == "b"),
        "{targets:?}"
    );
}

/// A starting instance can receive its first table in the same step as a policy change.
#[test]
fn policy_table_replaces_an_earlier_table_of_its_step() {
    assert_only_b(&targets_after_change(
        "earlier-table",
        Some(BOTH_ACTIVE),
        ONLY_B_ACTIVE,
        None,
    ));
}

/// An endpoint list can drain an endpoint while a policy whose table contains it as active is put in force.
#[test]
fn later_table_replaces_the_table_of_a_policy() {
    assert_only_b(&targets_after_change(
        "later-table",
        None,
        BOTH_ACTIVE,
        Some(ONLY_B_ACTIVE),
    ));
}
