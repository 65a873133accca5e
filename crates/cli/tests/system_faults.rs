//! One process on the platform whose system calls fail and whose wall clock steps, as Linux documents it, by a preloaded
//! shim. A test in which its fault never struck fails.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::platform::*;
use common::shim::*;
use common::*;
use marblefall_fault_plan::FaultKind;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;
const LONG: Duration = Duration::from_secs(3600);
/// Half of all calls are struck.
const HALF: i64 = 500;

/// An endpoint that answers nothing until it is told to.
fn endpoint_silent_until(open: &Arc<AtomicBool>) -> StandIn {
    let open = open.clone();
    StandIn::start(move |_| {
        if open.load(Ordering::SeqCst) {
            ok()
        } else {
            Act::Silence
        }
    })
}

/// An endpoint that turns all away until it is told to take them.
fn endpoint_rejecting_until(open: &Arc<AtomicBool>) -> StandIn {
    let open = open.clone();
    StandIn::start(move |_| {
        if open.load(Ordering::SeqCst) {
            ok()
        } else {
            Act::Answer(503, String::new())
        }
    })
}

#[test]
fn wall_clock_an_hour_ahead_after_a_restart_expires_nothing() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("ahead", endpoint.at, "6000", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    let answer = hand(at, "held", "refill-status", "20000").unwrap();
    assert_eq!(answer.status(), 202);
    wait_for("an attempt", || endpoint.count() > 0);
    program.kill();
    open.store(true, Ordering::SeqCst);
    let before = endpoint.count();
    let (_program, shim) =
        site.start_under(&[fault(FaultKind::WallClockStepped, NOW, LONG, HOUR_MS)]);
    wait_for("the message's attempt or notice", || {
        endpoint.count() > before || !site.discovery.told().is_empty()
    });
    assert_eq!(site.discovery.told(), "", "the message had 20 s");
    assert!(shim.struck(FaultKind::WallClockStepped) > 0);
}

#[test]
fn wall_clock_an_hour_back_after_a_restart_does_not_reopen_a_window() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_silent_until(&open);
    let site = Site::new("back", endpoint.at, "1", 0);
    let program = site.start();
    let at = program.address(MARKER, 0);
    let answer = hand(at, "order", "refill-order", "20000").unwrap();
    assert_eq!(answer.status(), 202);
    wait_for("its attempt", || endpoint.count() == 1);
    program.kill();
    open.store(true, Ordering::SeqCst);
    let (_program, shim) =
        site.start_under(&[fault(FaultKind::WallClockStepped, NOW, LONG, -HOUR_MS)]);
    wait_for("its notice or a repeat", || {
        endpoint.count() > 1 || site.discovery.told().contains("\"order\"")
    });
    assert_eq!(endpoint.count(), 1, "its window was over");
    assert!(shim.struck(FaultKind::WallClockStepped) > 0);
}

#[test]
fn messages_accepted_after_a_disk_fault_outlive_the_process() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("disk", endpoint.at, "6000", 0);
    let lasts = Duration::from_millis(1500);
    let failing = fault(FaultKind::DiskError, lasts, lasts, ALWAYS);
    let (program, shim) = site.start_under(&[failing]);
    let at = program.address(MARKER, 0);
    // What was accepted before would fill the instance's room.
    wait_for("the fault's time", || failing.is_active(monotonic_ms()));
    wait_for("the fault", || {
        hand(at, "in-fault", "refill-status", "20000").unwrap();
        shim.struck(FaultKind::DiskError) > 8
    });
    let mut accepted = 0;
    let mut n = 0;
    wait_for("the disk to take messages again", || {
        n += 1;
        let answer = hand(at, &format!("m-{n}"), "refill-status", "20000").unwrap();
        accepted += usize::from(answer.status() == 202);
        accepted >= 5
    });
    program.kill();
    open.store(true, Ordering::SeqCst);
    let program = site.start();
    program.address(MARKER, 0);
    wait_for("the count of messages taken over", || {
        program.signal("USR1");
        program.log().contains("resumed=")
    });
    let log = program.log();
    let resumed: usize = log
        .split("resumed=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next()?.parse().ok())
        .unwrap();
    assert!(resumed >= accepted, "{resumed} of {accepted}");
}

