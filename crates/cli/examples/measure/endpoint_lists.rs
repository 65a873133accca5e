//! Measures the cost of a large endpoint list: to plan it, to start with it, and to put it in force during traffic.

use crate::daemon::{any_port, instance_table, Daemon, CLASS};
use crate::load::{join, Client, Connections, CountingEndpoint};
use crate::Measured;
use marblefall_process_harness::TemporaryFolder;
use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DESTINATIONS: usize = 10_000;
const CLIENTS: usize = 4;
const LIST_FILE: &str = "roster.toml";
/// Number of changes of the list.
const CHANGES: u64 = 5;
/// Time with traffic before a counter is read. After a change is in force, it reaches the engine in parts.
const TRAFFIC: Duration = Duration::from_millis(500);

/// Measures one build.
pub fn measure(build: &str) -> Measured<()> {
    let folder = TemporaryFolder::new("measure-lists")?;
    let endpoint = CountingEndpoint::start()?;
    folder.write(LIST_FILE, &list(1, endpoint.address, 1))?;
    let plan_duration = Daemon::apply(build, &folder, &manifest())?;
    let daemon = Daemon::start(build, &folder)?;
    println!(
        "{DESTINATIONS} destinations, {} endpoints",
        2 * DESTINATIONS
    );
    println!(
        "plan: {:.3} s; start until it listens: {:.3} s; resident then: {} kB",
        plan_duration.as_secs_f64(),
        daemon.start_duration.as_secs_f64(),
        daemon.resource_usage()?.resident_kb
    );
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(daemon.address, &stop);
    thread::sleep(TRAFFIC);
    println!(
        "longest step of the engine in 0.5 s of traffic: {:.1} ms",
        longest_step_ms(&daemon)?
    );
    for revision in 2..=1 + CHANGES {
        measure_change(&daemon, &endpoint, &folder, revision)?;
    }
    println!(
        "resident after {CHANGES} changes: {} kB",
        daemon.resource_usage()?.resident_kb
    );
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        join(client)??;
    }
    Ok(())
}

/// Starts clients that submit messages for the only endpoint that has a server.
fn start_clients(address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Measured<usize>>> {
    (0..CLIENTS)
        .map(|number| Client {
            number,
            address,
            destination: 0,
            connections: Connections::Kept,
        })
        .map(|client| {
            let stop = Arc::clone(stop);
            thread::spawn(move || client.run(|_| stop.load(Ordering::Relaxed)))
        })
        .collect()
}

/// Puts another revision of the list in force, and prints the time and memory that this took.
fn measure_change(
    daemon: &Daemon,
    endpoint: &CountingEndpoint,
    folder: &TemporaryFolder,
    revision: u64,
) -> Measured<()> {
    let text = list(revision, endpoint.address, revision);
    let delivered_before = endpoint.calls();
    let started_at = Instant::now();
    let new_file = folder.write("roster.new", &text)?;
    fs::rename(new_file, folder.path().join(LIST_FILE))?;
    daemon.wait_for_log(&format!("revision={revision}"))?;
    let took = started_at.elapsed();
    let delivered = endpoint.calls() - delivered_before;
    thread::sleep(TRAFFIC);
    println!(
        "revision {revision}, 10,000 endpoints change: in force after {:.0} ms, {delivered} delivered meanwhile; \
         longest step so far {:.1} ms; resident {} kB",
        took.as_secs_f64() * 1000.0,
        longest_step_ms(daemon)?,
        daemon.resource_usage()?.resident_kb
    );
    Ok(())
}

fn longest_step_ms(daemon: &Daemon) -> Measured<f64> {
    Ok(daemon.counter("longest_step_us")? as f64 / 1000.0)
}

fn manifest() -> String {
    let mut manifest = format!("{CLASS}[roster]\npath = \"roster.toml\"\n");
    for number in 0..DESTINATIONS {
        let _ = write!(manifest, "[destination.clinic-{number}]\nrate = 1000\n");
    }
    manifest + &instance_table(any_port(), "0 = \"clinic-0\"")
}

/// Returns a list of [`DESTINATIONS`] with two endpoints each. `endpoint` is the first endpoint of the first destination.
fn list(revision: u64, endpoint: SocketAddr, weight: u64) -> String {
    let mut text = format!("revision = {revision}\n");
    for number in 0..DESTINATIONS {
        let (high, low) = (number >> 8, number & 255);
        let first = if number == 0 {
            endpoint.to_string()
        } else {
            format!("127.1.{high}.{low}:8080")
        };
        let _ = write!(
            text,
            "\n[destination.clinic-{number}]\nendpoints = [\n    {{ name = \"{number}-1\", address = \"{first}\", weight = {weight} }},\n    \
             {{ name = \"{number}-2\", address = \"127.2.{high}.{low}:8080\", weight = 1, draining = true }},\n]\n"
        );
    }
    text + &format!("\n[end]\nrevision = {revision}\n")
}
