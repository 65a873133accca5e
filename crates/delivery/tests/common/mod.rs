//! What the tests of the core share: a folder of their own, classes and limits, a host, the end of a leg.
#![allow(dead_code)]

use marblefall_delivery::core::engine::{Host, Input, Order, Setup};
use marblefall_delivery::core::{Answer, Seq, Verdict};
use marblefall_scheduler::*;
use std::path::PathBuf;

/// When the tests begin, as Unix time in milliseconds.
pub const START_MS: i64 = 1_800_000_000_000;
/// Receivers drop repeats by key for 6 s.
pub const KEYED: Effect = Effect::Token { scope: Scope::All, window: Span(6_000_000) };

/// A folder that is not there yet.
pub fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("marblefall-core-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// A class wanted within 2 s and given up after 20.
pub fn class(effect: Effect) -> Class {
    Class {
        worth: 1.0,
        promise: Span::from_ms(2000.0),
        give_up: Span::from_ms(20_000.0),
        late_value: 0.3,
        effect,
        ordered: false,
    }
}

/// One courier with classes of these effects; nothing that ended is remembered.
pub fn setup(effects: &[Effect], caps: Caps) -> Setup {
    let settings = Settings {
        classes: effects.iter().map(|effect| class(*effect)).collect(),
        kinds: vec![Kind { apart: false, per_call: 1 }],
        late: LateForm::Line,
        caps,
        couriers: 1,
        ..Settings::default()
    };
    Setup { settings, seed: 1, remember_ms: vec![0; effects.len()], remember_most: 0 }
}

/// Limits of a small courier that may hold so many messages.
pub fn caps(max_open: usize) -> Caps {
    Caps { slots: 4, max_open, max_attempts: 8, max_retry_after: Span::from_ms(3000.0), ..Caps::default() }
}

/// A host of destination 7.
pub fn host(name: &str) -> Host {
    Host {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        destination: DestinationId(7),
        kind: KindId(0),
        zone: ZoneId(0),
        listing: Listing::On,
        share: 50.0,
        weight: None,
    }
}

/// A leg that was out for 100 ms.
pub fn ended(seq: Seq, copy: u32, outcome: Outcome) -> Input {
    let took = Span::from_ms(100.0);
    Input::LegEnded { seq, copy, outcome, took, verdict: Verdict::Open, report: Report::default() }
}

/// The legs that are begun, each a message's number and which leg of it.
pub fn legs(orders: &[Order]) -> Vec<(u64, u32)> {
    let leg = |order: &Order| match order {
        Order::Leg { seq, copy, .. } => Some((*seq, *copy)),
        _ => None,
    };
    orders.iter().filter_map(leg).collect()
}

/// The answers to hand-ins, by ticket.
pub fn answers(orders: &[Order]) -> Vec<(u64, Answer)> {
    let answer = |order: &Order| match order {
        Order::Answer(ticket, answer) => Some((ticket.0, *answer)),
        _ => None,
    };
    orders.iter().filter_map(answer).collect()
}
