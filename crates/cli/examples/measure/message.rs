//! Measures CPU and memory for each message.

use crate::daemon::{any_port, destination_table, instance_table, Daemon, CLASS};
use crate::load::{join, Client, Connections, CountingEndpoint};
use crate::Measured;
use marblefall_process_harness::TemporaryFolder;
use std::thread;

const ROUNDS: usize = 5;
const CLIENTS: usize = 8;
const MESSAGES: usize = 20_000;
/// A rate too high to limit any calls, in calls per second.
const UNLIMITED_RATE: f64 = 100_000.0;

/// The cost of one round of one build.
#[derive(Clone, Copy)]
struct Cost {
    micros_per_message: f64,
    idle_kb: u64,
    resident_kb: u64,
}

/// Measures builds in turn, and prints their medians.
pub fn measure(builds: &[String]) -> Measured<()> {
    println!(
        "{MESSAGES} messages by {CLIENTS} clients to one destination, {ROUNDS} rounds in turn; medians"
    );
    for connections in [Connections::Kept, Connections::OnePerMessage] {
        let mut costs = vec![Vec::new(); builds.len()];
        for _ in 0..ROUNDS {
            for (build, costs) in builds.iter().zip(&mut costs) {
                costs.push(measure_round(build, connections)?);
            }
        }
        for (build, costs) in builds.iter().zip(costs) {
            print_costs(build, connections, costs);
        }
    }
    Ok(())
}

fn measure_round(build: &str, connections: Connections) -> Measured<Cost> {
    let folder = TemporaryFolder::new("measure-message")?;
    let endpoint = CountingEndpoint::start()?;
    let destination = destination_table("a", UNLIMITED_RATE, endpoint.address);
    let instance = instance_table(any_port(), "0 = \"a\"");
    Daemon::apply(build, &folder, &format!("{CLASS}{destination}{instance}"))?;
    let daemon = Daemon::start(build, &folder)?;
    let before = daemon.resource_usage()?;
    let address = daemon.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| Client {
            number,
            address,
            destination: 0,
            connections,
        })
        .map(|client| thread::spawn(move || client.run(|next| next >= MESSAGES / CLIENTS)))
        .collect();
    let mut accepted = 0;
    for client in clients {
        accepted += join(client)??;
    }
    endpoint.wait_for_calls(accepted)?;
    let after = daemon.resource_usage()?;
    let processor_time = after.processor_time - before.processor_time;
    Ok(Cost {
        micros_per_message: processor_time.as_secs_f64() * 1e6 / accepted as f64,
        idle_kb: before.resident_kb,
        resident_kb: after.resident_kb,
    })
}

fn print_costs(build: &str, connections: Connections, mut costs: Vec<Cost>) {
    costs.sort_by(|a, b| a.micros_per_message.total_cmp(&b.micros_per_message));
    let (least, median, most) = (costs[0], costs[ROUNDS / 2], costs[ROUNDS - 1]);
    let connections = match connections {
        Connections::Kept => "kept connections",
        Connections::OnePerMessage => "a connection for each message",
    };
    println!(
        "{connections}: {build}: {:.1} us of CPU a message ({:.1} to {:.1}), resident {} kB idle, {} kB after",
        median.micros_per_message,
        least.micros_per_message,
        most.micros_per_message,
        median.idle_kb,
        median.resident_kb
    );
}
