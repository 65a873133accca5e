//! The engine under a policy that a group decides on: suspended, without its lease, and with a policy that changes while it
//! runs. Without any wire, with a clock set by the tests.

#![allow(clippy::too_many_lines, reason = "a test tells one course of events")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{
    attempt_finished, endpoint, engine_settings, folder, limits, responses, started_attempts,
    KEYED, START_MS,
};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{
    AttemptRequest, Engine, EngineCommand, EngineEvent, EngineSettings, LeaseState, PolicyChange,
    ProposedPolicy,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    FinalOutcome, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::collections::BTreeSet;
use std::sync::Arc;

fn message(name: &str, class: usize, deadline_ms: i64) -> Message {
    Message {
        origin: Origin::CloudEvents,
        identity: name.into(),
        idempotency_key: (class == 0).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + deadline_ms,
        attributes: Vec::new(),
        body: b"body".to_vec(),
    }
}

fn class_names(classes: &[&str]) -> Vec<String> {
    classes.iter().map(|class| (*class).to_owned()).collect()
}

fn policy_settings(max_in_flight: usize, idempotencies: &[Idempotency]) -> EngineSettings {
    let limits = Limits {
        max_in_flight,
        cancellation_allowed: true,
        ..limits(8)
    };
    EngineSettings {
        retention_ms: vec![60_000; idempotencies.len()],
        max_remembered: 100,
        ..engine_settings(idempotencies, limits)
    }
}

struct Fixture {
    engine: Engine,
    ms: i64,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let store =
            MessageStore::open(&folder(name), 3_000_000, class_names(&["keyed", "free"])).unwrap();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS,
        };
        let engine = Engine::new(
            policy_settings(1, &[KEYED, Idempotency::Idempotent]),
            store,
            now,
            &mut Vec::new(),
        );
        let mut fixture = Fixture { engine, ms: 0 };
        fixture.step(0, vec![EngineEvent::EndpointsReplaced(vec![endpoint("h")])]);
        fixture
    }

    fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        assert!(ms >= self.ms, "time does not go back");
        self.ms = ms;
        let (now, mut commands) = (
            Timestamp {
                monotonic: Time(ms * 1000),
                unix_ms: START_MS + ms,
            },
            Vec::new(),
        );
        self.engine.step(now, events, &mut commands);
        // What became clear only while commands were given.
        while self.engine.has_backlog() {
            let now = Timestamp {
                monotonic: Time(self.ms * 1000 + 1),
                ..now
            };
            self.engine.step(now, Vec::new(), &mut commands);
        }
        commands
    }

    fn submit(&mut self, ms: i64, request: u64, message: Message) -> Vec<EngineCommand> {
        self.step(
            ms,
            vec![EngineEvent::Submitted(RequestId(request), message)],
        )
    }

    fn change_policy(
        &mut self,
        ms: i64,
        revision: u64,
        classes: &[&str],
        settings: EngineSettings,
    ) -> Vec<EngineCommand> {
        let change = PolicyChange {
            revision,
            settings,
            classes: class_names(classes),
            destination_table: None,
        };
        self.step(ms, vec![EngineEvent::PolicyChanged(Box::new(change))])
    }
}

