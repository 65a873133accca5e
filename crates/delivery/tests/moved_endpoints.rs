//! Endpoint names that move from one destination to another, while attempts are in flight.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::destinations::event_submission;
use common::{
    attempt_finished, class_names, endpoint, engine_settings, folder as temporary_folder, limits,
    timestamp,
};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::endpoint::ListedEndpoint;
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::MessageId;
use marblefall_scheduler::{DestinationId, EndpointId, EndpointStatus, Idempotency, Outcome, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum size of the folder, in bytes.
const MAX_BYTES: u64 = 3_000_000;
/// Number of random histories of each kind.
const HISTORIES: u64 = 1500;
/// Number of steps of a history.
const STEPS: i64 = 60;
/// Duration of a step, in ms.
const STEP_MS: i64 = 40;
const DESTINATIONS: [&str; 3] = ["arada", "bole", "gerji"];
const NAMES: [&str; 4] = ["ep-1", "ep-2", "ep-3", "ep-4"];

/// How the engine receives its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// As a table of all destinations.
    Table,
    /// As a complete list.
    CompleteList,
    /// As the changes since the last list.
    ListChanges,
}

/// The index in [`DESTINATIONS`] of the destination that each listed name belongs to.
type Assignment = BTreeMap<&'static str, usize>;

fn destination_id(index: usize) -> DestinationId {
    DestinationId(index as u64)
}

fn table(assignment: &Assignment) -> Arc<DestinationTable> {
    let mut table = DestinationTable::with_large_capacity();
    for (index, name) in DESTINATIONS.iter().enumerate() {
        let entry = DestinationEntry {
            name,
            id: destination_id(index),
            encoding: 0,
            rate: 50.0,
            from_list: false,
        };
        let names = assignment.iter().filter(|(_, at)| **at == index);
        let endpoints = names.map(|(name, _)| EndpointEntry {
            name,
            address: "127.0.0.1:1".parse().unwrap(),
            weight: None,
            active: true,
        });
        table.add(entry, endpoints).unwrap();
    }
    Arc::new(table.build())
}

fn listed(name: &str, destination: usize, status: EndpointStatus) -> ListedEndpoint {
    ListedEndpoint {
        destination: destination_id(destination),
        status,
        ..endpoint(name)
    }
}

/// An engine, and a model of its endpoints and of the calls to them.
struct History {
    engine: Engine,
    folder: PathBuf,
    rng: fastrand::Rng,
    source: Source,
    ms: i64,
    assignment: Assignment,
    /// The name and the destination of each endpoint that the engine lists, by id.
    endpoints: BTreeMap<EndpointId, (String, DestinationId)>,
    in_flight: BTreeMap<MessageId, u32>,
    submitted: u64,
    attempts: usize,
}

impl History {
    fn new(seed: u64, source: Source) -> History {
        let folder = temporary_folder(&format!("moves-{source:?}-{seed}"));
        let store = MessageStore::open(&folder, MAX_BYTES, class_names(&["free"])).unwrap();
        let settings = engine_settings(&[Idempotency::Idempotent], limits(100));
        let mut history = History {
            engine: Engine::new(settings, store, timestamp(0), &mut Vec::new()),
            folder,
            rng: fastrand::Rng::with_seed(seed),
            source,
            ms: 0,
            assignment: Assignment::new(),
            endpoints: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            submitted: 0,
            attempts: 0,
        };
        history.reassign();
        history
    }

