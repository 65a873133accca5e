//! Measures the recovery ramp of destinations after an outage that several instances observed.

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

/// Instances that observe the outage, each a process with its own folder.
const INSTANCES: usize = 3;
/// Number of destinations, most of which are idle.
const DESTINATIONS: usize = 10_000;
/// The destinations that have an outage. One name is a prefix of the other.
const NAMES: [&str; 2] = ["a", "a-1"];
/// Capacity of a warm destination, in calls per second.
const WARM_RATE: f64 = 20.0;
/// Capacity of a destination when its recovery begins, as a share of [`WARM_RATE`].
const COLD_SHARE: f64 = 0.27;
/// Time in which a destination's capacity rises to [`WARM_RATE`], in seconds.
const WARM_UP_S: f64 = 10.0;
/// A load above this multiple of its capacity overloads a destination.
const OVERLOAD_FACTOR: f64 = 1.5;
/// The window in which calls are counted, in seconds.
const WINDOW_S: f64 = 2.0;
/// Submitted calls, as a multiple of [`WARM_RATE`].
const OFFERED_LOAD: f64 = 1.2;
/// Time that a destination takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time with traffic before the outage.
const BEFORE_OUTAGE: Duration = Duration::from_secs(8);
/// The parts of the outage before and after the point at which an instance may be killed.
const OUTAGE: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(3)];
/// Time after the outage that is observed, in seconds.
const OBSERVED_S: usize = 18;

/// The treatment of the instances during the outage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    AllRun,
    OneIsKilled,
}

/// Measures one build, first with all instances running and then with one of them killed.
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
    // The addresses are reserved because each instance's next incarnation must have the same one.
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

    /// Returns the times of all calls since `start`, in seconds after it.
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

/// One instance with its own folder.
struct Instance {
    folder: TemporaryFolder,
    address: SocketAddr,
    /// `None` during a restart.
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

    /// Kills the instance, and starts its next incarnation.
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

/// Starts one client for each instance and destination. Together the clients submit more than the destinations' capacity.
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
        // The restart of an instance breaks the connection, and the client connects again.
        let _ = client.run(|_| {
            thread::sleep(pause);
            stop.load(Ordering::Relaxed)
        });
        thread::sleep(pause);
    }
}

/// Prints how the calls to one destination increased. `calls` are their times after the outage, in seconds.
fn print_recovery(name: &str, calls: &[f64]) {
    // The destination warms up from its first call on, like a server with cold caches.
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

/// Returns the number of calls in each bin. A second has `per_second` bins.
fn calls_by_bin(calls: &[f64], per_second: f64, bins: usize) -> Vec<usize> {
    let bin_of = |at: &f64| (*at * per_second) as usize;
    (0..bins)
        .map(|bin| calls.iter().filter(|at| bin_of(at) == bin).count())
        .collect()
}
