//! The core without any wire, with a clock fed by hand.

mod common;

use common::{answers, caps, folder, host, legs, setup, KEYED, START_MS};
use marblefall_delivery::core::engine::{Engine, Host, Input, Order, Setup};
use marblefall_delivery::core::journal::{segments, Journal};
use marblefall_delivery::core::ledger::{Ledger, Leg};
use marblefall_delivery::core::{Answer, Authorisation, End, Origin, Stamp, Ticket};
use marblefall_scheduler::*;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;

fn classes() -> Vec<String> {
    vec!["keyed".to_owned(), "free".to_owned()]
}

fn message(name: &str, origin: Origin, class: usize, body: usize) -> Authorisation {
    Authorisation {
        origin,
        identity: name.into(),
        repeat_key: (class == 0).then(|| format!("key of {name}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + 20_000,
        attributes: b"attributes".to_vec(),
        body: vec![b'x'; body],
    }
}

fn engine_setup() -> Setup {
    let caps = Caps { may_cancel: true, ..caps(50) };
    Setup { remember_ms: vec![60_000; 2], remember_most: 100, ..setup(&[KEYED, Effect::Pure], caps) }
}

fn list() -> Input {
    Input::Listed(vec![host("h")])
}

/// An engine over a folder, with a clock.
struct Bed {
    engine: Engine,
    dir: PathBuf,
    ms: i64,
}

impl Bed {
    fn life(dir: PathBuf, ms: i64) -> (Bed, Vec<Order>) {
        let ledger = Ledger::open(&dir, 3_000_000, classes()).unwrap();
        let mut orders = Vec::new();
        // Each life's monotonic clock begins anew.
        let now = Stamp { mono: Time(0), unix_ms: START_MS + ms };
        let mut bed = Bed { engine: Engine::new(engine_setup(), ledger, now, &mut orders), dir, ms };
        orders.extend(bed.step_at(now, vec![list()]));
        (bed, orders)
    }

    fn step_at(&mut self, now: Stamp, inputs: Vec<Input>) -> Vec<Order> {
        let mut orders = Vec::new();
        self.engine.step(now, inputs, &mut orders);
        orders
    }

    /// Steps so many milliseconds after this life's start.
    fn step(&mut self, after: i64, inputs: Vec<Input>) -> Vec<Order> {
        let now = Stamp { mono: Time(after * 1000), unix_ms: START_MS + self.ms + after };
        self.step_at(now, inputs)
    }
}

fn notices(orders: &[Order]) -> Vec<End> {
    let notice = |order: &Order| match order {
        Order::Notice(_, _, end) => Some(*end),
        _ => None,
    };
    orders.iter().filter_map(notice).collect()
}

fn ended((seq, copy): (u64, u32), outcome: Outcome) -> Input {
    common::ended(seq, copy, outcome)
}

#[test]
fn a_message_is_journalled_before_it_is_taken_on_and_ends_once() {
    let (mut bed, _) = Bed::life(folder("once"), 0);
    let orders = bed.step(10, vec![Input::Offered(Ticket(1), message("m", Origin::Events, 0, 9))]);
    assert_eq!(answers(&orders), [(1, Answer::TakenOn)]);
    let leg = legs(&orders)[0];
    // Seen by another reader of the folder at this moment: the message and its leg.
    let other = Ledger::open(&bed.dir, 3_000_000, classes()).unwrap();
    let entry = other.get(leg.0).unwrap();
    assert_eq!((entry.attempts, entry.ran.is_some(), entry.authorisation.body.len()), (1, true, 9));
    let orders = bed.step(200, vec![ended(leg, Outcome::Delivered), ended(leg, Outcome::Delivered)]);
    assert_eq!(answers(&orders), [(1, Answer::Ended(End::Delivered))]);
}

#[test]
fn the_window_and_the_count_of_attempts_hold_across_lives() {
    for (gap, repeats) in [(3000, true), (5900, false)] {
        let (mut bed, _) = Bed::life(folder(&format!("window-{gap}")), 0);
        let orders = bed.step(0, vec![Input::Offered(Ticket(1), message("m", Origin::Relay, 0, 9))]);
        assert_eq!(legs(&orders)[0].1, 0);
        let (_, orders) = Bed::life(bed.dir.clone(), gap);
        let second = legs(&orders);
        assert_eq!(second.len(), usize::from(repeats), "{gap} ms after the first leg");
        assert_eq!(notices(&orders).len(), usize::from(!repeats));
        assert!(second.iter().all(|leg| leg.1 == 1), "attempts go on counting");
    }
}

#[test]
fn the_first_leg_counts_also_after_several_lives_that_each_died_with_one_out() {
    let (mut bed, _) = Bed::life(folder("lives"), 0);
    bed.step(0, vec![Input::Offered(Ticket(1), message("m", Origin::Relay, 0, 9))]);
    assert_eq!(legs(&Bed::life(bed.dir.clone(), 2000).1).len(), 1, "within the window of the first leg");
    // The second leg is within its own window still, but the first one's has closed.
    let (_, orders) = Bed::life(bed.dir.clone(), 6500);
    assert_eq!((legs(&orders).len(), notices(&orders).len()), (0, 1));
}

#[test]
fn a_notice_is_owed_until_it_is_taken_also_in_the_next_life() {
    let (mut bed, _) = Bed::life(folder("owed"), 0);
    bed.step(0, vec![Input::Offered(Ticket(1), message("m", Origin::Relay, 0, 9))]);
    let (mut bed, orders) = Bed::life(bed.dir.clone(), 7000);
    assert_eq!(notices(&orders).len(), 1);
    let Some(Order::Notice(seq, ..)) = orders.iter().find(|order| matches!(order, Order::Notice(..))) else {
        unreachable!()
    };
    bed.step(10, vec![]);
    let (_, again) = Bed::life(bed.dir.clone(), 7100);
    assert_eq!(notices(&again).len(), 1, "not taken yet");
    bed.step(20, vec![Input::NoticeTaken(*seq)]);
    assert!(notices(&Bed::life(bed.dir.clone(), 7200).1).is_empty());
}

/// Whoever brings another client's id must neither withdraw that message by going away nor have it sent again.
#[test]
fn an_id_of_the_platform_that_is_known_belongs_to_the_first_who_brought_it() {
    let (mut bed, _) = Bed::life(folder("stranger"), 0);
    let offer = |ticket| Input::Offered(Ticket(ticket), message("m", Origin::Relay, 1, 9));
    let orders = bed.step(0, vec![offer(1), offer(2)]);
    assert_eq!(answers(&orders), [(2, Answer::Conflict), (1, Answer::TakenOn)]);
    let (mut bed, orders) = Bed::life(bed.dir.clone(), 100);
    let leg = legs(&orders)[0];
    assert_eq!(answers(&bed.step(10, vec![offer(3)])), [(3, Answer::TakenOn)]);
    bed.step(20, vec![Input::Withdrawn(Ticket(3))]);
    assert_eq!(bed.engine.load().0, 1, "still owed to the first");
    bed.step(30, vec![ended(leg, Outcome::Delivered)]);
    let orders = bed.step(40, vec![offer(4)]);
    assert_eq!((answers(&orders), legs(&orders).len()), (vec![(4, Answer::Conflict)], 0));
    let orders = bed.step(30_000, vec![offer(5)]);
    assert_eq!(answers(&orders), [(5, Answer::Ended(End::Expired))], "no longer known, and past its time");
}

/// A client that left while its request waited for the engine had its message taken on and delivered all the same, under an
/// id that no longer counted, while it handed it in again under another.
#[test]
fn a_client_that_is_gone_before_its_message_is_journalled_has_handed_nothing_in() {
    let (mut bed, _) = Bed::life(folder("gone"), 0);
    let offer = |ticket, name| Input::Offered(Ticket(ticket), message(name, Origin::Relay, 1, 9));
    let orders = bed.step(
        10,
        vec![
            offer(1, "left"),
            offer(2, "stays"),
            Input::Withdrawn(Ticket(1)),
            offer(3, "again"),
            offer(4, "again"),
        ],
    );
    assert_eq!(legs(&orders).len(), 2);
    assert_eq!(bed.engine.load(), (2, 2));
    assert_eq!(answers(&orders), [(4, Answer::Conflict), (2, Answer::TakenOn), (3, Answer::TakenOn)]);
    assert!(Ledger::open(&bed.dir, 3_000_000, classes()).unwrap().by_identity(b"left").is_none());
    // Once it is journalled, its leaving ends it: nothing more is begun for it, and nothing is owed.
    let orders = bed.step(20, vec![offer(5, "late")]);
    assert_eq!(answers(&orders), [(5, Answer::TakenOn)]);
    let orders = bed.step(30, vec![Input::Withdrawn(Ticket(5))]);
    assert_eq!((notices(&orders), bed.engine.load().0), (Vec::new(), 2));
}

#[test]
fn a_destination_that_no_list_has_named_is_declined() {
    let (mut bed, _) = Bed::life(folder("nowhere"), 0);
    let mut nowhere = message("m", Origin::Relay, 1, 9);
    nowhere.destination = DestinationId(8);
    let orders = bed.step(0, vec![Input::Offered(Ticket(1), nowhere)]);
    assert!(matches!(answers(&orders)[..], [(1, Answer::Declined(_))]));
    assert_eq!(bed.engine.load().0, 0);
}

#[test]
fn hosts_that_are_gone_leave_nothing_behind() {
    let (mut bed, _) = Bed::life(folder("gone"), 0);
    let host = |n: u32, listing| {
        let Input::Listed(mut hosts) = list() else { unreachable!() };
        Host { name: format!("h-{n}"), listing, ..hosts.remove(0) }
    };
    let gone = |orders: &[Order]| orders.iter().filter(|order| matches!(order, Order::HostGone(_))).count();
    for n in 1..100 {
        let changed = vec![host(n, Listing::On), host(n - 1, Listing::Gone)];
        assert_eq!(gone(&bed.step(n.into(), vec![Input::Changed(changed)])), 1);
    }
    // A whole list ends what is still known and not in it: the first list's host.
    assert_eq!(gone(&bed.step(200, vec![Input::Listed(vec![host(99, Listing::On)])])), 1);
}

#[test]
fn a_repeat_of_an_event_never_makes_a_second_message() {
    let (mut bed, _) = Bed::life(folder("repeat"), 0);
    let offer = |ticket, name| Input::Offered(Ticket(ticket), message(name, Origin::Events, 0, 9));
    let mut other_key = message("m", Origin::Events, 0, 9);
    other_key.repeat_key = Some(b"other".to_vec());
    let mut same_key = message("n", Origin::Events, 0, 9);
    same_key.repeat_key = Some(b"key of m".to_vec());
    let batch = vec![offer(1, "m"), offer(2, "m"), Input::Offered(Ticket(3), other_key)];
    let orders = bed.step(0, batch);
    assert_eq!(legs(&orders).len(), 1);
    let mut told = answers(&orders);
    told.sort_by_key(|(ticket, _)| *ticket);
    assert_eq!(told, [(1, Answer::TakenOn), (2, Answer::TakenOn), (3, Answer::Conflict)]);
    let orders_too = bed.step(10, vec![Input::Offered(Ticket(4), same_key.clone())]);
    assert_eq!((legs(&orders_too).len(), answers(&orders_too)), (0, vec![(4, Answer::TakenOn)]));
    let orders = bed.step(90, vec![ended(legs(&orders)[0], Outcome::Delivered)]);
    let end = Answer::Ended(End::Delivered);
    assert_eq!(answers(&orders), [(1, end), (2, end), (4, end)]);
    let (mut bed, _) = Bed::life(bed.dir.clone(), 1000);
    let orders = bed.step(1, vec![offer(5, "m"), Input::Offered(Ticket(6), same_key)]);
    assert_eq!((legs(&orders).len(), answers(&orders)), (0, vec![(5, end), (6, end)]));
    // Forgotten once no repeat can come any more: then it is a new message.
    let (mut bed, _) = Bed::life(bed.dir.clone(), 120_000);
    let mut late = message("m", Origin::Events, 0, 9);
    late.expires_ms += 200_000;
    assert_eq!(legs(&bed.step(1, vec![Input::Offered(Ticket(7), late)])).len(), 1);
}

#[test]
fn an_event_told_to_come_again_is_bound_by_what_its_first_try_may_have_done() {
    let (mut bed, _) = Bed::life(folder("again"), 0);
    let offer = |ticket| vec![Input::Offered(Ticket(ticket), message("m", Origin::Events, 0, 9))];
    let leg = legs(&bed.step(0, offer(1)))[0];
    let orders = bed.step(500, vec![ended(leg, Outcome::Error)]);
    // Within the window it goes out again; once that has closed, to come again would be of no use.
    let leg = legs(&orders)[0];
    let orders = bed.step(5900, vec![ended(leg, Outcome::Error)]);
    assert_eq!((legs(&orders).len(), answers(&orders)), (0, vec![(1, Answer::Ended(End::Failed))]));
    let orders = bed.step(6000, offer(2));
    assert_eq!((legs(&orders).len(), answers(&orders)), (0, vec![(2, Answer::Ended(End::Failed))]));
}

#[test]
fn a_new_try_after_the_window_of_the_first_is_told_that_it_failed() {
    // The first try was given up within its window, after a leg that may have run.
    let dir = folder("window-over");
    let mut ledger = Ledger::open(&dir, 3_000_000, classes()).unwrap();
    let seq = ledger.number();
    ledger.take_on(seq, Rc::new(message("m", Origin::Events, 0, 9)), None).unwrap();
    ledger.leg_begins(seq, Leg { at_ms: START_MS, host: "h".to_owned() }).unwrap();
    ledger.leg_ended(seq, true).unwrap();
    assert!(ledger.end(seq, End::Returned(1000), false, START_MS + 60_000).unwrap());
    drop(ledger);
    for (after, answer, legs_out) in [(3000, Answer::TakenOn, 1), (7000, Answer::Ended(End::Failed), 0)] {
        let copy = folder(&format!("window-over-{after}"));
        fs::create_dir_all(&copy).unwrap();
        for file in fs::read_dir(&dir).unwrap().flatten() {
            fs::copy(file.path(), copy.join(file.file_name())).unwrap();
        }
        let (mut bed, _) = Bed::life(copy, after);
        let orders = bed.step(1, vec![Input::Offered(Ticket(1), message("m", Origin::Events, 0, 9))]);
        assert_eq!((answers(&orders), legs(&orders).len()), (vec![(1, answer)], legs_out));
    }
}

#[test]
fn what_is_remembered_does_not_keep_new_messages_out() {
    let dir = folder("remembered");
    let mut ledger = Ledger::open(&dir, 1_000_000, classes()).unwrap();
    for n in 0..5000 {
        let message = message(&format!("event {n}"), Origin::Events, 1, 100);
        assert!(ledger.has_room(&message), "after {n} that ended");
        let seq = ledger.number();
        ledger.take_on(seq, Rc::new(message), None).unwrap();
        assert!(ledger.end(seq, End::Delivered, false, START_MS + 60_000).unwrap());
        ledger.sweep(START_MS, 100_000).unwrap();
    }
    assert!(ledger.by_identity(b"event 4999").is_some() && ledger.by_identity(b"event 0").is_none());
}

#[test]
fn a_list_that_drains_a_host_goes_ahead_of_what_is_queued_before_it() {
    let (mut bed, _) = Bed::life(folder("drain"), 0);
    let Input::Listed(mut hosts) = list() else { unreachable!() };
    hosts[0].listing = Listing::Draining;
    let offer = Input::Offered(Ticket(1), message("m", Origin::Relay, 1, 9));
    let orders = bed.step(10, vec![offer, Input::Changed(hosts)]);
    assert!(legs(&orders).is_empty());
}

/// Operators hold a host out by hand: the list saying it serves changes nothing until they let it in again.
#[test]
fn a_host_held_out_gets_nothing_new_whatever_the_list_says_until_it_is_let_in() {
    let (mut bed, _) = Bed::life(folder("held-out"), 0);
    let held = Input::HeldOut(["h".to_owned()].into());
    let offer = |n| Input::Offered(Ticket(n), message(&format!("m{n}"), Origin::Relay, 1, 9));
    assert!(legs(&bed.step(10, vec![offer(1), held])).is_empty(), "held out ahead of what was queued");
    assert!(legs(&bed.step(20, vec![list(), offer(2)])).is_empty(), "the list does not let it in");
    let orders = bed.step(30, vec![Input::HeldOut(Default::default())]);
    assert_eq!(legs(&orders).len(), 2, "let in, it serves both that wait: {orders:?}");
}

#[test]
fn a_leaving_engine_begins_no_leg_and_keeps_what_it_holds() {
    let (mut bed, _) = Bed::life(folder("leaving"), 0);
    bed.step(10, vec![Input::Stop { by: Time(3_400_000), hand_over: false }]);
    let offer = |ticket, name| Input::Offered(Ticket(ticket), message(name, Origin::Relay, 1, 9));
    assert_eq!(legs(&bed.step(100, vec![offer(1, "a")])).len(), 1, "there is time yet");
    let orders = bed.step(2500, vec![offer(2, "b")]);
    assert!(legs(&orders).is_empty());
    assert!(matches!(answers(&orders)[0], (2, Answer::Declined(_))));
    assert_eq!(legs(&Bed::life(bed.dir.clone(), 4000).1).len(), 1, "the next life takes it up");
}

#[test]
fn the_journal_stays_within_its_disk_and_keeps_what_is_live() {
    let dir = folder("disk");
    let disk = 1_000_000;
    let mut ledger = Ledger::open(&dir, disk, classes()).unwrap();
    let used = || -> u64 {
        let files = fs::read_dir(&dir).unwrap();
        files.map(|file| file.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
    };
    let (mut live, mut declined) = (std::collections::VecDeque::new(), 0);
    for n in 0..400 {
        let message = message(&format!("m{n}"), Origin::Relay, 1, 60_000);
        if ledger.has_room(&message) {
            let seq = ledger.number();
            ledger.take_on(seq, Rc::new(message), None).unwrap();
            ledger.leg_begins(seq, Leg { at_ms: n, host: "h".to_owned() }).unwrap();
            live.push_back(seq);
        } else {
            declined += 1;
            // An end is always written, however full the folder is.
            let seq = live.pop_front().unwrap();
            assert!(ledger.end(seq, End::Failed, true, 0).unwrap());
            ledger.forget(seq).unwrap();
        }
        assert!(used() <= disk, "{} bytes after {n}", used());
    }
    assert!(declined > 100 && live.len() > 5);
    let again = Ledger::open(&dir, disk, classes()).unwrap();
    assert_eq!(again.entries().keys().copied().collect::<Vec<_>>(), Vec::from(live));
    assert!(again
        .entries()
        .values()
        .all(|entry| entry.attempts == 1 && entry.authorisation.body.len() == 60_000));
}

/// The segment so many after the first one of a folder's journal.
fn segment(dir: &Path, after: u64) -> PathBuf {
    dir.join(format!("journal-{:010}", segments(dir).unwrap()[0] + after))
}

#[test]
fn a_torn_tail_is_cut_off_and_what_stands_before_it_is_kept() {
    let dir = folder("torn");
    let mut journal = Journal::open(&dir, 1000, |_, _| {}).unwrap();
    journal.append(b"first").unwrap();
    journal.append(b"second").unwrap();
    drop(journal);
    let path = segment(&dir, 0);
    let whole = fs::metadata(&path).unwrap().len();
    for torn in [&b"\x06\0"[..], b"\x06\0\0\0\xff\xff\xff\xffsecond", b"\xff\xff\xff\xff"] {
        fs::OpenOptions::new().append(true).open(&path).unwrap().write_all(torn).unwrap();
        let mut found = Vec::new();
        Journal::open(&dir, 1000, |_, record| found.push(record.to_vec())).unwrap();
        assert_eq!(found, [b"first".to_vec(), b"second".to_vec()]);
        assert_eq!(fs::metadata(&path).unwrap().len(), whole);
    }
}

#[test]
fn a_journal_that_does_not_write_declines() {
    let (mut bed, _) = Bed::life(folder("unwritable"), 0);
    // A folder in the place of the next segment makes the next roll fail.
    for after in 1..200 {
        fs::create_dir(segment(&bed.dir, after)).unwrap();
    }
    let mut declined = false;
    for n in 0..10 {
        let offer = Input::Offered(Ticket(n), message(&format!("m{n}"), Origin::Relay, 1, 40_000));
        let orders = bed.step(10 + n as i64, vec![offer]);
        if let (_, Answer::Declined(_)) = answers(&orders)[0] {
            declined = true;
            assert!(legs(&orders).is_empty(), "what the journal does not know of does not go out");
        }
    }
    assert!(declined);
}

#[test]
fn a_leg_that_the_journal_did_not_take_does_not_count_as_sent() {
    let dir = folder("untaken-leg");
    let mut ledger = Ledger::open(&dir, 3_000_000, classes()).unwrap();
    let seq = ledger.number();
    ledger.take_on(seq, Rc::new(message("m", Origin::Relay, 0, 60_000)), None).unwrap();
    // A folder in the place of the next segment: the first note that does not fit into this one is not taken.
    fs::create_dir(segment(&dir, 1)).unwrap();
    let leg = |n| Leg { at_ms: START_MS + n, host: "h".repeat(1000) };
    let refused = (0..100).find(|n| {
        let refused = ledger.leg_begins(seq, leg(*n)).is_err();
        if !refused {
            ledger.leg_ended(seq, false).unwrap();
        }
        refused
    });
    assert!(refused.is_some_and(|n| n > 0));
    let entry = ledger.get(seq).unwrap();
    assert_eq!((&entry.out, &entry.ran), (&None, &None));
}
