//! Many idle destinations: only those in use are known to the module, and what must not be forgotten of the others
//! is not.

mod common;

use common::{class, START_MS};
use marblefall_delivery::core::destination_table::{
    DestinationEntry, DestinationTable, EndpointEntry,
};
use marblefall_delivery::core::engine::{
    AttemptResult, Engine, EngineCommand, EngineEvent, EngineSettings,
};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{
    Disposition, Message, Origin, RequestId, SubmitResponse, Timestamp,
};
use marblefall_scheduler::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

fn setup() -> EngineSettings {
    let caps = Limits {
        max_in_flight: 64,
        max_pending: 20_000,
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
    let settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        kinds: vec![DestinationKind {
            separate_routes: false,
            max_batch: 1,
        }],
        value_decay: ValueDecay::Linear,
        limits: caps,
        rules,
        rate_hints: RateHints::Approximate,
        instances: 1,
        ..Settings::default()
    };
    EngineSettings {
        scheduler: settings,
        seed: 1,
        remember_ms: vec![60_000],
        max_remembered: 100,
    }
}

/// So many destinations with an endpoint each, all at one port.
fn destination_table(count: u64, port: u16) -> Arc<DestinationTable> {
    let mut destination_table = DestinationTable::default();
    for number in 0..count {
        let (name, own) = (format!("clinic-{number}"), format!("clinic-{number}-1"));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let entry = DestinationEntry {
            name: &name,
            id: DestinationId(number),
            encoding: 0,
            rate: 50.0,
            from_list: false,
        };
        let place = EndpointEntry {
            name: &own,
            address,
            weight: None,
            active: true,
        };
        destination_table
            .add(entry, std::iter::once(place))
            .unwrap();
    }
    Arc::new(destination_table.build())
}

