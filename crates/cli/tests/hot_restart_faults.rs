//! Hot restarts while processes are suspended or killed, or the endpoint rejects their calls.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::clients::*;
use common::platform::*;
use common::*;
use marblefall_process_harness::platform::PlatformMessage;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Size of the body of messages that fill the journal, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;

#[test]
fn suspended_process_is_fenced_and_sends_nothing_when_resumed() {
    // The process is suspended before SIGTERM, or right after it.
    for terminated_first in [false, true] {
        let endpoint = start_healthy_server();
        let platform = Platform::new(
            &format!("stopped-{terminated_first}"),
            endpoint.address,
            "6000",
        );
        let (mut old, address) = platform.start_first();
        let clients = Clients::start(address, 8);
        clients.wait_for_submissions(40);
        if terminated_first {
            old.signal(Signal::TERM);
        }
        old.signal(Signal::STOP);
        let new = platform.start_standby();
        assert_eq!(
            exchange(address, READY_REQUEST).map(|response| response.status()),
            Some(200)
        );
        wait_for("the takeover", || {
            let log = new.log();
            log.contains("code=\"fenced-off\"") && log.contains("code=\"takes-over\"")
        });
        let before = endpoint.request_count();
        wait_for("attempts of the new process", || {
            endpoint.request_count() > before + 20
        });
        old.signal(Signal::CONT);
        assert!(old.wait_for_exit(), "{}", old.log());
        wait_for("the end of the old process", || {
            new.log().contains("code=\"predecessor-exited\"")
        });
        clients.wait_for_submissions(40);
        let submissions = clients.stop();
        check_outcomes(&platform, &endpoint, &submissions);
        let duplicates = executions(&endpoint.requests())
            .into_values()
            .filter(|count| *count > 1)
            .count();
        assert_eq!(duplicates, 0, "messages sent again by the fenced process");
    }
}

