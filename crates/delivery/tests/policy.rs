//! The core under a policy that others decide on as well: held still, shut, and changed as it runs. Without any wire, with a
//! clock fed by hand.

mod common;

use common::{answers, caps, ended, folder, host, legs, setup, KEYED, START_MS};
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

fn message(name: &str, class: usize, give_up_ms: i64) -> Message {
    Message {
        origin: Origin::CloudEvents,
        identity: name.into(),
        idempotency_key: (class == 0).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + give_up_ms,
        attributes: Vec::new(),
        body: b"body".to_vec(),
    }
}

fn names(classes: &[&str]) -> Vec<String> {
    classes.iter().map(|class| (*class).to_owned()).collect()
}

fn engine_setup(slots: usize, effects: &[Idempotency]) -> EngineSettings {
    let caps = Limits {
        max_in_flight: slots,
        cancellation_allowed: true,
        ..caps(8)
    };
    EngineSettings {
        remember_ms: vec![60_000; effects.len()],
        max_remembered: 100,
        ..setup(effects, caps)
    }
}

struct Bed {
    engine: Engine,
    ms: i64,
}

impl Bed {
    fn new(name: &str) -> Bed {
        let store =
            MessageStore::open(&folder(name), 3_000_000, names(&["keyed", "free"])).unwrap();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS,
        };
        let engine = Engine::new(
            engine_setup(1, &[KEYED, Idempotency::Idempotent]),
            store,
            now,
            &mut Vec::new(),
        );
        let mut bed = Bed { engine, ms: 0 };
        bed.step(0, vec![EngineEvent::EndpointsReplaced(vec![host("h")])]);
        bed
    }

    fn step(&mut self, ms: i64, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        assert!(ms >= self.ms, "time goes on");
        self.ms = ms;
        let (now, mut orders) = (
            Timestamp {
                monotonic: Time(ms * 1000),
                unix_ms: START_MS + ms,
            },
            Vec::new(),
        );
        self.engine.step(now, inputs, &mut orders);
        // What became clear only while the batch was carried out.
        while self.engine.has_backlog() {
            let now = Timestamp {
                monotonic: Time(self.ms * 1000 + 1),
                ..now
            };
            self.engine.step(now, Vec::new(), &mut orders);
        }
        orders
    }

    fn offer(&mut self, ms: i64, ticket: u64, message: Message) -> Vec<EngineCommand> {
        self.step(ms, vec![EngineEvent::Submitted(RequestId(ticket), message)])
    }

    fn change(
        &mut self,
        ms: i64,
        revision: u64,
        classes: &[&str],
        setup: EngineSettings,
    ) -> Vec<EngineCommand> {
        let change = PolicyChange {
            revision,
            settings: setup,
            classes: names(classes),
            destination_table: None,
        };
        self.step(ms, vec![EngineEvent::PolicyChanged(Box::new(change))])
    }
}

