//! Measures the cost of destinations that are never used, and the cost of a message among them.

use crate::daemon::{any_port, destination_table, instance_table, Daemon, CLASS};
use crate::load::{Client, Connections, CountingEndpoint};
use crate::Measured;
use marblefall_process_harness::platform::PlatformMessage;
use marblefall_process_harness::{TemporaryFolder, WAIT_LIMIT};
use std::fmt::Write as _;
use std::thread;
use std::time::Duration;

const MESSAGES: usize = 10_000;
/// Time for which a message for a dead endpoint is observed.
const PENDING_TIME: Duration = Duration::from_secs(5);

/// Measures builds with few, many and very many destinations.
pub fn measure(builds: &[String]) -> Measured<()> {
    println!("destinations with one endpoint each, a fleet of one");
    for build in builds {
        for destinations in [10, 10_000, 100_000] {
            measure_build(build, destinations)?;
        }
    }
    Ok(())
}

fn measure_build(build: &str, destinations: usize) -> Measured<()> {
    let folder = TemporaryFolder::new("measure-idle")?;
    let endpoint = CountingEndpoint::start()?;
    let active = destination_table("a", 1000.0, endpoint.address);
    let plan_duration = Daemon::apply(build, &folder, &manifest(&active, destinations))?;
    let daemon = Daemon::start(build, &folder)?;
    let before = daemon.resource_usage()?;
    println!(
        "{build}: {destinations} destinations: plan {:.3} s, start {:.3} s, resident {} kB",
        plan_duration.as_secs_f64(),
        daemon.start_duration.as_secs_f64(),
        before.resident_kb
    );
    let client = Client {
        number: 0,
        address: daemon.address,
        destination: 0,
        connections: Connections::Kept,
    };
    let accepted = client.run(|next| next >= MESSAGES)?;
    endpoint.wait_for_calls(accepted)?;
    let after = daemon.resource_usage()?;
    let processor_time = after.processor_time - before.processor_time;
    println!(
        "    {:.1} us of CPU a message, one after the other",
        processor_time.as_secs_f64() * 1e6 / accepted as f64
    );
    let pending = PlatformMessage {
        id: "pending",
        class: "status",
        budget_ms: "20000",
        destination: 1,
        idempotency_key: "",
        body: b"",
    };
    pending.submit(daemon.address, WAIT_LIMIT)?;
    thread::sleep(PENDING_TIME);
    let waited = daemon.resource_usage()?;
    println!(
        "    {:.2} s of CPU while one message waits 5 s; resident {} kB",
        (waited.processor_time - after.processor_time).as_secs_f64(),
        waited.resident_kb
    );
    Ok(())
}

/// Returns a manifest with an active destination, one whose endpoint is dead, and idle ones up to the given number.
fn manifest(active: &str, destinations: usize) -> String {
    let mut manifest = format!("{CLASS}{active}");
    manifest +=
        "[destination.dead]\nendpoints = [{ name = \"dead-1\", address = \"127.0.0.1:9\" }]\n";
    for number in 2..destinations {
        let (high, low) = (number >> 8 & 255, number & 255);
        let _ = write!(
            manifest,
            "[destination.clinic-{number}]\nrate = 2\npath = \"/notices\"\nendpoints = [{{ name = \"clinic-{number}-1\", \
             address = \"127.{}.{high}.{low}:8080\" }}]\n",
            1 + (number >> 16)
        );
    }
    manifest + &instance_table(any_port(), "0 = \"a\", 1 = \"dead\"")
}