#[test]
fn every_message_has_an_outcome_whichever_process_is_killed() {
    let endpoint = start_healthy_server();
    let platform = Platform::new("kills", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    let clients = Clients::start(address, 12);
    let mut rng = Pcg64::seed_from_u64(22);
    let mut trace = Vec::new();
    for round in 0..10 {
        clients.wait_for_submissions(rng.random_range(5..40));
        let new = platform.start_standby();
        clients.wait_for_submissions(rng.random_range(0..20));
        let action = rng.random_range(0..5);
        trace.push(format!("round {round}: {action}"));
        match action {
            // The old process is killed, before or after SIGTERM.
            0 => old.kill(),
            1 => {
                old.signal(Signal::TERM);
                clients.wait_for_submissions(rng.random_range(0..10));
                old.kill();
            }
            // The new process is killed before SIGTERM. The old one continues with the messages that the new one accepted.
            2 => {
                new.kill();
                clients.wait_for_submissions(rng.random_range(20..60));
                let next = platform.start_standby();
                old.signal(Signal::TERM);
                assert!(old.wait_for_exit(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // The new process is killed after the takeover, at once or while the old process drains its clients.
            3 => {
                old.signal(Signal::TERM);
                clients.wait_for_submissions(rng.random_range(0..30));
                new.kill();
                let next = platform.start_standby();
                assert!(old.wait_for_exit(), "{trace:?}\n{}", old.log());
                old = next;
                continue;
            }
            // Both processes are killed.
            _ => {
                old.kill();
                new.kill();
                old = platform.start_standby();
                continue;
            }
        }
        old = new;
    }
    clients.wait_for_submissions(60);
    let submissions = clients.stop();
    check_outcomes(&platform, &endpoint, &submissions);
    // The endpoint deduplicates a repeat under the same key only within its window.
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    for call in endpoint.requests().iter() {
        let (id, received_at) = (message_id(call).unwrap(), call.received_at.unwrap());
        let first = *first.entry(id.to_owned()).or_insert(received_at);
        assert!(
            received_at - first < Duration::from_secs(6),
            "{id} was repeated after its window; {trace:?}"
        );
    }
}

#[test]
fn backoff_received_after_handover_applies_to_the_new_process() {
    // The response to the first call is delayed until the new process has taken over. Later calls have immediate responses.
    let release = Arc::<AtomicBool>::default();
    let rejected_at = Arc::<Mutex<Option<Instant>>>::default();
    let (released, rejection) = (release.clone(), rejected_at.clone());
    let endpoint = start_server(move |message| {
        if message_id(message) != Some("first") || rejection.lock().unwrap().is_some() {
            return Reply::ok();
        }
        wait_for("the release", || released.load(Ordering::SeqCst));
        *rejection.lock().unwrap() = Some(Instant::now());
        Reply::retry_after(429, "2.5")
    });
    let platform = Platform::new("backoff", endpoint.address, "6000");
    let (mut old, address) = platform.start_first();
    assert_eq!(
        submit(address, "first", IDEMPOTENT_CLASS, "15000")
            .unwrap()
            .status(),
        202
    );
    // The endpoint records a request only with its response, so the process's counter shows that the attempt has begun.
    old.wait_for_counter(" legs=1 ");
    let new = platform.start_standby();
    old.signal(Signal::TERM);
    wait_for("the takeover", || new.log().contains("code=\"takes-over\""));
    release.store(true, Ordering::SeqCst);
    assert!(old.wait_for_exit(), "{}", old.log());
    assert_eq!(
        submit(address, "second", IDEMPOTENT_CLASS, "15000")
            .unwrap()
            .status(),
        202
    );
    wait_for("both deliveries", || endpoint.request_count() == 3);
    let rejected_at = rejected_at.lock().unwrap().unwrap();
    for call in &endpoint.requests()[1..] {
        let elapsed = call.received_at.unwrap() - rejected_at;
        assert!(
            elapsed >= Duration::from_millis(2500),
            "sent {elapsed:?} after a Retry-After of 2.5 s"
        );
    }
}

#[test]
fn full_journal_is_taken_over_without_loss_or_duplicates() {
    let open = Arc::<AtomicBool>::default();
    let is_open = open.clone();
    let endpoint = start_server(move |_| match is_open.load(Ordering::SeqCst) {
        true => Reply::ok(),
        false => Reply::retry_after(429, "0.5"),
    });
    let platform = Platform::new("full", endpoint.address, "20000");
    let (mut old, address) = platform.start_first();
    let is_accepted = |id: &String| {
        let message = PlatformMessage {
            id,
            class: KEYED_CLASS,
            budget_ms: "20000",
            destination: DESTINATION,
            idempotency_key: id,
            body: &[b'x'; LARGE_BODY_BYTES],
        };
        let response = message.submit(address, WAIT_LIMIT);
        response.is_ok_and(|response| response.status() == 202)
    };
    let accepted: Vec<String> = (0..36)
        .map(|n| format!("m{n}"))
        .filter(is_accepted)
        .collect();
    assert!(
        accepted.len() > 15,
        "too few messages were accepted: {}",
        accepted.len()
    );
    let new = platform.start_standby();
    old.signal(Signal::TERM);
    assert!(old.wait_for_exit(), "{}", old.log());
    wait_for("the takeover", || {
        new.log().contains("code=\"predecessor-exited\"")
    });
    let state = platform.state_folder();
    let size: u64 = std::fs::read_dir(&state)
        .unwrap()
        .map(|file| file.unwrap().metadata().unwrap().len())
        .sum();
    assert!(size <= 3_000_000, "{size} bytes in the folder");
    let rejected = endpoint.request_count();
    open.store(true, Ordering::SeqCst);
    wait_for("an outcome of each message", || {
        let served = executions(&endpoint.requests()[rejected..]);
        let notices = platform.discovery.notices();
        accepted
            .iter()
            .all(|id| served.contains_key(id) || notices.contains(&format!("\"{id}\"")))
    });
    let served = executions(&endpoint.requests()[rejected..]);
    // A call in flight when the endpoint opened may still have been rejected, and its message was sent again.
    assert!(served.values().all(|count| *count <= 2), "{served:?}");
}