#[test]
fn held_messages_keep_their_attempts_through_a_disk_fault() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("held", endpoint.at, "6000", 0);
    let after = Duration::from_millis(1000);
    let lasts = Duration::from_millis(1500);
    let (program, shim) = site.start_under(&[fault(FaultKind::DiskFull, after, lasts, ALWAYS)]);
    let at = program.address(MARKER, 0);
    for n in 0..3 {
        let answer = hand(at, &format!("m-{n}"), "refill-status", "20000").unwrap();
        assert_eq!(answer.status(), 202);
    }
    wait_for("the fault", || shim.struck(FaultKind::DiskFull) > 3);
    open.store(true, Ordering::SeqCst);
    wait_for("all ends", || {
        program.signal("USR1");
        let log = program.log();
        log.contains("delivered=3 ") || !site.discovery.told().is_empty()
    });
    assert_eq!(site.discovery.told(), "", "{}", program.log());
}

#[test]
fn process_that_starts_on_a_failing_disk_waits_for_it() {
    let endpoint = StandIn::start(|_| ok());
    for kind in [FaultKind::DiskFull, FaultKind::DiskError] {
        let site = Site::new("starts", endpoint.at, "6000", 0);
        let (program, shim) =
            site.start_under(&[fault(kind, NOW, Duration::from_millis(1200), ALWAYS)]);
        let at = program.address(MARKER, 0);
        let answer = hand(at, "m", "refill-status", "9000").unwrap();
        assert_eq!(answer.status(), 202);
        assert!(shim.struck(kind) > 0);
    }
}

#[test]
fn process_that_is_shut_down_before_its_disk_works_ends_cleanly() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("term-early", endpoint.at, "6000", 0);
    let (mut program, shim) = site.start_under(&[fault(FaultKind::DiskFull, NOW, LONG, ALWAYS)]);
    wait_for("the fault", || {
        shim.exists() && shim.struck(FaultKind::DiskFull) > 0
    });
    program.signal("TERM");
    assert!(program.ended(), "{}", program.log());
}

#[test]
fn interrupted_and_short_transfers_lose_nothing() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("short", endpoint.at, "6000", 0);
    let plan = [
        fault(FaultKind::ReceiveInterrupted, NOW, LONG, 300),
        fault(FaultKind::ReceiveShort, NOW, LONG, 300),
        fault(FaultKind::SendInterrupted, NOW, LONG, 300),
        fault(FaultKind::SendShort, NOW, LONG, 300),
    ];
    let (program, shim) = site.start_under(&plan);
    let at = program.address(MARKER, 0);
    for n in 0..20 {
        let answer = hand(at, &format!("m-{n}"), "refill-order", "9000");
        assert_eq!(
            answer.map(|answer| answer.status()),
            Some(202),
            "message {n}"
        );
    }
    wait_for("all deliveries", || {
        program.signal("USR1");
        program.log().contains("delivered=20 ")
    });
    assert!(program.log().contains("resets=0 "), "{}", program.log());
    assert_eq!(endpoint.count(), 20);
    for fault in plan {
        assert!(shim.struck(fault.kind) > 0, "{fault} never struck");
    }
}

#[test]
fn signals_are_taken_after_an_interrupted_read() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("signals", endpoint.at, "6000", 0);
    let lasts = Duration::from_millis(2500);
    let (mut program, shim) =
        site.start_under(&[fault(FaultKind::ReceiveInterrupted, NOW, lasts, 500)]);
    program.address(MARKER, 0);
    let struck = shim.struck(FaultKind::ReceiveInterrupted);
    for _ in 0..20 {
        program.signal("USR1");
        std::thread::yield_now();
    }
    wait_for("the fault", || {
        program.signal("USR1");
        shim.struck(FaultKind::ReceiveInterrupted) > struck + 3
    });
    program.signal("TERM");
    assert!(program.ended(), "{}", program.log());
}