#[test]
fn while_it_is_still_nothing_is_taken_on_or_sent_and_what_waited_goes_on_after() {
    let mut bed = Bed::new("still");
    let first = legs(&bed.offer(10, 1, message("first", 0, 20_000)))[0];
    // One slot: the second is held.
    assert_eq!(
        answers(&bed.offer(20, 2, message("second", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    bed.engine.set_lease(LeaseState::Suspended);
    let orders = bed.offer(30, 3, message("third", 0, 20_000));
    assert_eq!((answers(&orders), legs(&orders)), (vec![], vec![]));
    // A leg that was out ends by the rules that it left under; the slot that it frees is not used.
    let orders = bed.step(100, vec![ended(first.0, first.1, Outcome::Delivered)]);
    assert_eq!(
        answers(&orders),
        [(1, SubmitResponse::Finished(FinalOutcome::Delivered))]
    );
    assert_eq!(legs(&orders), []);
    // Whoever goes away meanwhile is not taken on later.
    bed.offer(110, 4, message("fourth", 0, 20_000));
    bed.step(120, vec![EngineEvent::ClientGone(RequestId(4))]);
    bed.engine.set_lease(LeaseState::Held);
    let orders = bed.step(200, vec![]);
    assert_eq!(answers(&orders), [(3, SubmitResponse::Accepted)]);
    assert_eq!(legs(&orders).len(), 1, "the one that was held");
    assert_eq!(bed.engine.load().0, 2);
}

#[test]
fn hand_ins_that_wait_too_long_or_are_too_many_are_told_to_come_again() {
    let mut bed = Bed::new("too-long");
    bed.engine.set_lease(LeaseState::Suspended);
    // Eight may be held.
    let offers = (0..10)
        .map(|n| EngineEvent::Submitted(RequestId(n), message(&format!("m{n}"), 0, 20_000)))
        .collect();
    let orders = bed.step(10, offers);
    assert_eq!(
        answers(&orders),
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
    // They are wanted within 2 s.
    assert_eq!(answers(&bed.step(1900, vec![])), []);
    assert_eq!(answers(&bed.step(2020, vec![])).len(), 8);
    // Where nobody knows what holds, at once.
    bed.engine.set_lease(LeaseState::Lost);
    assert_eq!(
        answers(&bed.offer(2030, 11, message("late", 0, 20_000))),
        [(
            11,
            SubmitResponse::Rejected {
                retry_after_ms: 1000
            }
        )]
    );
}

#[test]
fn what_is_owed_keeps_its_deadline_while_nothing_may_be_done() {
    let mut bed = Bed::new("deadline");
    bed.offer(10, 1, message("out", 1, 20_000));
    bed.offer(20, 2, message("held", 1, 5000));
    bed.engine.set_lease(LeaseState::Lost);
    bed.step(30, vec![]);
    let now = Timestamp {
        monotonic: Time(30_000),
        unix_ms: START_MS + 30,
    };
    let wakes = bed.engine.next_wake_without_lease(now).unwrap();
    assert!(
        wakes <= Time(5_001_000) && wakes > Time(4_900_000),
        "{wakes:?}"
    );
    assert_eq!(answers(&bed.step(4990, vec![])), []);
    assert_eq!(
        answers(&bed.step(5002, vec![])),
        [(2, SubmitResponse::Finished(FinalOutcome::Expired))]
    );
}

#[test]
fn another_policy_is_taken_up_with_what_is_held_and_the_legs_that_are_out() {
    let mut bed = Bed::new("change");
    // What was learned of a route goes on as well: of one never met only two calls would be out.
    let met = legs(&bed.offer(1, 9, message("met", 1, 20_000)))[0];
    bed.step(5, vec![ended(met.0, met.1, Outcome::Delivered)]);
    let out = legs(&bed.offer(10, 1, message("out", 0, 20_000)))[0];
    bed.offer(20, 2, message("held", 1, 20_000));
    bed.engine.set_lease(LeaseState::Suspended);
    bed.offer(30, 3, message("waits", 1, 20_000));
    // Six slots, and a third class after the two that were there.
    let orders = bed.change(
        40,
        2,
        &["keyed", "free", "never"],
        engine_setup(
            6,
            &[KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent],
        ),
    );
    assert!(orders
        .iter()
        .any(|order| matches!(order, EngineCommand::PolicyInForce(2))));
    assert_eq!(legs(&orders), [], "it is still");
    assert_eq!(bed.engine.load(), (2, 1));
    bed.engine.set_lease(LeaseState::Held);
    let orders = bed.step(50, vec![]);
    // The leg that is out is not begun again; the others use the slots that the new policy gives.
    let begun = legs(&orders);
    assert_eq!(begun.len(), 2, "{begun:?}");
    assert!(begun.iter().all(|leg| leg.0 != out.0));
    assert_eq!(answers(&orders), [(3, SubmitResponse::Accepted)]);
    // It ends as it would have, and a failed one is tried again under its next number.
    let others = begun
        .into_iter()
        .map(|(seq, copy)| ended(seq, copy, Outcome::Delivered))
        .collect();
    bed.step(90, others);
    let orders = bed.step(100, vec![ended(out.0, out.1, Outcome::ConnectFailed)]);
    let mut again = legs(&orders);
    (110..3000)
        .step_by(10)
        .for_each(|ms| again.extend(legs(&bed.step(ms, vec![]))));
    assert_eq!(again.first(), Some(&(out.0, out.1 + 1)));
    // A class that the first policy did not know.
    let orders = bed.offer(3010, 4, message("new class", 2, 20_000));
    assert_eq!(answers(&orders), [(4, SubmitResponse::Accepted)]);
}

#[test]
fn a_told_wait_and_the_window_of_a_key_hold_across_a_change() {
    let mut bed = Bed::new("waits");
    let first = legs(&bed.offer(10, 1, message("first", 0, 20_000)))[0];
    bed.step(
        100,
        vec![ended(
            first.0,
            first.1,
            Outcome::Rejected {
                retry_after: Some(Span::from_ms(2500.0)),
            },
        )],
    );
    bed.change(
        200,
        2,
        &["keyed", "free"],
        engine_setup(4, &[KEYED, Idempotency::Idempotent]),
    );
    let mut begun = Vec::new();
    for ms in (300..4000).step_by(50) {
        begun.extend(legs(&bed.step(ms, vec![])).into_iter().map(|leg| (ms, leg)));
    }
    let (at, second) = *begun.first().expect("it goes on");
    assert!(
        (2600..3600).contains(&at),
        "begun {at} ms after the start, told to wait until 2,600"
    );
    assert_eq!(second, (first.0, 1));
    // The second may have run; a repeat must be within its window, also after another change.
    bed.step(4100, vec![ended(second.0, second.1, Outcome::Reset)]);
    bed.change(
        4200,
        3,
        &["keyed", "free"],
        engine_setup(4, &[KEYED, Idempotency::Idempotent]),
    );
    let (mut repeats, window) = (Vec::new(), at + 6000);
    for ms in (4300..19_000).step_by(50) {
        let orders = bed.step(ms, vec![]);
        for leg in legs(&orders) {
            repeats.push(ms);
            bed.step(ms + 10, vec![ended(leg.0, leg.1, Outcome::Reset)]);
        }
    }
    assert!(
        repeats.iter().all(|ms| *ms < window),
        "{repeats:?} with a window until {window}"
    );
}

#[test]
fn a_proposed_policy_must_have_room_for_what_is_held() {
    let mut bed = Bed::new("fits");
    bed.offer(10, 1, message("one", 0, 20_000));
    bed.offer(20, 2, message("two", 1, 20_000));
    let whole = ProposedPolicy {
        classes: names(&["keyed", "free"]).into_iter().collect(),
        destinations: BTreeSet::from([DestinationId(7)]),
        max_open: 2,
    };
    let mut asks = |proposed: ProposedPolicy| {
        let (answer, said) = async_channel::bounded(1);
        bed.step(30, vec![EngineEvent::CheckPolicy(proposed, answer)]);
        said.try_recv().expect("a word at once")
    };
    assert_eq!(asks(whole.clone()), Ok(()));
    let without = ProposedPolicy {
        classes: names(&["free"]).into_iter().collect(),
        ..whole.clone()
    };
    assert!(asks(without)
        .unwrap_err()
        .to_string()
        .contains("class keyed"));
    let elsewhere = ProposedPolicy {
        destinations: BTreeSet::from([DestinationId(8)]),
        ..whole.clone()
    };
    assert!(asks(elsewhere)
        .unwrap_err()
        .to_string()
        .contains("destination"));
    let small = ProposedPolicy {
        max_open: 1,
        ..whole
    };
    assert!(asks(small)
        .unwrap_err()
        .to_string()
        .contains("2 messages are held"));
}

#[test]
fn what_is_held_is_joined_also_where_nobody_knows_what_holds() {
    let mut bed = Bed::new("joins");
    bed.offer(10, 1, message("held", 0, 20_000));
    bed.engine.set_lease(LeaseState::Lost);
    // Told to come again it would go elsewhere, and two couriers would have it.
    assert_eq!(
        answers(&bed.offer(20, 2, message("held", 0, 20_000))),
        [(2, SubmitResponse::Accepted)]
    );
    assert_eq!(
        answers(&bed.offer(30, 3, message("new", 0, 20_000))),
        [(
            3,
            SubmitResponse::Rejected {
                retry_after_ms: 1000
            }
        )]
    );
}

/// Destination 7 with these hosts; each says whether it serves.
fn destination_table(hosts: &[(&str, bool)]) -> Arc<DestinationTable> {
    let mut destination_table = DestinationTable::with_large_capacity();
    let entry = DestinationEntry {
        name: "seven",
        id: DestinationId(7),
        encoding: 0,
        rate: 50.0,
        from_list: false,
    };
    let place = |(name, serves): &(&'static str, bool)| {
        let address = "127.0.0.1:1".parse().unwrap();
        EndpointEntry {
            name,
            address,
            weight: None,
            active: *serves,
        }
    };
    let hosts: Vec<(&'static str, bool)> = hosts
        .iter()
        .map(|(name, serves)| (if *name == "a" { "a" } else { "b" }, *serves))
        .collect();
    destination_table
        .add(entry, hosts.iter().map(place))
        .unwrap();
    Arc::new(destination_table.build())
}

/// The hosts to which legs are begun, by the numbers that the orders gave them.
fn to(
    orders: &[EngineCommand],
    hosts: &mut std::collections::BTreeMap<EndpointId, String>,
) -> Vec<String> {
    let mut begun = Vec::new();
    for order in orders {
        match order {
            EngineCommand::EndpointListed(id, ListedEndpoint { name, .. }) => {
                drop(hosts.insert(*id, name.clone()))
            }
            EngineCommand::StartAttempt(AttemptRequest { endpoint: host, .. }) => {
                begun.push(hosts[host].clone())
            }
            _ => {}
        }
    }
    begun
}

#[test]
fn the_list_that_comes_with_a_policy_goes_before_an_earlier_and_after_it_goes_a_later_one() {
    let both = [("a", true), ("b", true)];
    for (name, before, with, later, serves) in [
        // An instance that starts is given its first list, and another policy with the next one, in one step.
        (
            "first",
            Some(&both[..]),
            [("a", false), ("b", true)],
            None,
            "b",
        ),
        // A roster drains a host while the policy that still lists it is taken up.
        ("roster", None, both, Some([("a", false), ("b", true)]), "b"),
    ] {
        let mut bed = Bed::new(&format!("lists-{name}"));
        let mut hosts = Default::default();
        to(
            &bed.step(
                5,
                vec![EngineEvent::DestinationTableReplaced(destination_table(
                    &both,
                ))],
            ),
            &mut hosts,
        );
        // In use, so that the module knows its hosts.
        let used = bed.offer(10, 1, message("used", 1, 20_000));
        let leg = legs(&used)[0];
        to(&used, &mut hosts);
        to(
            &bed.step(20, vec![ended(leg.0, leg.1, Outcome::Delivered)]),
            &mut hosts,
        );
        bed.engine.set_lease(LeaseState::Suspended);
        let classes = names(&["keyed", "free"]);
        let setup = engine_setup(4, &[KEYED, Idempotency::Idempotent]);
        let change = PolicyChange {
            revision: 2,
            settings: setup,
            classes,
            destination_table: Some(destination_table(&with)),
        };
        let first =
            before.map(|hosts| EngineEvent::DestinationTableReplaced(destination_table(hosts)));
        let inputs = first
            .into_iter()
            .chain([EngineEvent::PolicyChanged(Box::new(change))])
            .collect();
        to(&bed.step(30, inputs), &mut hosts);
        let later =
            later.map(|hosts| EngineEvent::DestinationTableReplaced(destination_table(&hosts)));
        to(&bed.step(40, later.into_iter().collect()), &mut hosts);
        bed.engine.set_lease(LeaseState::Held);
        let mut begun = to(&bed.step(50, vec![]), &mut hosts);
        for n in 0..8 {
            let orders = bed.offer(60 + n, 10 + n as u64, message(&format!("m{n}"), 1, 20_000));
            begun.extend(to(&orders, &mut hosts));
            for (seq, copy) in legs(&orders) {
                bed.step(60 + n, vec![ended(seq, copy, Outcome::Delivered)]);
            }
        }
        assert!(
            begun.len() > 4 && begun.iter().all(|host| host == serves),
            "{name}: {begun:?}"
        );
    }
}
