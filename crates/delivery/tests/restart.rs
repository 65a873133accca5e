//! What a restart finds taken on and untried, with a clock fed by hand: it is still tried, whatever the list, the endpoints
//! and the other couriers are doing.

mod common;

use common::{caps, ended, folder, host, legs, setup, KEYED, START_MS};
use marblefall_delivery::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use marblefall_delivery::core::message_store::MessageStore;
use marblefall_delivery::core::{Message, Origin, RequestId, Timestamp};
use marblefall_scheduler::*;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const MOST: usize = 50;
const LIVES_MS: i64 = 20_000;

fn classes() -> Vec<String> {
    ["keyed", "free", "never"].map(String::from).to_vec()
}

fn engine_setup(couriers: usize) -> EngineSettings {
    let caps = Limits {
        max_attempts: 1000,
        ..caps(MOST)
    };
    let mut setup = setup(
        &[KEYED, Idempotency::Idempotent, Idempotency::NonIdempotent],
        caps,
    );
    setup.scheduler.instances = couriers;
    setup.scheduler.rate_hints = RateHints::Approximate;
    setup.scheduler.rules.overload_window = Span::from_ms(2000.0);
    setup.scheduler.rules.ramp_duration = Span::from_ms(10_000.0);
    setup.scheduler.rules.ramp_start = 0.3;
    setup.scheduler.rules.overload_factor = 1.5;
    setup
}

/// A life of the engine over a folder, at a time since the first one's start.
struct Life {
    engine: Engine,
    born_ms: i64,
    ms: i64,
}

impl Life {
    fn begin(dir: &Path, couriers: usize, ms: i64, list: Vec<&str>) -> (Life, Vec<EngineCommand>) {
        let store = MessageStore::open(dir, 3_000_000, classes()).unwrap();
        let mut orders = Vec::new();
        let now = Timestamp {
            monotonic: Time(0),
            unix_ms: START_MS + ms,
        };
        let engine = Engine::new(engine_setup(couriers), store, now, &mut orders);
        let mut life = Life {
            engine,
            born_ms: ms,
            ms,
        };
        orders.extend(life.step(
            0,
            vec![EngineEvent::EndpointsReplaced(
                list.into_iter().map(host).collect(),
            )],
        ));
        (life, orders)
    }

    /// Steps so many milliseconds later, and as often as there is more to take up.
    fn step(&mut self, later: i64, inputs: Vec<EngineEvent>) -> Vec<EngineCommand> {
        self.ms += later;
        let monotonic = Time((self.ms - self.born_ms) * 1000);
        let now = Timestamp {
            monotonic,
            unix_ms: START_MS + self.ms,
        };
        let mut orders = Vec::new();
        self.engine.step(now, inputs, &mut orders);
        while self.engine.has_backlog() {
            self.engine.step(now, Vec::new(), &mut orders);
        }
        orders
    }
}

fn offered(number: u64, ms: i64) -> EngineEvent {
    let class = (number % 3) as usize;
    let message = Message {
        origin: Origin::Platform,
        identity: format!("m-{number}").into_bytes(),
        idempotency_key: (class == 0).then(|| format!("key-{number}").into_bytes()),
        class: ClassId(class),
        destination: DestinationId(7),
        expires_ms: START_MS + ms + LIVES_MS,
        attributes: Vec::new(),
        body: vec![b'x'; 100],
    };
    EngineEvent::Submitted(RequestId(number), message)
}

fn given_up(orders: &[EngineCommand]) -> usize {
    orders
        .iter()
        .filter(|order| matches!(order, EngineCommand::SendNotice { .. }))
        .count()
}