#[test]
fn suspended_engine_defers_submissions_and_attempts() {
    let mut fixture = Fixture::new("suspended");
    let first = started_attempts(&fixture.submit(10, 1, message("first", 0, 20_000)))[0];
    // One attempt at a time: the second message is pending.
    assert_eq!(
        responses(&fixture.submit(20, 2, message("second", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    fixture.engine.set_lease(LeaseState::Suspended);
    let commands = fixture.submit(30, 3, message("third", 0, 20_000));
    assert_eq!(
        (responses(&commands), started_attempts(&commands)),
        (vec![], vec![])
    );
    // An attempt that was in flight ends by the rules that it started under; nothing is started in its place.
    let commands = fixture.step(
        100,
        vec![attempt_finished(first.0, first.1, Outcome::Delivered)],
    );
    assert_eq!(
        responses(&commands),
        [(1, SubmitResponse::Finished(FinalOutcome::Delivered))]
    );
    assert_eq!(started_attempts(&commands), []);
    // The message of a client that goes away meanwhile is not accepted later.
    fixture.submit(110, 4, message("fourth", 0, 20_000));
    fixture.step(120, vec![EngineEvent::ClientGone(RequestId(4))]);
    fixture.engine.set_lease(LeaseState::Held);
    let commands = fixture.step(200, vec![]);
    assert_eq!(responses(&commands), [(3, SubmitResponse::Accepted)]);
    assert_eq!(
        started_attempts(&commands).len(),
        1,
        "the one that was pending"
    );
    assert_eq!(fixture.engine.load().0, 2);
}

#[test]
fn deferred_submissions_are_rejected_when_late_or_many() {
    let mut fixture = Fixture::new("too-long");
    fixture.engine.set_lease(LeaseState::Suspended);
    // Eight may be open.
    let submissions = (0..10)
        .map(|n| EngineEvent::Submitted(RequestId(n), message(&format!("m{n}"), 0, 20_000)))
        .collect();
    let commands = fixture.step(10, submissions);
    assert_eq!(
        responses(&commands),
        [
            (
                8,
                SubmitResponse::Rejected {
                    retry_after_ms: 1000
                }
            ),
            (
                9,
                SubmitResponse::Rejected {
                    retry_after_ms: 1000
                }
            )
        ]
    );
    // Their latency objective is 2 s.
    assert_eq!(responses(&fixture.step(1900, vec![])), []);
    assert_eq!(responses(&fixture.step(2020, vec![])).len(), 8);
    // Where the policy in force is not known, at once.
    fixture.engine.set_lease(LeaseState::Lost);
    assert_eq!(
        responses(&fixture.submit(2030, 11, message("late", 0, 20_000))),
        [(
            11,
            SubmitResponse::Rejected {
                retry_after_ms: 1000
            }
        )]
    );
}

#[test]
fn deadlines_are_kept_without_the_lease() {
    let mut fixture = Fixture::new("deadline");
    fixture.submit(10, 1, message("out", 1, 20_000));
    fixture.submit(20, 2, message("pending", 1, 5000));
    fixture.engine.set_lease(LeaseState::Lost);
    fixture.step(30, vec![]);
    let now = Timestamp {
        monotonic: Time(30_000),
        unix_ms: START_MS + 30,
    };
    let wake = fixture.engine.next_wake_without_lease(now).unwrap();
    assert!(
        wake <= Time(5_001_000) && wake > Time(4_900_000),
        "{wake:?}"
    );
    assert_eq!(responses(&fixture.step(4990, vec![])), []);
    assert_eq!(
        responses(&fixture.step(5002, vec![])),
        [(2, SubmitResponse::Finished(FinalOutcome::Expired))]
    );
}

#[test]
fn policy_change_keeps_pending_messages_and_attempts() {
    let mut fixture = Fixture::new("change");
    // What was learned of a route is kept as well: of one never used only two attempts would be in flight.
    let learned = started_attempts(&fixture.submit(1, 9, message("met", 1, 20_000)))[0];
    fixture.step(
        5,
        vec![attempt_finished(learned.0, learned.1, Outcome::Delivered)],
    );
    let out = started_attempts(&fixture.submit(10, 1, message("out", 0, 20_000)))[0];
    fixture.submit(20, 2, message("pending", 1, 20_000));
    fixture.engine.set_lease(LeaseState::Suspended);
    fixture.submit(30, 3, message("waits", 1, 20_000));
    // Six attempts at a time, and a third class after the two that were there.
    let commands = fixture.change_policy(
        40,
        2,
        &["keyed", "free", "never"],
        policy_settings(
            6,
            &[KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent],
        ),
    );
    assert!(commands
        .iter()
        .any(|command| matches!(command, EngineCommand::PolicyInForce(2))));
    assert_eq!(started_attempts(&commands), [], "it is suspended");
    assert_eq!(fixture.engine.load(), (2, 1));
    fixture.engine.set_lease(LeaseState::Held);
    let commands = fixture.step(50, vec![]);
    // The attempt in flight is not started again; the others start as the new policy permits.
    let started = started_attempts(&commands);
    assert_eq!(started.len(), 2, "{started:?}");
    assert!(started.iter().all(|started| started.0 != out.0));
    assert_eq!(responses(&commands), [(3, SubmitResponse::Accepted)]);
    // It ends as it would have, and a failed one is retried under its next number.
    let others = started
        .into_iter()
        .map(|(id, attempt)| attempt_finished(id, attempt, Outcome::Delivered))
        .collect();
    fixture.step(90, others);
    let commands = fixture.step(
        100,
        vec![attempt_finished(out.0, out.1, Outcome::ConnectFailed)],
    );
    let mut again = started_attempts(&commands);
    (110..3000)
        .step_by(10)
        .for_each(|ms| again.extend(started_attempts(&fixture.step(ms, vec![]))));
    assert_eq!(again.first(), Some(&(out.0, out.1 + 1)));
    // A class that the first policy did not know.
    let commands = fixture.submit(3010, 4, message("new class", 2, 20_000));
    assert_eq!(responses(&commands), [(4, SubmitResponse::Accepted)]);
}

#[test]
fn backoff_and_deduplication_window_survive_a_policy_change() {
    let mut fixture = Fixture::new("waits");
    let first = started_attempts(&fixture.submit(10, 1, message("first", 0, 20_000)))[0];
    fixture.step(
        100,
        vec![attempt_finished(
            first.0,
            first.1,
            Outcome::Rejected {
                retry_after: Some(Span::from_ms(2500.0)),
            },
        )],
    );
    fixture.change_policy(
        200,
        2,
        &["keyed", "free"],
        policy_settings(4, &[KEYED, Idempotency::Idempotent]),
    );
    let mut started = Vec::new();
    for ms in (300..4000).step_by(50) {
        started.extend(
            started_attempts(&fixture.step(ms, vec![]))
                .into_iter()
                .map(|started| (ms, started)),
        );
    }
    let (at, second) = *started.first().expect("it is retried");
    assert!(
        (2600..3600).contains(&at),
        "started {at} ms after the start, in backoff until 2,600"
    );
    assert_eq!(second, (first.0, 1));
    // The second may have been executed; a repeat must be within its window, also after another change.
    fixture.step(
        4100,
        vec![attempt_finished(second.0, second.1, Outcome::Reset)],
    );
    fixture.change_policy(
        4200,
        3,
        &["keyed", "free"],
        policy_settings(4, &[KEYED, Idempotency::Idempotent]),
    );
    let (mut repeats, window) = (Vec::new(), at + 6000);
    for ms in (4300..19_000).step_by(50) {
        let commands = fixture.step(ms, vec![]);
        for started in started_attempts(&commands) {
            repeats.push(ms);
            fixture.step(
                ms + 10,
                vec![attempt_finished(started.0, started.1, Outcome::Reset)],
            );
        }
    }
    assert!(
        repeats.iter().all(|ms| *ms < window),
        "{repeats:?} with a window until {window}"
    );
}

#[test]
fn proposed_policy_must_fit_open_messages() {
    let mut fixture = Fixture::new("fits");
    fixture.submit(10, 1, message("one", 0, 20_000));
    fixture.submit(20, 2, message("two", 1, 20_000));
    let whole = ProposedPolicy {
        classes: class_names(&["keyed", "free"]).into_iter().collect(),
        destinations: BTreeSet::from([DestinationId(7)]),
        max_open: 2,
    };
    let mut check = |proposed: ProposedPolicy| {
        let (response, answers) = async_channel::bounded(1);
        fixture.step(30, vec![EngineEvent::CheckPolicy(proposed, response)]);
        answers.try_recv().expect("answered at once")
    };
    assert_eq!(check(whole.clone()), Ok(()));
    let without = ProposedPolicy {
        classes: class_names(&["free"]).into_iter().collect(),
        ..whole.clone()
    };
    assert!(check(without)
        .unwrap_err()
        .to_string()
        .contains("class keyed"));
    let elsewhere = ProposedPolicy {
        destinations: BTreeSet::from([DestinationId(8)]),
        ..whole.clone()
    };
    assert!(check(elsewhere)
        .unwrap_err()
        .to_string()
        .contains("destination"));
    let small = ProposedPolicy {
        max_open: 1,
        ..whole
    };
    assert!(check(small)
        .unwrap_err()
        .to_string()
        .contains("2 messages are held"));
}

#[test]
fn open_message_is_joined_without_the_lease() {
    let mut fixture = Fixture::new("joins");
    fixture.submit(10, 1, message("pending", 0, 20_000));
    fixture.engine.set_lease(LeaseState::Lost);
    // Rejected, its client would go elsewhere, and two instances would have it.
    assert_eq!(
        responses(&fixture.submit(20, 2, message("pending", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    assert_eq!(
        responses(&fixture.submit(30, 3, message("new", 0, 20_000))),
        [(
            3,
            SubmitResponse::Rejected {
                retry_after_ms: 1000
            }
        )]
    );
}

/// Destination 7 with these endpoints, each with whether it is active.
fn destination_table(endpoints: &[(&str, bool)]) -> Arc<DestinationTable> {
    let mut destination_table = DestinationTable::with_large_capacity();
    let entry = DestinationEntry {
        name: "seven",
        id: DestinationId(7),
        encoding: 0,
        rate: 50.0,
        from_list: false,
    };
    let endpoint = |(name, active): &(&'static str, bool)| {
        let address = "127.0.0.1:1".parse().unwrap();
        EndpointEntry {
            name,
            address,
            weight: None,
            active: *active,
        }
    };
    let endpoints: Vec<(&'static str, bool)> = endpoints
        .iter()
        .map(|(name, active)| (if *name == "a" { "a" } else { "b" }, *active))
        .collect();
    destination_table
        .add(entry, endpoints.iter().map(endpoint))
        .unwrap();
    Arc::new(destination_table.build())
}

/// The endpoints to which attempts are started, by the ids that the commands gave them.
fn attempt_targets(
    commands: &[EngineCommand],
    endpoints: &mut std::collections::BTreeMap<EndpointId, String>,
) -> Vec<String> {
    let mut started = Vec::new();
    for command in commands {
        match command {
            EngineCommand::EndpointListed(id, ListedEndpoint { name, .. }) => {
                drop(endpoints.insert(*id, name.clone()))
            }
            EngineCommand::StartAttempt(AttemptRequest { endpoint, .. }) => {
                started.push(endpoints[endpoint].clone())
            }
            _ => {}
        }
    }
    started
}

#[test]
fn list_of_a_policy_replaces_earlier_lists_only() {
    let both = [("a", true), ("b", true)];
    for (name, before, with, later, active) in [
        // An instance that starts is given its first list, and another policy with the next one, in one step.
        (
            "first",
            Some(&both[..]),
            [("a", false), ("b", true)],
            None,
            "b",
        ),
        // An endpoint list drains an endpoint while the policy that still lists it is put in force.
        ("later", None, both, Some([("a", false), ("b", true)]), "b"),
    ] {
        let mut fixture = Fixture::new(&format!("lists-{name}"));
        let mut endpoints = Default::default();
        attempt_targets(
            &fixture.step(
                5,
                vec![EngineEvent::DestinationTableReplaced(destination_table(
                    &both,
                ))],
            ),
            &mut endpoints,
        );
        // In use, so that the scheduler knows its endpoints.
        let used = fixture.submit(10, 1, message("used", 1, 20_000));
        let started = started_attempts(&used)[0];
        attempt_targets(&used, &mut endpoints);
        attempt_targets(
            &fixture.step(
                20,
                vec![attempt_finished(started.0, started.1, Outcome::Delivered)],
            ),
            &mut endpoints,
        );
        fixture.engine.set_lease(LeaseState::Suspended);
        let classes = class_names(&["keyed", "free"]);
        let settings = policy_settings(4, &[KEYED, Idempotency::Idempotent]);
        let change = PolicyChange {
            revision: 2,
            settings,
            classes,
            destination_table: Some(destination_table(&with)),
        };
        let first = before
            .map(|endpoints| EngineEvent::DestinationTableReplaced(destination_table(endpoints)));
        let events = first
            .into_iter()
            .chain([EngineEvent::PolicyChanged(Box::new(change))])
            .collect();
        attempt_targets(&fixture.step(30, events), &mut endpoints);
        let later = later
            .map(|endpoints| EngineEvent::DestinationTableReplaced(destination_table(&endpoints)));
        attempt_targets(
            &fixture.step(40, later.into_iter().collect()),
            &mut endpoints,
        );
        fixture.engine.set_lease(LeaseState::Held);
        let mut started = attempt_targets(&fixture.step(50, vec![]), &mut endpoints);
        for n in 0..8 {
            let commands =
                fixture.submit(60 + n, 10 + n as u64, message(&format!("m{n}"), 1, 20_000));
            started.extend(attempt_targets(&commands, &mut endpoints));
            for (id, attempt) in started_attempts(&commands) {
                fixture.step(
                    60 + n,
                    vec![attempt_finished(id, attempt, Outcome::Delivered)],
                );
            }
        }
        assert!(
            started.len() > 4 && started.iter().all(|endpoint| endpoint == active),
            "{name}: {started:?}"
        );
    }
}
