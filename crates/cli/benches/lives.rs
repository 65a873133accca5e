//! How long a replacement of the process keeps messages waiting: from SIGTERM to the old process until the new one's first
//! attempt is at the partner, and the longest time without any attempt there. `cargo bench -p marblefall --bench incarnations`.

#![allow(
    clippy::too_many_lines,
    reason = "a measurement tells one course of events"
)]
#![allow(clippy::unwrap_used, reason = "a failed step ends the measurement")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::platform::{hand, Site};
use common::{ok, wait_for, StandIn};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 40;
const CLIENTS: usize = 20;

fn main() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("bench", endpoint.at, "6000", 0);
    let (mut old, at) = site.first();
    let (over, asked) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (over, asked) = (over.clone(), asked.clone());
            thread::spawn(move || {
                for call in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    hand(at, &format!("c{client}-{call}"), "refill-status", "9000");
                    asked.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let came = |id: &str| {
        let seen = endpoint.seen.lock().unwrap();
        seen.iter()
            .find(|call| call.field("x-call-id") == Some(id))
            .and_then(|call| call.came)
    };
    let (mut first, mut gaps, mut calm) = (Vec::new(), Vec::new(), Vec::new());
    let ask_on = |more: usize| {
        let until = asked.load(Ordering::SeqCst) + more;
        wait_for("the clients", || asked.load(Ordering::SeqCst) >= until);
    };
    for round in 0..ROUNDS {
        let before = Instant::now();
        ask_on(200);
        calm.push(longest_gap(&endpoint, before, Instant::now()));
        let new = site.beside();
        // New connections are the new process's: it takes this on and cannot send it yet.
        let id = format!("probe-{round}");
        assert_eq!(
            hand(at, &id, "refill-status", "9000")
                .expect("an answer")
                .status(),
            202
        );
        let told = Instant::now();
        old.signal("TERM");
        wait_for("the first attempt", || came(&id).is_some());
        first.push(came(&id).expect("it came").saturating_duration_since(told));
        assert!(old.ended(), "{}", old.log());
        ask_on(100);
        gaps.push(longest_gap(&endpoint, told, Instant::now()));
        old = new;
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    let show = |what: &str, all: &mut Vec<Duration>| {
        all.sort_unstable();
        let ms = |at: usize| all[at].as_secs_f64() * 1000.0;
        println!(
            "{what}: median {:.1} ms, most {:.1} ms, of {}",
            ms(all.len() / 2),
            ms(all.len() - 1),
            all.len()
        );
    };
    show(
        "from SIGTERM to the new process's first attempt",
        &mut first,
    );
    show(
        "longest time without an attempt over a replacement",
        &mut gaps,
    );
    show("longest time without an attempt in calm", &mut calm);
}

fn longest_gap(endpoint: &StandIn, from: Instant, to: Instant) -> Duration {
    let seen = endpoint.seen.lock().unwrap();
    let mut at: Vec<Instant> = seen
        .iter()
        .filter_map(|call| call.came)
        .filter(|at| (from..to).contains(at))
        .collect();
    at.sort_unstable();
    at.windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .unwrap_or_default()
}