/// Connections wait in the queue of a process that has been stopped; when it goes on, it is told to end, and the system
/// refuses to give them to it for a moment.
#[test]
fn connections_that_wait_at_the_end_survive_failing_accepts() {
    let endpoint = StandIn::start(|_| ok());
    for (kind, amount) in [
        (FaultKind::AcceptNoFiles, ALWAYS),
        (FaultKind::AcceptInterrupted, 700),
    ] {
        let site = Site::new("accepts", endpoint.at, "6000", 0);
        let (mut program, shim) = site.start_under(&[fault(
            kind,
            Duration::from_secs(2),
            Duration::from_millis(1500),
            amount,
        )]);
        let at = program.address(MARKER, 0);
        wait_for("the fault", || {
            let _ = TcpStream::connect(at);
            shim.struck(kind) > 0
        });
        program.signal("TERM");
        let request = b"GET /ready HTTP/1.1\r\n\r\n";
        let mut waiting: Vec<TcpStream> = (0..4).map(|_| TcpStream::connect(at).unwrap()).collect();
        for stream in &mut waiting {
            stream.set_read_timeout(Some(BOUND)).unwrap();
            stream.write_all(request).unwrap();
        }
        for (n, stream) in waiting.iter().enumerate() {
            let answer = Message::read(&mut BufReader::new(stream));
            assert!(
                answer.is_some(),
                "{kind:?}, connection {n}: {}",
                program.log()
            );
        }
        assert!(program.ended());
    }
}

#[test]
fn delivery_answered_during_a_disk_fault_is_not_repeated_after_a_restart() {
    let open = Arc::new(AtomicBool::new(false));
    let answering = open.clone();
    let endpoint = StandIn::start(move |_| {
        wait_for("the fault", || answering.load(Ordering::SeqCst));
        ok()
    });
    let site = Site::new("ends", endpoint.at, "6000", 0);
    let after = Duration::from_millis(1200);
    let lasts = Duration::from_millis(1200);
    let failing = fault(FaultKind::DiskError, after, lasts, ALWAYS);
    let (program, shim) = site.start_under(&[failing]);
    let at = program.address(MARKER, 0);
    let answer = hand(at, "m", "refill-status", "20000").unwrap();
    assert_eq!(answer.status(), 202);
    wait_for("the fault's time", || failing.is_active(monotonic_ms()));
    open.store(true, Ordering::SeqCst);
    wait_for("the delivery", || {
        program.signal("USR1");
        program.log().contains("delivered=1 ")
    });
    assert!(shim.struck(FaultKind::DiskError) > 0);
    wait_for("the disk to work again", || {
        let answer = hand(at, "after", "refill-status", "20000").unwrap();
        answer.status() == 202
    });
    wait_for("the second delivery", || {
        program.signal("USR1");
        program.log().contains("delivered=2 ")
    });
    program.kill();
    let mut program = site.start();
    program.address(MARKER, 0);
    program.signal("TERM");
    assert!(program.ended());
    let seen = endpoint.seen.lock().unwrap();
    let of_first = seen
        .iter()
        .filter(|attempt| attempt.field("x-call-id") == Some("m"));
    assert_eq!(of_first.count(), 1);
}

/// A lock that the system could not give for a moment was taken for one that nobody held: two processes were active.
#[test]
fn process_that_gets_no_lock_for_a_moment_does_not_act_beside_the_active_one() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("locks", endpoint.at, "6000", 0);
    let (mut old, _) = site.first();
    let lasts = Duration::from_millis(400);
    let (new, shim) = site.start_under(&[fault(FaultKind::LockFails, NOW, lasts, ALWAYS)]);
    new.address(MARKER, 0);
    assert!(shim.struck(FaultKind::LockFails) > 0);
    assert_eq!(new.log().matches("takes-over").count(), 0, "{}", new.log());
    old.signal("TERM");
    assert!(old.ended(), "{}", old.log());
    assert!(old.log().contains("code=\"handed-over\""), "{}", old.log());
    wait_for("the takeover", || new.log().contains("takes-over"));
}

