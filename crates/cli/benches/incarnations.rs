//! Measures how long the replacement of a process delays messages: the time from SIGTERM to the old process until the
//! endpoint receives the new process's first attempt, and the longest time without any attempt there.
//! Run with `cargo bench -p marblefall --bench incarnations`.

#![allow(clippy::unwrap_used, reason = "a failed step ends the measurement")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::platform::{message_id, submit, submit_status, Platform, IDEMPOTENT_CLASS};
use common::{start_healthy_server, wait_for, Signal, TestServer};
use marblefall_process_harness::Workers;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ROUNDS: usize = 40;
const CLIENTS: usize = 20;
/// Pause of a client between two messages.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// Time to live of all messages in milliseconds.
const BUDGET_MS: &str = "9000";

fn main() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("bench", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = start_clients(address);
    let (mut first_attempts, mut gaps, mut calm_gaps) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        let calm_since = Instant::now();
        clients.wait_for_completions(200).unwrap();
        calm_gaps.push(longest_gap(&endpoint, calm_since, Instant::now()));
        let new = platform.start_standby();
        // New connections go to the new process. It accepts this message but cannot send it yet.
        let id = format!("probe-{round}");
        let status = submit_status(address, &id, IDEMPOTENT_CLASS, BUDGET_MS);
        assert_eq!(status, 202);
        let terminated_at = Instant::now();
        old.signal(Signal::TERM);
        wait_for("the first attempt", || {
            received_at(&endpoint, &id).is_some()
        });
        let first_attempt = received_at(&endpoint, &id).unwrap();
        first_attempts.push(first_attempt.saturating_duration_since(terminated_at));
        assert!(old.wait_for_exit(), "{}", old.log());
        clients.wait_for_completions(100).unwrap();
        gaps.push(longest_gap(&endpoint, terminated_at, Instant::now()));
        old = new;
    }
    clients.stop();
    print_spread(
        "from SIGTERM to the new process's first attempt",
        first_attempts,
    );
    print_spread("longest time without an attempt over a replacement", gaps);
    print_spread("longest time without an attempt in calm", calm_gaps);
}

/// Starts clients that submit messages one after the other.
fn start_clients(address: SocketAddr) -> Workers<()> {
    Workers::start(CLIENTS, CLIENT_PAUSE, |client| {
        move |number| {
            let id = format!("c{client}-{number}");
            // The response does not matter, as only attempts are measured.
            submit(address, &id, IDEMPOTENT_CLASS, BUDGET_MS);
        }
    })
}

/// Returns when the endpoint received the first call with a message.
fn received_at(endpoint: &TestServer, id: &str) -> Option<Instant> {
    let calls = endpoint.requests();
    let call = calls.iter().find(|call| message_id(call) == Some(id));
    call.and_then(|call| call.received_at)
}

fn longest_gap(endpoint: &TestServer, from: Instant, to: Instant) -> Duration {
    let calls = endpoint.requests();
    let mut times: Vec<Instant> = calls
        .iter()
        .filter_map(|call| call.received_at)
        .filter(|at| (from..to).contains(at))
        .collect();
    times.sort_unstable();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

fn print_spread(what: &str, mut durations: Vec<Duration>) {
    durations.sort_unstable();
    let ms = |index: usize| durations[index].as_secs_f64() * 1000.0;
    println!(
        "{what}: median {:.1} ms, most {:.1} ms, of {}",
        ms(durations.len() / 2),
        ms(durations.len() - 1),
        durations.len()
    );
}