/// A folder that a killed life left with so many messages taken on, of which those with a leg were tried.
fn left(name: &str, couriers: usize, messages: u64) -> (PathBuf, usize) {
    let dir = folder(name);
    let (mut life, _) = Life::begin(&dir, couriers, 0, vec!["h"]);
    let orders: Vec<EngineCommand> = (0..messages)
        .flat_map(|number| life.step(0, vec![offered(number, 0)]))
        .collect();
    assert_eq!(given_up(&orders), 0);
    let tried = legs(&orders).len();
    assert!(tried < 5 && life.engine.load().0 == messages as usize);
    (dir, tried)
}

#[test]
fn a_full_backlog_waits_for_a_list_that_is_not_known_yet_and_then_goes_by_worth() {
    let (dir, tried) = left("unlisted", 1, 45);
    let (mut life, orders) = Life::begin(&dir, 1, 1000, Vec::new());
    // Of what was out when the life was killed, all but what may be repeated freely has its end; all else is held.
    let mut ends = given_up(&orders);
    for _ in 0..70 {
        let orders = life.step(100, Vec::new());
        assert_eq!(legs(&orders), [], "nothing is known to send to yet");
        ends += given_up(&orders);
    }
    assert!(ends <= tried, "{ends} of 45 given up, {tried} were tried");
    let mut out = legs(&life.step(10, vec![EngineEvent::EndpointsReplaced(vec![host("h")])]));
    let mut delivered = BTreeMap::new();
    for _ in 0..400 {
        let inputs = out.drain(..).map(|(seq, copy)| {
            *delivered.entry(seq).or_insert(0) += 1;
            ended(seq, copy, Outcome::Delivered)
        });
        let inputs: Vec<EngineEvent> = inputs.collect();
        let orders = life.step(20, inputs);
        assert_eq!(given_up(&orders), 0);
        out = legs(&orders);
    }
    assert_eq!(delivered.len(), 45 - ends);
    assert!(delivered.values().all(|times| *times == 1));
    let _ = std::fs::remove_dir_all(&dir);
}

/// Where hundreds share what a cold destination bears, one courier's next call may lie past a message's time. All that a
/// restart had found for it was then given up in one step, with most of its time left and no call.
#[test]
fn what_is_untried_is_not_given_up_early_because_its_endpoints_hang() {
    for couriers in [1, 30, 300] {
        let (dir, tried) = left(&format!("hangs-{couriers}"), couriers, 30);
        let (mut life, orders) = Life::begin(&dir, couriers, 500, vec!["h"]);
        let mut ends = given_up(&orders);
        let mut out: Vec<(i64, MessageId, u32)> = Vec::new();
        let mut begun = legs(&orders);
        // Nothing answers for as long as seven tenths of their time are not over.
        while life.ms < LIVES_MS * 7 / 10 - 200 {
            out.extend(
                begun
                    .drain(..)
                    .map(|(seq, copy)| (life.ms + 1000, seq, copy)),
            );
            let (over, still): (Vec<_>, Vec<_>) =
                out.into_iter().partition(|(at, ..)| *at <= life.ms);
            out = still;
            let timed_out = over
                .into_iter()
                .map(|(_, seq, copy)| ended(seq, copy, Outcome::ConnectFailed))
                .collect();
            let orders = life.step(100, timed_out);
            ends += given_up(&orders);
            begun = legs(&orders);
        }
        assert!(
            ends <= tried,
            "{ends} of 30 given up early among {couriers} couriers, {tried} were tried"
        );
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// A courier that came back with a full backlog gave it up message by message for each new one that was handed in.
#[test]
fn new_messages_do_not_push_out_what_a_restart_found_untried() {
    let (dir, tried) = left("pushed", 1, 45);
    let (mut life, orders) = Life::begin(&dir, 1, 500, vec!["h"]);
    let mut ends = given_up(&orders);
    for number in 0..100 {
        let ms = life.ms;
        ends += given_up(&life.step(20, vec![offered(1000 + number, ms)]));
    }
    assert!(
        ends <= tried,
        "{ends} of 45 that were found given up, {tried} were tried"
    );
    let _ = std::fs::remove_dir_all(&dir);
}