    fn step(&mut self, events: Vec<EngineEvent>) {
        let now = timestamp(self.ms);
        let mut commands = Vec::new();
        self.engine.step(now, events, &mut commands);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut commands);
        }
        for command in commands {
            self.check(command);
        }
    }

    /// Applies a command to the model.
    fn check(&mut self, command: EngineCommand) {
        match command {
            EngineCommand::EndpointListed(id, listing) => {
                let known = (listing.name, listing.destination);
                let before = self.endpoints.insert(id, known.clone());
                assert!(
                    before.is_none_or(|before| before == known),
                    "an id changed its endpoint"
                );
            }
            EngineCommand::EndpointRemoved(id) => drop(self.endpoints.remove(&id)),
            EngineCommand::StartAttempt(request) => {
                let (name, destination) = &self.endpoints[&request.endpoint];
                assert_eq!(*destination, request.message.destination);
                let listed_at = self.assignment.get(name.as_str()).copied();
                assert_eq!(listed_at.map(destination_id), Some(*destination), "{name}");
                let before = self.in_flight.insert(request.message_id, request.attempt);
                assert_eq!(before, None, "two attempts are in flight");
                self.attempts += 1;
            }
            _ => {}
        }
    }

    /// Assigns names to destinations at random, and passes the change to the engine.
    fn reassign(&mut self) {
        let before = self.assignment.clone();
        for name in NAMES {
            match self.rng.usize(0..=DESTINATIONS.len()) {
                index if index < DESTINATIONS.len() => drop(self.assignment.insert(name, index)),
                _ => drop(self.assignment.remove(name)),
            }
        }
        let active = EndpointStatus::Active;
        let all = self.assignment.iter();
        let all = all.map(|(name, index)| listed(name, *index, active));
        let event = match self.source {
            Source::Table => EngineEvent::DestinationTableReplaced(table(&self.assignment)),
            Source::CompleteList => EngineEvent::EndpointsReplaced(all.collect()),
            Source::ListChanges => {
                let is_gone = |name: &&&str| !self.assignment.contains_key(**name);
                // An entry of a removed endpoint need not name its destination.
                let gone = before.keys().filter(is_gone);
                let gone = gone.map(|name| listed(name, 0, EndpointStatus::Removed));
                let mut entries: Vec<_> = all.chain(gone).collect();
                self.rng.shuffle(&mut entries);
                EngineEvent::EndpointsUpdated(entries)
            }
        };
        self.step(vec![event]);
        self.check_endpoints();
    }

    /// Checks that the engine lists exactly the endpoints of the assignment, or of the destinations in use in the case of a
    /// table.
    fn check_endpoints(&self) {
        let expected: BTreeSet<(&str, DestinationId)> = self
            .assignment
            .iter()
            .map(|(name, index)| (*name, destination_id(*index)))
            .collect();
        let known = self.endpoints.values();
        let known: BTreeSet<_> = known.map(|(name, at)| (name.as_str(), *at)).collect();
        match self.source {
            Source::Table => {
                let in_use: BTreeSet<_> = known.iter().map(|(_, at)| *at).collect();
                let used = expected.into_iter().filter(|(_, at)| in_use.contains(at));
                assert_eq!(known, used.collect());
            }
            Source::CompleteList | Source::ListChanges => assert_eq!(known, expected),
        }
        assert_eq!(known.len(), self.endpoints.len(), "an endpoint has two ids");
    }

    fn submit(&mut self) {
        self.submitted += 1;
        let destination = destination_id(self.rng.usize(0..DESTINATIONS.len()));
        self.step(vec![event_submission(self.ms, self.submitted, destination)]);
    }

    fn finish_attempt(&mut self) {
        let Some((&id, &attempt)) = self.rng.choice(&self.in_flight) else {
            return;
        };
        self.in_flight.remove(&id);
        let outcome = match self.rng.u8(0..8) {
            0 => Outcome::Error,
            1 => Outcome::Reset,
            2 => Outcome::TimedOut,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Rejected {
                retry_after: Some(Span::from_ms(self.rng.i64(50..600) as f64)),
            },
            _ => Outcome::Delivered,
        };
        self.step(vec![attempt_finished(id, attempt, outcome)]);
    }

    fn advance(&mut self) {
        self.ms += STEP_MS;
        match self.rng.u8(0..6) {
            0 => self.reassign(),
            1..=2 => self.submit(),
            3..=4 => self.finish_attempt(),
            _ => self.step(Vec::new()),
        }
    }
}

/// Guards against a crash: a name that moved to another destination left its id in the lists of both, and the instance
/// panicked once one of them removed it. Seeds are fixed.
#[test]
fn endpoints_follow_every_sequence_of_lists_and_tables() {
    for source in [Source::Table, Source::CompleteList, Source::ListChanges] {
        let mut attempts = 0;
        for seed in 0..HISTORIES {
            let mut history = History::new(seed, source);
            let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                (0..STEPS).for_each(|_| history.advance())
            }));
            assert!(played.is_ok(), "{source:?}, seed {seed}");
            attempts += history.attempts;
            let _ = std::fs::remove_dir_all(&history.folder);
        }
        assert!(attempts > HISTORIES as usize * 5, "{source:?}: {attempts}");
    }
}

/// A `Retry-After` belongs to the endpoint that sent it: it does not move with the name, and still holds when the name moves
/// back.
#[test]
fn backoff_stays_with_the_endpoint_when_its_name_moves_and_returns() {
    let folder = temporary_folder("moves-backoff");
    let store = MessageStore::open(&folder, MAX_BYTES, class_names(&["free"])).unwrap();
    let mut settings = engine_settings(&[Idempotency::Idempotent], limits(100));
    settings.scheduler.kinds[0].separate_routes = true;
    let mut engine = Engine::new(settings, store, timestamp(0), &mut Vec::new());
    let mut step = |ms: i64, events: Vec<EngineEvent>| {
        let mut commands = Vec::new();
        engine.step(timestamp(ms), events, &mut commands);
        while engine.has_backlog() {
            engine.step(timestamp(ms), Vec::new(), &mut commands);
        }
        common::started_attempts(&commands)
    };
    let list = |destination: usize| {
        EngineEvent::EndpointsReplaced(vec![listed("ep-1", destination, EndpointStatus::Active)])
    };
    let submission =
        |ms, number, destination| vec![event_submission(ms, number, destination_id(destination))];
    step(0, vec![list(0)]);
    let (id, attempt) = step(10, submission(10, 1, 0))[0];
    let rejected = Outcome::Rejected {
        retry_after: Some(Span::from_ms(2000.0)),
    };
    step(100, vec![attempt_finished(id, attempt, rejected)]);
    step(200, vec![list(1)]);
    let elsewhere = step(210, submission(210, 2, 1));
    assert_eq!(elsewhere.len(), 1, "another endpoint has the name");
    step(
        220,
        vec![attempt_finished(elsewhere[0].0, 0, Outcome::Delivered)],
    );
    step(300, vec![list(0)]);
    let early: Vec<_> = (310..2100)
        .step_by(10)
        .flat_map(|ms| step(ms, vec![]))
        .collect();
    assert_eq!(early, [], "the endpoint has requested a backoff");
    let late: Vec<_> = (2100..4000)
        .step_by(10)
        .flat_map(|ms| step(ms, vec![]))
        .collect();
    assert_eq!(late, [(id, 1)]);
    let _ = std::fs::remove_dir_all(&folder);
}
