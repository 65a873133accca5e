//! The recovery ramp of destinations after an outage that several instances saw.

use crate::daemon::{instance_table, Daemon, CLASS};
use crate::load::{join, Client, Connections};
use crate::Measured;
use marblefall_process_harness::http::Message;
use marblefall_process_harness::network::reserve_addresses;
use marblefall_process_harness::server::{self, Reply};
use marblefall_process_harness::TemporaryFolder;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Instances that see the outage, each a process with a folder of its own.
const INSTANCES: usize = 3;
/// All destinations, most of them idle.
const DESTINATIONS: usize = 10_000;
/// The destinations that have an outage. One name is the beginning of the other.
const NAMES: [&str; 2] = ["a", "a-1"];
/// Calls per second that a destination takes when it is warm.
const WARM_RATE: f64 = 20.0;
/// Share of that rate that a destination takes as it recovers.
const COLD_SHARE: f64 = 0.27;
/// How long a destination warms up, in seconds.
const WARM_UP_S: f64 = 10.0;
/// More than this multiple of what a destination takes overloads it.
const OVERLOAD_FACTOR: f64 = 1.5;
/// The window in which calls are counted, in seconds.
const WINDOW_S: f64 = 2.0;
/// Calls that are submitted, as a multiple of the warm rate.
const OFFERED_LOAD: f64 = 1.2;
/// How long a call takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long traffic runs before the outage.
const BEFORE_OUTAGE: Duration = Duration::from_secs(8);
/// How long the outage lasts before an instance is killed, and after that.
const OUTAGE: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(3)];
/// Seconds after the outage that are observed.
const OBSERVED_S: usize = 18;

/// What happens to the instances during the outage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    AllRun,
    OneIsKilled,
}

/// Measures one build with and without the kill of an instance.
pub fn measure(build: &str) -> Measured<()> {
    measure_variant(build, Variant::AllRun)?;
    measure_variant(build, Variant::OneIsKilled)
}

fn measure_variant(build: &str, variant: Variant) -> Measured<()> {
    let destinations = [
        SwitchableDestination::start()?,
        SwitchableDestination::start()?,
    ];
    let tables = destination_tables(&destinations);
    let mut instances = Vec::new();
    // The addresses are reserved, as they must be the same in the next incarnation.
    for (number, address) in reserve_addresses(INSTANCES)?.into_iter().enumerate() {
        instances.push(Instance::start(build, number, address, &tables)?);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&instances, &stop);
    thread::sleep(BEFORE_OUTAGE);
    set_available(&destinations, false);
    thread::sleep(OUTAGE[0]);
    if variant == Variant::OneIsKilled {
        instances[0].restart(build)?;
    }
    thread::sleep(OUTAGE[1]);
    set_available(&destinations, true);
    let recovered_at = Instant::now();
    thread::sleep(Duration::from_secs(OBSERVED_S as u64));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        join(client)?;
    }
    println!(
        "{}:",
        match variant {
            Variant::AllRun => "all three run",
            Variant::OneIsKilled => "one killed during the outage and restarted",
        }
    );
    for (name, destination) in NAMES.iter().zip(&destinations) {
        print_recovery(name, &destination.seconds_since(recovered_at));
    }
    Ok(())
}

/// A destination that can be made unavailable, and records when each call was received while it was available.
struct SwitchableDestination {
    address: SocketAddr,
    is_available: Arc<AtomicBool>,
    received_at: Arc<Mutex<Vec<Instant>>>,
}

impl SwitchableDestination {
    fn start() -> Measured<SwitchableDestination> {
        let is_available = Arc::new(AtomicBool::new(true));
        let received_at = Arc::<Mutex<Vec<Instant>>>::default();
        let (available, received) = (Arc::clone(&is_available), Arc::clone(&received_at));
        let address = server::start("an endpoint's port", move |_: &Message| {
            if !available.load(Ordering::SeqCst) {
                return Reply::Close;
            }
            let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
            received.push(Instant::now());
            drop(received);
            thread::sleep(SERVICE_TIME);
            Reply::ok()
        })?;
        Ok(SwitchableDestination {
            address,
            is_available,
            received_at,
        })
    }

    /// The times of all calls since a moment, in seconds.
    fn seconds_since(&self, start: Instant) -> Vec<f64> {
        let received_at = self
            .received_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        received_at
            .iter()
            .filter_map(|at| at.checked_duration_since(start))
            .map(|since| since.as_secs_f64())
            .collect()
    }
}

fn set_available(destinations: &[SwitchableDestination], is_available: bool) {
    for destination in destinations {
        destination
            .is_available
            .store(is_available, Ordering::SeqCst);
    }
}

/// One instance in a folder of its own.
struct Instance {
    folder: TemporaryFolder,
    address: SocketAddr,
    /// None while it is restarted.
    daemon: Option<Daemon>,
}

