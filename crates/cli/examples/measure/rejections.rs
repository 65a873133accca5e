//! Measures deliveries to a destination that rejects every fourth call at random, with 503 and no Retry-After, although it
//! has capacity for more.

use crate::daemon::{any_port, destination_table, instance_table, Daemon, CLASS};
use crate::load::join;
use crate::Measured;
use marblefall_process_harness::cloud_events::CloudEvent;
use marblefall_process_harness::http::Message;
use marblefall_process_harness::server::{self, Reply};
use marblefall_process_harness::TemporaryFolder;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Events in a run.
const EVENTS: usize = 300;
/// Clients in a run, each with one connection and one event at a time.
const CLIENTS: usize = 16;
/// Time that the destination takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// The destination's rate in the manifest, in calls per second.
const RATE: f64 = 20.0;

/// The outcomes of events.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    delivered: usize,
    undelivered: usize,
}

/// Measures one build.
pub fn measure(build: &str) -> Measured<()> {
    let folder = TemporaryFolder::new("measure-rejections")?;
    let calls = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&calls);
    let endpoint = server::start("an endpoint's port", move |_: &Message| {
        let call = counted.fetch_add(1, Ordering::SeqCst) as u64;
        thread::sleep(SERVICE_TIME);
        Reply::status(if is_rejected(call) { 503 } else { 200 })
    })?;
    let destination = destination_table("a", RATE, endpoint);
    let instance = instance_table(any_port(), "0 = \"a\"");
    let events = "events = { listen = \"127.0.0.1:0\", path = \"/events\", destination_attribute = \"clinic\", \
                  types = { status = \"status\" } }\n";
    Daemon::apply(
        build,
        &folder,
        &format!("{CLASS}{destination}{instance}{events}"),
    )?;
    let daemon = Daemon::start(build, &folder)?;
    let address = daemon.logged_address("takes events at ")?;
    let started_at = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || submit_events(address, client)))
        .collect();
    let mut total = Outcomes::default();
    for client in clients {
        let outcomes = join(client)??;
        total.delivered += outcomes.delivered;
        total.undelivered += outcomes.undelivered;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    println!(
        "{build}: {} delivered, {} not, in {seconds:.1} s: {:.1} delivered a second; {} calls",
        total.delivered,
        total.undelivered,
        total.delivered as f64 / seconds,
        calls.load(Ordering::SeqCst)
    );
    Ok(())
}

/// Returns whether a call is rejected, by a hash of its number: the same calls in each run, without a pattern in time.
fn is_rejected(call: u64) -> bool {
    let mixed = (call + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 31).wrapping_mul(0xD134_2543_DE82_EF95) >> 62 == 0
}

/// Submits a client's share of the events on one connection. Each response is the final outcome of its event.
fn submit_events(address: SocketAddr, client: usize) -> Measured<Outcomes> {
    let mut outcomes = Outcomes::default();
    let mut connection = BufReader::new(TcpStream::connect(address)?);
    for number in (client..EVENTS).step_by(CLIENTS) {
        let event = CloudEvent {
            id: &format!("r{number}"),
            event_type: "status",
            destination: "a",
            idempotency_key: "",
            data: b"",
        };
        let request = event.to_request().to_bytes();
        connection.get_mut().write_all(&request)?;
        let response = Message::read(&mut connection).ok_or("the connection was closed")?;
        if response.status() == 204 {
            outcomes.delivered += 1;
        } else {
            outcomes.undelivered += 1;
        }
    }
    Ok(outcomes)
}