struct Bed {
    engine: Engine,
    dir: PathBuf,
    next: u64,
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Bed {
    fn new(name: &str, count: u64) -> Bed {
        let dir =
            std::env::temp_dir().join(format!("marblefall-idle-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let store = MessageStore::open(&dir, 64_000_000, vec!["free".to_owned()]).unwrap();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS,
        };
        let mut bed = Bed {
            engine: Engine::new(setup(), store, now, &mut Vec::new()),
            dir,
            next: 0,
        };
        assert!(
            bed.step(
                0,
                vec![EngineEvent::DestinationTableReplaced(destination_table(
                    count, 1
                ))]
            )
            .is_empty(),
            "nothing is in use yet"
        );
        bed
    }

    fn step(&mut self, ms: i64, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        let mut orders = Vec::new();
        let now = Timestamp {
            monotonic: Time(ms * 1000),
            unix_ms: START_MS + ms,
        };
        self.engine.step(now, inputs, &mut orders);
        orders
    }

    fn offer(&mut self, ms: i64, destination: u64) -> EngineEvent {
        self.next += 1;
        let message = Message {
            origin: Origin::CloudEvents,
            identity: self.next.to_string().into_bytes(),
            idempotency_key: None,
            class: ClassId(0),
            destination: DestinationId(destination),
            expires_ms: START_MS + ms + 20_000,
            attributes: Vec::new(),
            body: Vec::new(),
        };
        EngineEvent::Submitted(RequestId(self.next), message)
    }

    /// Lets seconds pass without news, so that what is idle is found out.
    fn rest(&mut self, from_ms: i64, to_ms: i64) -> Vec<EngineCommand> {
        (from_ms / 1000..=to_ms / 1000)
            .flat_map(|second| self.step(second * 1000, Vec::new()))
            .collect()
    }
}

fn legs(orders: &[EngineCommand]) -> Vec<(MessageId, u32)> {
    let leg = |order: &EngineCommand| match order {
        EngineCommand::StartAttempt(request) => Some((request.message_id, request.attempt)),
        _ => None,
    };
    orders.iter().filter_map(leg).collect()
}

/// Hosts that were made known, and that were let go.
fn hosts(orders: &[EngineCommand]) -> (Vec<&str>, usize) {
    let known = orders.iter().filter_map(|order| match order {
        EngineCommand::EndpointListed(_, host) => Some(host.name.as_str()),
        _ => None,
    });
    (
        known.collect(),
        orders
            .iter()
            .filter(|order| matches!(order, EngineCommand::EndpointRemoved(_)))
            .count(),
    )
}

fn ended((seq, copy): (MessageId, u32), outcome: Outcome) -> EngineEvent {
    let (took, disposition, report) = (
        Span::from_ms(10.0),
        Disposition::Undecided,
        RateLimitReport::default(),
    );
    EngineEvent::AttemptFinished(AttemptResult {
        message_id: seq,
        attempt: copy,
        outcome,
        duration: took,
        disposition,
        rate_limit: report,
    })
}

#[test]
fn a_destination_is_known_while_it_is_in_use_only() {
    let mut bed = Bed::new("use", 1000);
    let offer = bed.offer(100, 5);
    let orders = bed.step(100, vec![offer]);
    assert_eq!(hosts(&orders), (vec!["clinic-5-1"], 0));
    let leg = legs(&orders)[0];
    bed.step(110, vec![ended(leg, Outcome::Delivered)]);
    // Used again in time, it stays; then it goes, and comes with the next message.
    let offer = bed.offer(20_000, 5);
    let orders = bed.step(20_000, vec![offer]);
    assert_eq!(hosts(&orders), (vec![], 0));
    let leg = legs(&orders)[0];
    bed.step(20_010, vec![ended(leg, Outcome::Delivered)]);
    assert_eq!(hosts(&bed.rest(20_000, 49_000)), (vec![], 0));
    assert_eq!(hosts(&bed.rest(50_000, 52_000)), (vec![], 1));
    assert_eq!(
        bed.engine.next_wake(),
        None,
        "nothing is left to be looked at"
    );
    let offer = bed.offer(90_000, 5);
    let orders = bed.step(90_000, vec![offer]);
    assert_eq!(
        (hosts(&orders).0, legs(&orders).len()),
        (vec!["clinic-5-1"], 1)
    );
    // One that waits for its leg is in use however long that takes.
    assert_eq!(hosts(&bed.rest(91_000, 135_000)), (vec![], 0));
    let unknown = bed.offer(136_000, 1000);
    let orders = bed.step(136_000, vec![unknown]);
    assert!(
        matches!(
            orders[0],
            EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
        ),
        "{orders:?}"
    );
}

#[test]
fn a_told_wait_binds_also_when_the_destination_was_idle_meanwhile() {
    let mut bed = Bed::new("wait", 10);
    let offer = bed.offer(0, 3);
    let leg = legs(&bed.step(0, vec![offer]))[0];
    bed.step(
        10,
        vec![ended(
            leg,
            Outcome::Rejected {
                retry_after: Some(Span::from_ms(60_000.0)),
            },
        )],
    );
    assert_eq!(hosts(&bed.rest(1000, 40_000)).1, 1, "it is folded");
    let offer = bed.offer(41_000, 3);
    assert!(legs(&bed.step(41_000, vec![offer])).is_empty());
    assert!(
        legs(&bed.rest(42_000, 60_000)).is_empty(),
        "not a millisecond early"
    );
    let offer = bed.offer(60_009, 3);
    assert!(legs(&bed.step(60_009, vec![offer])).is_empty());
    let orders = bed.rest(61_000, 66_000);
    assert_eq!(legs(&orders).len(), 1, "one trial once the wait is over");
}

#[test]
fn an_outage_is_remembered_while_its_destination_is_idle() {
    let mut bed = Bed::new("outage", 10);
    let mut now = 0;
    let mut out = Vec::new();
    let offer = bed.offer(0, 3);
    out.extend(legs(&bed.step(0, vec![offer])));
    // Nobody answers there: every leg fails until its message is given up.
    while now < 30_000 {
        now += 10;
        let failed = out
            .drain(..)
            .map(|leg| ended(leg, Outcome::ConnectFailed))
            .collect();
        let orders = bed.step(now, failed);
        out.extend(legs(&orders));
    }
    assert!(out.is_empty());
    assert_eq!(hosts(&bed.rest(31_000, 62_000)).1, 1, "it is folded");
    let burst: Vec<EngineEvent> = (0..10).map(|_| bed.offer(70_000, 3)).collect();
    let orders = bed.step(70_000, burst);
    assert_eq!(
        legs(&orders).len(),
        1,
        "a trial, where one that is not known to be out gets two"
    );
    let offer: Vec<EngineEvent> = (0..10).map(|_| bed.offer(70_001, 4)).collect();
    assert_eq!(legs(&bed.step(70_001, offer)).len(), 2);
}

#[test]
fn a_message_for_each_of_10_000_destinations_in_one_second() {
    const ALL: u64 = 10_000;
    let mut bed = Bed::new("each", ALL);
    let (mut out, mut delivered, mut known, mut now) = (Vec::new(), 0, 0, 0);
    while delivered < ALL {
        now += 1;
        assert!(now < 20_000, "{delivered} delivered");
        let mut inputs: Vec<EngineEvent> = std::mem::take(&mut out)
            .into_iter()
            .map(|leg| ended(leg, Outcome::Delivered))
            .collect();
        delivered += inputs.len() as u64;
        let first = (now as u64 - 1) * ALL / 1000;
        let last = (now as u64 * ALL / 1000).min(ALL);
        inputs.extend((first..last).map(|to| bed.offer(now, to)));
        let orders = bed.step(now, inputs);
        known += hosts(&orders).0.len() as u64;
        out = legs(&orders);
    }
    assert_eq!(known, ALL);
    // They are let go a few at a time.
    let (mut gone, mut at) = (0, now);
    while gone < ALL as usize {
        at += 20;
        assert!(at < now + 60_000, "{gone} let go");
        let some = hosts(&bed.step(at, Vec::new())).1;
        assert!(some <= 16, "{some} at once");
        gone += some;
    }
}

#[test]
fn another_directory_is_news_of_what_is_in_use_and_of_nothing_else() {
    let mut bed = Bed::new("news", 100);
    let offers = vec![bed.offer(0, 1), bed.offer(0, 99)];
    let out = legs(&bed.step(0, offers));
    let orders = bed.step(
        5,
        vec![EngineEvent::DestinationTableReplaced(destination_table(
            99, 2,
        ))],
    );
    let (known, gone) = hosts(&orders);
    assert_eq!((known.len(), gone), (2, 1), "{orders:?}");
    let moved = orders.iter().any(
        |order| matches!(order, EngineCommand::EndpointListed(_, host) if host.address == "127.0.0.1:2"),
    );
    assert!(moved, "{orders:?}");
    // What is out to one that is gone may still end well; nothing new goes there.
    let orders = bed.step(
        10,
        out.into_iter()
            .map(|leg| ended(leg, Outcome::Reset))
            .collect(),
    );
    assert_eq!(
        legs(&orders).len(),
        1,
        "the one that is still listed is tried again"
    );
    let offer = bed.offer(20, 99);
    assert!(matches!(
        bed.step(20, vec![offer])[0],
        EngineCommand::Respond(_, SubmitResponse::Rejected { .. })
    ));
}

#[test]
fn an_outage_outlasts_the_process_and_a_told_wait_does_not() {
    let mut bed = Bed::new("records", 10);
    let offers = vec![bed.offer(0, 3), bed.offer(0, 4), bed.offer(0, 5)];
    let out = legs(&bed.step(0, offers));
    let ends = [
        Outcome::Delivered,
        Outcome::Rejected {
            retry_after: Some(Span::from_ms(60_000.0)),
        },
        Outcome::Delivered,
    ];
    bed.step(
        10,
        out.iter()
            .zip(ends)
            .map(|(leg, outcome)| ended(*leg, outcome))
            .collect(),
    );
    let stamp = |ms: i64| Timestamp {
        monotonic: Time(ms * 1000),
        unix_ms: START_MS + ms,
    };
    let records = bed.engine.destination_records(stamp(20));
    assert_eq!(
        records
            .iter()
            .map(|record| record.destination)
            .collect::<Vec<_>>(),
        [3, 4, 5]
    );
    assert_eq!(records[1].backoff_until_ms, Some(START_MS + 60_010));
    assert_eq!(
        (records[1].ejected_since_ms, records[0].ejected_since_ms),
        (Some(START_MS + 10), None)
    );
    // The next life's clock was set back an hour.
    for (name, shift) in [("later", 0), ("set-back", -3_600_000)] {
        let mut next = Bed::new(name, 10);
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + shift,
        };
        next.engine.restore_destinations(now, &records);
        let offers: Vec<EngineEvent> = (0..6).map(|_| next.offer(100, 4)).collect();
        assert_eq!(
            legs(&next.step(100, offers)).len(),
            1,
            "{name}: the wait is over, the outage is not"
        );
        let offers: Vec<EngineEvent> = (0..6).map(|_| next.offer(101, 3)).collect();
        assert_eq!(
            legs(&next.step(101, offers)).len(),
            6,
            "{name}: one that was well is met already"
        );
    }
}