impl Instance {
    fn start(
        build: &str,
        number: usize,
        address: SocketAddr,
        destination_tables: &str,
    ) -> Measured<Instance> {
        let folder = TemporaryFolder::new(&format!("measure-recovery-{number}"))?;
        let instance = instance_table(address, "0 = \"a\", 1 = \"a-1\"");
        let others = INSTANCES - 1;
        let manifest =
            format!("[fleet]\nelsewhere = {others}\n{CLASS}{destination_tables}{instance}");
        Daemon::apply(build, &folder, &manifest)?;
        let daemon = Some(Daemon::start(build, &folder)?);
        Ok(Instance {
            folder,
            address,
            daemon,
        })
    }

    /// Kills it, and starts its next incarnation.
    fn restart(&mut self, build: &str) -> Measured<()> {
        drop(self.daemon.take());
        self.daemon = Some(Daemon::start(build, &self.folder)?);
        Ok(())
    }
}

fn destination_tables(destinations: &[SwitchableDestination]) -> String {
    let mut tables = String::new();
    for (name, destination) in NAMES.iter().zip(destinations) {
        let _ = write!(
            tables,
            "[destination.{name}]\nrate = {WARM_RATE}\nendpoints = [{{ name = \"{name}-0\", address = \"{}\" }}]\n",
            destination.address
        );
    }
    for number in NAMES.len()..DESTINATIONS {
        let (high, low) = (number >> 8, number & 255);
        let _ = write!(
            tables,
            "[destination.a-{number}]\nendpoints = [{{ name = \"a-{number}-0\", address = \"127.1.{high}.{low}:8080\" }}]\n"
        );
    }
    tables
}

/// Starts a client of each instance for each destination, which together submit more than the destinations take.
fn start_clients(instances: &[Instance], stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
    let pause = Duration::from_secs_f64(INSTANCES as f64 / (OFFERED_LOAD * WARM_RATE));
    let mut clients = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        for destination in 0..NAMES.len() {
            let (stop, address) = (Arc::clone(stop), instance.address);
            clients.push(thread::spawn(move || {
                run_client(number, address, destination, pause, &stop);
            }));
        }
    }
    clients
}

fn run_client(
    number: usize,
    address: SocketAddr,
    destination: usize,
    pause: Duration,
    stop: &AtomicBool,
) {
    let mut connections = 0;
    while !stop.load(Ordering::Relaxed) {
        connections += 1;
        let client = Client {
            number: number + 10 * connections,
            address,
            destination,
            connections: Connections::Kept,
        };
        // An instance that is restarted breaks the connection, and is connected to again.
        let _ = client.run(|_| {
            thread::sleep(pause);
            stop.load(Ordering::Relaxed)
        });
        thread::sleep(pause);
    }
}

/// Prints how the calls to one destination grew. `calls` are their times after the outage, in seconds.
fn print_recovery(name: &str, calls: &[f64]) {
    // A destination warms up from its first call on, as one does whose caches are cold.
    let first = calls.first().copied().unwrap_or(0.0);
    let capacity = |at: f64| {
        let warm = ((at - first) / WARM_UP_S).clamp(0.0, 1.0);
        WARM_RATE * (COLD_SHARE + (1.0 - COLD_SHARE) * warm)
    };
    let load = |end: f64| {
        let in_window = |at: &&f64| **at > end - WINDOW_S && **at <= end;
        calls.iter().filter(in_window).count() as f64 / WINDOW_S
    };
    let worst = calls
        .iter()
        .map(|end| load(*end) / capacity(*end))
        .fold(0.0, f64::max);
    let at_full_load = calls.iter().find(|end| load(**end) >= 0.9 * WARM_RATE);
    let by_second = calls_by_bin(calls, 1.0, OBSERVED_S);
    let by_tenth = calls_by_bin(calls, 10.0, 10 * OBSERVED_S);
    println!(
        "    {name}: calls by second after the return {by_second:?}; {} at most in 100 ms",
        by_tenth.iter().max().unwrap_or(&0)
    );
    println!(
        "        first after {first:.2} s; at worst {worst:.2} times what it can do, over any 2 s ({OVERLOAD_FACTOR} \
         overloads it); nine tenths of its full load after {}",
        at_full_load.map_or("more than 18 s".to_owned(), |at| format!("{at:.1} s"))
    );
}

/// How many calls are in each bin, of which there are `per_second` in a second.
fn calls_by_bin(calls: &[f64], per_second: f64, bins: usize) -> Vec<usize> {
    let bin_of = |at: &f64| (*at * per_second) as usize;
    (0..bins)
        .map(|bin| calls.iter().filter(|at| bin_of(at) == bin).count())
        .collect()
}