/// A process whose disk fails at its start listened all the same, and answered nobody until the disk worked.
#[test]
fn process_that_waits_for_its_disk_refuses_connections() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("refuses", endpoint.at, "6000", 0);
    let (first, at) = site.first();
    first.kill();
    let (_program, shim) = site.start_under(&[fault(FaultKind::DiskFull, NOW, LONG, ALWAYS)]);
    wait_for("the fault", || {
        shim.exists() && shim.struck(FaultKind::DiskFull) > 2
    });
    assert!(TcpStream::connect(at).is_err());
}

/// What its configuration says of the endpoints is old once it has waited for its disk: discovery counts as heard from
/// the first moment of a process, and a draining endpoint was called.
#[test]
fn process_that_has_waited_for_its_disk_calls_no_endpoint_that_drained_meanwhile() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("stale", endpoint.at, "6000", 0);
    let (program, at) = site.first();
    let answer = hand(at, "held", "refill-status", "20000").unwrap();
    assert_eq!(answer.status(), 202);
    program.kill();
    open.store(true, Ordering::SeqCst);
    *site.discovery.list.lock().unwrap() = format!(
        "{{\"revision\":42,\"complete\":true,\"members\":[{}]}}",
        member(endpoint.at, "DRAINING")
    );
    let before = endpoint.count();
    let lasts = Duration::from_millis(1500);
    let (program, shim) = site.start_under(&[fault(FaultKind::DiskFull, NOW, lasts, ALWAYS)]);
    program.address(MARKER, 0);
    assert!(shim.struck(FaultKind::DiskFull) > 0);
    wait_for("an answer about the destination", || {
        let answer = hand(at, "new", "refill-status", "1500").unwrap();
        answer.status() == 202 || endpoint.count() > before
    });
    assert_eq!(endpoint.count(), before);
}

/// Processor time that a process has taken, in clock ticks of a hundredth of a second.
fn processor_ticks(program: &Program) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", program.pid())).unwrap();
    let after_name = stat.rsplit(')').next().unwrap();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Each step that found the journal failing set a timer of its own for the next try, and each of those another: after
/// some seconds the process did nothing else.
#[test]
fn failing_disk_does_not_keep_the_processor_busy() {
    let open = Arc::new(AtomicBool::new(false));
    let answering = open.clone();
    let endpoint = StandIn::start(move |_| {
        wait_for("the fault", || answering.load(Ordering::SeqCst));
        ok()
    });
    let site = Site::new("busy", endpoint.at, "6000", 0);
    let after = Duration::from_millis(1000);
    let lasts = Duration::from_millis(3000);
    let failing = fault(FaultKind::DiskError, after, lasts, ALWAYS);
    let (program, _shim) = site.start_under(&[failing]);
    let at = program.address(MARKER, 0);
    for n in 0..20 {
        hand(at, &format!("held-{n}"), "refill-status", "20000").unwrap();
    }
    wait_for("the fault's time", || failing.is_active(monotonic_ms()));
    // What is delivered now cannot be noted.
    open.store(true, Ordering::SeqCst);
    let before = processor_ticks(&program);
    let mut n = 0;
    wait_for("the end of the fault", || {
        n += 1;
        let _ = hand(at, &format!("in-fault-{n}"), "refill-status", "20000");
        !failing.is_active(monotonic_ms())
    });
    let ticks = processor_ticks(&program) - before;
    assert!(ticks < 100, "{ticks} of 300 ticks, {n} requests");
}

