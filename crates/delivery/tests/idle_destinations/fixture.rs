//! An engine with many destinations, and the changes of its listed endpoints.

use crate::common::destinations::{event_submission, table_replaced, TableSpec};
use crate::common::{
    attempt_finished_after, engine_settings, folder as temporary_folder, timestamp,
};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::MessageId;
use marblefall_scheduler::{DestinationId, Idempotency, Limits, Outcome, RateHints, Rules, Span};
use std::path::PathBuf;

/// Maximum size of the journal, in bytes.
const MAX_BYTES: u64 = 64_000_000;

/// Returns a table of this many destinations, all at one port.
pub fn table(count: u64, port: u16) -> TableSpec {
    TableSpec {
        count,
        port,
        rate: 50.0,
    }
}

fn settings() -> EngineSettings {
    let limits = Limits {
        max_in_flight: 64,
        max_open_messages: 20_000,
        max_attempts: 8,
        cancellation_allowed: true,
        max_retry_after: Span::from_ms(90_000.0),
        idle_timeout: Span::from_ms(10_000.0),
        ..Limits::default()
    };
    let rules = Rules {
        ramp_start: 0.27,
        ramp_duration: Span::from_ms(10_000.0),
        overload_factor: 1.5,
        overload_window: Span::from_ms(2000.0),
        ..Rules::default()
    };
    let mut settings = engine_settings(&[Idempotency::Idempotent], limits);
    settings.scheduler.rules = rules;
    settings.scheduler.rate_hints = RateHints::Approximate;
    settings.retention_ms = vec![60_000];
    settings.max_retained = 100;
    settings
}

/// An engine with many destinations. Times are in milliseconds after its start.
pub struct Fixture {
    pub engine: Engine,
    folder: PathBuf,
    /// Number of the last submission.
    last_number: u64,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fixture {
    /// Starts an engine with a table of `count` destinations.
    pub fn start(name: &str, count: u64) -> Fixture {
        let folder = temporary_folder(&format!("idle-{name}"));
        let store = MessageStore::open(&folder, MAX_BYTES, vec!["free".to_owned()]).unwrap();
        let mut fixture = Fixture {
            engine: Engine::new(settings(), store, timestamp(0), &mut Vec::new()),
            folder,
            last_number: 0,
        };
        let commands = fixture.step(0, vec![table_replaced(table(count, 1))]);
        assert!(commands.is_empty(), "no destination is in use yet");
        fixture
    }

    /// Steps the engine once, and returns its commands.
    pub fn step(&mut self, ms: i64, events: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut commands = Vec::new();
        self.engine.step(timestamp(ms), events, &mut commands);
        commands
    }

    /// Returns the submission of a new event for a destination.
    pub fn submission(&mut self, ms: i64, destination: u64) -> EngineEvent {
        self.last_number += 1;
        event_submission(ms, self.last_number, DestinationId(destination))
    }

    /// Steps the engine every second without events, so that idle destinations are compacted.
    pub fn pass_time(&mut self, from_ms: i64, to_ms: i64) -> Vec<EngineCommand> {
        (from_ms / 1000..=to_ms / 1000)
            .flat_map(|second| self.step(second * 1000, Vec::new()))
            .collect()
    }
}

/// The changes that commands make to the listed endpoints.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointChanges {
    /// Names of the endpoints that were added to the list or changed in it.
    pub listed: Vec<String>,
    /// Number of removed endpoints.
    pub removed: usize,
}

impl EndpointChanges {
    pub fn of(commands: &[EngineCommand]) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        for command in commands {
            match command {
                EngineCommand::EndpointListed(_, endpoint) => {
                    changes.listed.push(endpoint.name.clone());
                }
                EngineCommand::EndpointRemoved(_) => changes.removed += 1,
                _ => {}
            }
        }
        changes
    }

    pub fn none() -> EndpointChanges {
        EndpointChanges::default()
    }

    pub fn listed(name: &str) -> EndpointChanges {
        EndpointChanges {
            listed: vec![name.to_owned()],
            removed: 0,
        }
    }

    pub fn removed(count: usize) -> EndpointChanges {
        EndpointChanges {
            listed: Vec::new(),
            removed: count,
        }
    }
}

/// Returns the event for the end of an attempt that was in flight for 10 ms.
pub fn attempt_finished((id, attempt): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    attempt_finished_after(Span::from_ms(10.0), id, attempt, outcome)
}