/// One file of the journal that could not be opened for a moment ended the process that started.
#[test]
fn process_that_can_open_files_only_at_times_starts_with_its_messages() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("opens", endpoint.at, "6000", 0);
    let (program, at) = site.first();
    let answer = hand(at, "held", "refill-status", "20000").unwrap();
    assert_eq!(answer.status(), 202);
    program.kill();
    // Each process leaves a file of its own.
    for _ in 0..5 {
        let program = site.start();
        program.address(MARKER, 0);
        program.kill();
    }
    open.store(true, Ordering::SeqCst);
    let before = endpoint.count();
    let lasts = Duration::from_secs(4);
    let (_program, shim) = site.start_under(&[fault(FaultKind::OpenNoFiles, NOW, lasts, HALF)]);
    wait_for("the message's attempt", || endpoint.count() > before);
    assert!(shim.struck(FaultKind::OpenNoFiles) > 0);
}

/// What operators had disabled was taken for nothing where its file could not be opened, and the endpoint was called.
#[test]
fn disabled_endpoint_stays_disabled_where_its_file_opens_only_at_times() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("disabled", endpoint.at, "6000", 0);
    let (program, at) = site.first();
    program.kill();
    std::fs::write(site.folder.0.join("state/held-out.txt"), "s-1\n").unwrap();
    for n in 0..8 {
        let lasts = Duration::from_secs(4);
        let (mut program, _shim) =
            site.start_under(&[fault(FaultKind::OpenNoFiles, NOW, lasts, HALF)]);
        program.address(MARKER, 0);
        hand(at, &format!("m-{n}"), "refill-status", "700").unwrap();
        program.signal("TERM");
        assert!(program.ended(), "{}", program.log());
        assert_eq!(endpoint.count(), 0, "{}", program.log());
    }
}

/// A standby that could not open a file of the journal as it took over left the messages in it, and those after it, to
/// the next start.
#[test]
fn standby_that_can_open_files_only_at_times_takes_over_all_messages() {
    let open = Arc::new(AtomicBool::new(false));
    let endpoint = endpoint_rejecting_until(&open);
    let site = Site::new("standby-opens", endpoint.at, "6000", 0);
    let (first, at) = site.first();
    let mut accepted = Vec::new();
    let mut submit = |id: String| {
        let answer = hand(at, &id, "refill-status", "20000").unwrap();
        assert_eq!(answer.status(), 202);
        accepted.push(id);
    };
    submit("of-first".to_owned());
    first.kill();
    let mut old = site.start();
    old.address(MARKER, 0);
    submit("of-old".to_owned());
    let lasts = Duration::from_secs(6);
    let (new, shim) = site.start_under(&[fault(FaultKind::OpenNoFiles, NOW, lasts, HALF)]);
    new.address(MARKER, 0);
    submit("of-either".to_owned());
    old.signal("TERM");
    assert!(old.ended(), "{}", old.log());
    open.store(true, Ordering::SeqCst);
    let before = endpoint.count();
    let is_delivered = |id: &String| {
        let seen = endpoint.seen.lock().unwrap();
        let mut later = seen[before..].iter();
        later.any(|attempt| attempt.field("x-call-id") == Some(id))
    };
    wait_for("all messages", || accepted.iter().all(is_delivered));
    assert!(shim.struck(FaultKind::OpenNoFiles) > 0, "{}", new.log());
}

/// A standby whose mark was not taken stayed unknown: when it died, what it had accepted was left to the next start.
#[test]
fn standby_that_can_open_files_only_at_times_is_adopted_when_it_dies() {
    let endpoint = StandIn::start(|_| ok());
    let site = Site::new("unannounced", endpoint.at, "6000", 0);
    let (_active, at) = site.first();
    for n in 0..6 {
        let lasts = Duration::from_secs(4);
        let (standby, _shim) = site.start_under(&[fault(FaultKind::OpenNoFiles, NOW, lasts, HALF)]);
        standby.address(MARKER, 0);
        let id = format!("m-{n}");
        let answer = hand(at, &id, "refill-status", "20000").unwrap();
        assert_eq!(answer.status(), 202);
        standby.kill();
        wait_for("its delivery", || {
            let seen = endpoint.seen.lock().unwrap();
            let mut attempts = seen.iter();
            attempts.any(|attempt| attempt.field("x-call-id") == Some(&id))
        });
    }
}
