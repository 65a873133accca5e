//! Measures whole processes over loopback, against a stand-in partner of its own:
//!
//!     cargo build --release --workspace --bins --examples
//!     target/release/examples/measure message target/release/marblefall [OTHER ...]
//!     target/release/examples/measure roster target/release/marblefall
//!     target/release/examples/measure idle target/release/marblefall
//!     target/release/examples/measure return target/release/marblefall
//!     target/release/examples/measure refusals target/release/marblefall [OTHER ...]
//!
//! `message`: CPU and memory for each message, of one build or of several in turn. `roster`: what a roster of 10,000
//! destinations and 20,000 endpoints costs to plan, to start with and to take up while messages are delivered. `idle`:
//! what destinations cost that nobody asks for. `return`: how a partner that was out is eased back by three couriers,
//! each a process of its own, that all saw it fail, among 10,000 idle ones; once as they are, once with one of them killed
//! during the outage. `refusals`:
//! what a partner gets that turns every fourth call away at random.

#![allow(
    clippy::too_many_lines,
    reason = "a measurement tells one course of events"
)]

use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Done<T> = Result<T, Box<dyn Error + Send + Sync>>;

const ROUNDS: usize = 5;
const CLIENTS: usize = 8;
const MESSAGES: usize = 20_000;
const DESTINATIONS: usize = 10_000;
/// Times that the roster is changed.
const CHANGES: u64 = 5;
/// The unit of CPU times in `/proc`, in seconds: fixed for programs on Linux.
const TICK_S: f64 = 0.01;

fn main() -> Done<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.split_first() {
        Some((word, builds)) if word == "message" && !builds.is_empty() => messages(builds),
        Some((word, [build])) if word == "roster" => roster(build),
        Some((word, builds)) if word == "idle" && !builds.is_empty() => {
            println!("destinations with one endpoint each, a fleet of one");
            builds.iter().try_for_each(|build| {
                [10, 10_000, 100_000]
                    .into_iter()
                    .try_for_each(|n| idle(build, n))
            })
        }
        Some((word, [build])) if word == "return" => [false, true]
            .into_iter()
            .try_for_each(|kill| comes_back(build, kill)),
        Some((word, builds)) if word == "refusals" => {
            builds.iter().try_for_each(|build| refusals(build))
        }
        _ => Err(
            "usage: measure message|idle|refusals BUILD... | measure roster|return BUILD".into(),
        ),
    }
}

/// A partner that asks what to answer once a request's head is there; nothing closes the connection.
fn stand_in(
    answer: impl Fn() -> Option<&'static str> + Clone + Send + 'static,
) -> Done<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || -> Done<()> {
                let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
                while let Some(length) = head(&mut reader)?.1 {
                    let Some(status) = answer() else { break };
                    reader.read_exact(&mut vec![0; length])?;
                    writer.write_all(
                        format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
                    )?;
                }
                Ok(())
            });
        }
    });
    Ok(at)
}

/// Takes requests at once and answers 200 to each; counts them.
fn partner() -> Done<(SocketAddr, Arc<AtomicUsize>)> {
    let calls = Arc::<AtomicUsize>::default();
    let counted = calls.clone();
    let at = stand_in(move || {
        counted.fetch_add(1, Ordering::Relaxed);
        Some("200 OK")
    })?;
    Ok((at, calls))
}

/// The first line of a message and the length of what follows its head; no length where the connection ended.
fn head(from: &mut impl BufRead) -> Done<(String, Option<usize>)> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok((first, None));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first, Some(length)));
        }
        if first.is_empty() {
            line.clone_into(&mut first);
        } else if let Some((_, value)) = line
            .split_once(": ")
            .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        {
            length = value.parse()?;
        }
    }
}

/// A folder that is made anew.
fn folder(name: &str) -> Done<PathBuf> {
    let path =
        std::env::temp_dir().join(format!("marblefall-measure-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path)?;
    Ok(path)
}

/// A daemon that is killed when this goes.
struct Daemon {
    child: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    /// Plans and applies a file, then runs it; gives the seconds that `plan` took and those until it listened.
    fn start(build: &str, folder: &Path, file: &str) -> Done<(Daemon, SocketAddr, f64, f64)> {
        let (path, plan, home) = (
            folder.join("fleet.toml"),
            folder.join("plan"),
            folder.join("home"),
        );
        fs::write(&path, file)?;
        let begun = Instant::now();
        run(Command::new(build)
            .arg("plan")
            .args([&path, &home])
            .arg("--out")
            .arg(&plan))?;
        let planned = begun.elapsed().as_secs_f64();
        run(Command::new(build).arg("apply").args([&plan, &home]))?;
        let (log, begun) = (folder.join("log"), Instant::now());
        let child = Command::new(build)
            .arg("run")
            .arg(&home)
            .stderr(fs::File::create(&log)?)
            .stdin(Stdio::null())
            .spawn()?;
        let daemon = Daemon { child, log };
        let at = daemon.wait("listens at ")?.parse()?;
        Ok((daemon, at, planned, begun.elapsed().as_secs_f64()))
    }

    /// What stands behind some words in its log, once they are there.
    fn wait(&self, marker: &str) -> Done<String> {
        let until = Instant::now() + Duration::from_secs(60);
        loop {
            let log = fs::read_to_string(&self.log)?;
            if let Some((_, rest)) = log.rsplit_once(marker) {
                if let Some((word, _)) = rest.split_once('\n') {
                    return Ok(word.trim().to_owned());
                }
            }
            if Instant::now() > until {
                return Err(format!("waited in vain for {marker:?}:\n{log}").into());
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// CPU time so far in seconds, and the memory that is resident in kB.
    fn cost(&self) -> Done<(f64, u64)> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = fs::read_to_string(proc.join("stat"))?;
        let fields: Vec<&str> = stat
            .rsplit_once(')')
            .ok_or("no stat")?
            .1
            .split_whitespace()
            .collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(proc.join("status"))?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .ok_or("no VmRSS")?;
        Ok((
            ticks * TICK_S,
            resident.trim().trim_end_matches(" kB").parse()?,
        ))
    }

    /// One of its counters, as they are now.
    fn counter(&self, name: &str) -> Done<u64> {
        let before = fs::read_to_string(&self.log)?
            .matches(&format!("{name}="))
            .count();
        run(Command::new("kill").args(["-s", "USR1", &self.child.id().to_string()]))?;
        let until = Instant::now() + Duration::from_secs(10);
        while fs::read_to_string(&self.log)?
            .matches(&format!("{name}="))
            .count()
            == before
        {
            if Instant::now() > until {
                return Err("no counters".into());
            }
            thread::sleep(Duration::from_millis(2));
        }
        Ok(self
            .wait(&format!("{name}="))?
            .split(' ')
            .next()
            .unwrap_or_default()
            .parse()?)
    }
}

fn run(command: &mut Command) -> Done<()> {
    let done = command.output()?;
    match done.status.success() {
        true => Ok(()),
        false => Err(format!("{command:?}: {}", String::from_utf8_lossy(&done.stderr)).into()),
    }
}

const CLASS: &str = "[class.status]\nrepeats = \"free\"\nwanted_ms = 2000\ngive_up_ms = 20000\n";

fn instance(numbers: &str) -> String {
    format!(
        "[instance.one]\nrelay = {{ listen = \"127.0.0.1:0\", notices = \"127.0.0.1:9\", numbers = {{ {numbers} }} }}\n"
    )
}

/// Hands messages in by the platform's protocol, each client its part over a kept connection, or each over its own.
fn hand_in(at: SocketAddr, client: usize, kept: bool, over: &dyn Fn(usize) -> bool) -> Done<usize> {
    hand_in_to(at, client, 0, kept, over)
}

/// The same to the destination of a number.
fn hand_in_to(
    at: SocketAddr,
    client: usize,
    to: usize,
    kept: bool,
    over: &dyn Fn(usize) -> bool,
) -> Done<usize> {
    let mut link: Option<BufReader<TcpStream>> = None;
    let mut taken = 0;
    for turn in 0.. {
        if over(turn) {
            break;
        }
        let mut reader = match link.take().filter(|_| kept) {
            Some(link) => link,
            None => BufReader::new(TcpStream::connect(at)?),
        };
        let text = format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: {client}-{to}-{turn}\r\nX-Call-Class: status\r\nX-Budget-Ms: 20000\r\n\
             X-Envelope: dest={to}\r\nContent-Length: 4\r\n\r\nbody"
        );
        reader.get_mut().write_all(text.as_bytes())?;
        let (first, _) = head(&mut reader)?;
        match first.split(' ').nth(1) {
            Some("202") => taken += 1,
            Some("503" | "429") => thread::sleep(Duration::from_millis(5)),
            _ => return Err(format!("answered {first:?}").into()),
        }
        link = Some(reader);
    }
    Ok(taken)
}

fn messages(builds: &[String]) -> Done<()> {
    println!(
        "{MESSAGES} messages by {CLIENTS} clients to one partner, {ROUNDS} rounds in turn; medians"
    );
    for kept in [true, false] {
        let mut figures = vec![Vec::new(); builds.len()];
        for round in 0..ROUNDS {
            for (build, figures) in builds.iter().zip(&mut figures) {
                let folder = folder(&format!("message-{round}"))?;
                let (partner, calls) = partner()?;
                let destination = format!(
                    "[destination.a]\nrate = 100000\nendpoints = [{{ name = \"a-1\", address = \"{partner}\" }}]\n"
                );
                let file = format!("{CLASS}{destination}{}", instance("0 = \"a\""));
                let (daemon, at, ..) = Daemon::start(build, &folder, &file)?;
                let (before, idle) = daemon.cost()?;
                let clients: Vec<_> = (0..CLIENTS)
                    .map(|client| {
                        thread::spawn(move || {
                            hand_in(at, client, kept, &|turn| turn >= MESSAGES / CLIENTS)
                        })
                    })
                    .collect();
                let mut taken = 0;
                for client in clients {
                    taken += client.join().map_err(|_| "a client died")??;
                }
                let until = Instant::now() + Duration::from_secs(30);
                while calls.load(Ordering::Relaxed) < taken && Instant::now() < until {
                    thread::sleep(Duration::from_millis(2));
                }
                let (after, resident) = daemon.cost()?;
                figures.push(((after - before) * 1e6 / taken as f64, resident, idle));
                drop(daemon);
                fs::remove_dir_all(&folder)?;
            }
        }
        let way = if kept {
            "kept connections"
        } else {
            "a connection for each message"
        };
        for (build, mut figures) in builds.iter().zip(figures) {
            figures.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (least, most) = (figures[0].0, figures[ROUNDS - 1].0);
            let (cpu, resident, idle) = figures[ROUNDS / 2];
            println!(
                "{way}: {build}: {cpu:.1} us of CPU a message ({least:.1} to {most:.1}), resident {idle} kB idle, \
                 {resident} kB after"
            );
        }
    }
    Ok(())
}

/// Many destinations with two endpoints each, the first of them the partner.
fn list(revision: u64, partner: SocketAddr, weight: u32) -> String {
    let mut text = format!("revision = {revision}\n");
    for number in 0..DESTINATIONS {
        let (high, low) = (number >> 8, number & 255);
        let first = if number == 0 {
            partner.to_string()
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

fn roster(build: &str) -> Done<()> {
    let folder = folder("roster")?;
    let (partner, calls) = partner()?;
    let mut file = format!("{CLASS}[roster]\npath = \"roster.toml\"\n");
    for number in 0..DESTINATIONS {
        let _ = write!(file, "[destination.clinic-{number}]\nrate = 1000\n");
    }
    file += &instance("0 = \"clinic-0\"");
    let path = folder.join("roster.toml");
    fs::write(&path, list(1, partner, 1))?;
    let (daemon, at, planned, started) = Daemon::start(build, &folder, &file)?;
    let (_, resident) = daemon.cost()?;
    println!(
        "{DESTINATIONS} destinations, {} endpoints",
        2 * DESTINATIONS
    );
    println!("plan: {planned:.3} s; start until it listens: {started:.3} s; resident then: {resident} kB");
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let over = over.clone();
            thread::spawn(move || hand_in(at, client, true, &|_| over.load(Ordering::Relaxed)))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let first = daemon.counter("longest_step_us")?;
    println!(
        "longest step of the engine in 0.5 s of traffic: {:.1} ms",
        first as f64 / 1000.0
    );
    for revision in 2..=1 + CHANGES {
        let (text, before) = (
            list(revision, partner, revision as u32),
            calls.load(Ordering::Relaxed),
        );
        let begun = Instant::now();
        fs::write(folder.join("beside"), text)?;
        fs::rename(folder.join("beside"), &path)?;
        daemon.wait(&format!("revision={revision}"))?;
        let (_, resident) = daemon.cost()?;
        let (took, delivered) = (begun.elapsed(), calls.load(Ordering::Relaxed) - before);
        // The changes reach the engine in parts after they are in force.
        thread::sleep(Duration::from_millis(500));
        let longest = daemon.counter("longest_step_us")?;
        println!(
            "revision {revision}, 10,000 endpoints change: in force after {:.0} ms, {delivered} delivered meanwhile; \
             longest step so far {:.1} ms; resident {resident} kB",
            took.as_secs_f64() * 1000.0,
            longest as f64 / 1000.0
        );
    }
    let (_, resident) = daemon.cost()?;
    println!("resident after {CHANGES} changes: {resident} kB");
    over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client died")??;
    }
    drop(daemon);
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// What so many destinations cost that are never used, and what a message costs beside them: one that is delivered at
/// once, and one that waits for an endpoint that is dead.
fn idle(build: &str, destinations: usize) -> Done<()> {
    let folder = folder("idle")?;
    let (partner, calls) = partner()?;
    let mut file = format!(
        "{CLASS}[destination.a]\nrate = 1000\nendpoints = [{{ name = \"a-1\", address = \"{partner}\" }}]\n"
    );
    file += "[destination.dead]\nendpoints = [{ name = \"dead-1\", address = \"127.0.0.1:9\" }]\n";
    for number in 2..destinations {
        let (high, low) = (number >> 8 & 255, number & 255);
        let _ = write!(
            file,
            "[destination.clinic-{number}]\nrate = 2\npath = \"/notices\"\nendpoints = [{{ name = \"clinic-{number}-1\", \
             address = \"127.{}.{high}.{low}:8080\" }}]\n",
            1 + (number >> 16)
        );
    }
    file += &instance("0 = \"a\", 1 = \"dead\"");
    let (daemon, at, planned, started) = Daemon::start(build, &folder, &file)?;
    let (before, resident) = daemon.cost()?;
    println!("{build}: {destinations} destinations: plan {planned:.3} s, start {started:.3} s, resident {resident} kB");
    let taken = hand_in(at, 0, true, &|turn| turn >= 10_000)?;
    let until = Instant::now() + Duration::from_secs(30);
    while calls.load(Ordering::Relaxed) < taken && Instant::now() < until {
        thread::sleep(Duration::from_millis(2));
    }
    let (after, _) = daemon.cost()?;
    println!(
        "    {:.1} us of CPU a message, one after the other",
        (after - before) * 1e6 / taken as f64
    );
    let mut waiting = TcpStream::connect(at)?;
    waiting.write_all(
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: waits\r\nX-Call-Class: status\r\nX-Budget-Ms: 20000\r\n\
          X-Envelope: dest=1\r\nContent-Length: 0\r\n\r\n",
    )?;
    thread::sleep(Duration::from_secs(5));
    let (waited, resident) = daemon.cost()?;
    println!(
        "    {:.2} s of CPU while one message waits 5 s; resident {resident} kB",
        waited - after
    );
    drop(daemon);
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Messages of the run with refusals, and connections over which they are offered, one after the other on each.
const OFFERED: (usize, usize) = (300, 16);

/// How a partner is served that turns every fourth call away at random, with 503 and no wait, and has room for more.
fn refusals(build: &str) -> Done<()> {
    let folder = folder("refusals")?;
    let calls = Arc::<AtomicUsize>::default();
    let counted = calls.clone();
    let partner = stand_in(move || {
        // A hash of the call's number: the same calls in each run, without any pattern in time.
        let call = counted.fetch_add(1, Ordering::SeqCst) as u64;
        let mixed = (call + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let turned_away = (mixed ^ mixed >> 31).wrapping_mul(0xD134_2543_DE82_EF95) >> 62 == 0;
        thread::sleep(Duration::from_millis(50));
        Some(if turned_away {
            "503 Service Unavailable"
        } else {
            "200 OK"
        })
    })?;
    let file = format!(
        "{CLASS}[destination.a]\nrate = {FULL}\nendpoints = [{{ name = \"a-1\", address = \"{partner}\" }}]\n{}",
        instance("0 = \"a\"")
    ) + "events = { listen = \"127.0.0.1:0\", path = \"/events\", destination_attribute = \"clinic\", \
       types = { status = \"status\" } }\n";
    let (daemon, ..) = Daemon::start(build, &folder, &file)?;
    // Its answer is the message's end.
    let at: SocketAddr = daemon.wait("takes events at ")?.parse()?;
    let begun = Instant::now();
    let clients: Vec<_> = (0..OFFERED.1)
        .map(|client| {
            thread::spawn(move || -> Result<[usize; 2], String> {
                let mut ends = [0; 2];
                let mut stream = TcpStream::connect(at).map_err(|error| error.to_string())?;
                let mut reader = BufReader::new(stream.try_clone().map_err(|error| error.to_string())?);
                for turn in (client..OFFERED.0).step_by(OFFERED.1) {
                    let head = format!(
                        "POST /events HTTP/1.1\r\nHost: x\r\nce-specversion: 1.0\r\nce-id: r{turn}\r\nce-source: /s\r\n\
                         ce-type: status\r\nce-clinic: a\r\nContent-Length: 0\r\n\r\n"
                    );
                    stream.write_all(head.as_bytes()).map_err(|error| error.to_string())?;
                    let (first, length) = self::head(&mut reader).map_err(|error| error.to_string())?;
                    let mut body = vec![0; length.ok_or("the connection was closed")?];
                    reader.read_exact(&mut body).map_err(|error| error.to_string())?;
                    ends[usize::from(!first.contains(" 204 "))] += 1;
                }
                Ok(ends)
            })
        })
        .collect();
    let mut ends = [0; 2];
    for client in clients {
        let one = client.join().map_err(|_| "a client died")??;
        ends = [ends[0] + one[0], ends[1] + one[1]];
    }
    let took = begun.elapsed().as_secs_f64();
    println!(
        "{build}: {} delivered, {} not, in {took:.1} s: {:.1} delivered a second; {} calls",
        ends[0],
        ends[1],
        ends[0] as f64 / took,
        calls.load(Ordering::SeqCst)
    );
    drop(daemon);
    fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Couriers that see a partner fail, each a process with a folder of its own.
const COURIERS: usize = 3;
/// Calls a second that the partner takes when it is warm.
const FULL: f64 = 20.0;
/// Where it begins when it comes back, and how long it takes to warm up.
const COLD: (f64, Duration) = (0.27, Duration::from_secs(10));
/// More than this multiple of what it can do, over this time, would push it over.
const TOPPLES: (f64, Duration) = (1.5, Duration::from_secs(2));

/// When calls came.
type Times = Arc<Mutex<Vec<Instant>>>;

/// A partner that can be switched off; notes when each call came that found it on.
fn switched() -> Done<(SocketAddr, Arc<AtomicBool>, Times)> {
    let (on, came) = (Arc::new(AtomicBool::new(true)), Times::default());
    let (switch, noted) = (on.clone(), came.clone());
    let at = stand_in(move || {
        if !switch.load(Ordering::SeqCst) {
            return None;
        }
        noted.lock().ok()?.push(Instant::now());
        thread::sleep(Duration::from_millis(20));
        Some("200 OK")
    })?;
    Ok((at, on, came))
}

fn comes_back(build: &str, kill: bool) -> Done<()> {
    // Two partners that share the beginning of their names.
    let partners = [("a", switched()?), ("a-1", switched()?)];
    let mut listed = String::new();
    for (name, (at, ..)) in &partners {
        let _ = write!(
            listed,
            "[destination.{name}]\nrate = {FULL}\nendpoints = [{{ name = \"{name}-0\", address = \"{at}\" }}]\n"
        );
    }
    for number in 2..DESTINATIONS {
        let (high, low) = (number >> 8, number & 255);
        let _ = write!(
            listed,
            "[destination.a-{number}]\nendpoints = [{{ name = \"a-{number}-0\", address = \"127.1.{high}.{low}:8080\" }}]\n"
        );
    }
    // Ports of their own, as they must be the same in the next life.
    let ports: Vec<u16> = (0..COURIERS)
        .map(|_| Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port()))
        .collect::<Done<_>>()?;
    let mut couriers = Vec::new();
    for port in &ports {
        let folder = folder(&format!("return-{port}"))?;
        let front =
            instance("0 = \"a\", 1 = \"a-1\"").replace("127.0.0.1:0", &format!("127.0.0.1:{port}"));
        let file = format!(
            "[fleet]\nelsewhere = {}\n{CLASS}{listed}{front}",
            COURIERS - 1
        );
        let (daemon, ..) = Daemon::start(build, &folder, &file)?;
        couriers.push((folder, daemon));
    }
    let over = Arc::new(AtomicBool::new(false));
    // A fifth more than each partner takes, by the couriers together.
    let every = Duration::from_secs_f64(COURIERS as f64 / (1.2 * FULL));
    let clients: Vec<_> = ports
        .iter()
        .enumerate()
        .flat_map(|(client, port)| (0..partners.len()).map(move |number| (client, *port, number)))
        .map(|(client, port, number)| {
            let (over, at) = (over.clone(), SocketAddr::from(([127, 0, 0, 1], port)));
            thread::spawn(move || {
                let mut life = 0;
                while !over.load(Ordering::Relaxed) {
                    life += 1;
                    // A courier that is being started again is asked again.
                    let pause = |_| {
                        thread::sleep(every);
                        over.load(Ordering::Relaxed)
                    };
                    let _ = hand_in_to(at, client + 10 * life, number, true, &pause);
                    thread::sleep(every);
                }
            })
        })
        .collect();
    let switch = |on: bool| {
        partners
            .iter()
            .for_each(|(_, (_, switch, _))| switch.store(on, Ordering::SeqCst))
    };
    thread::sleep(Duration::from_secs(8));
    switch(false);
    thread::sleep(Duration::from_secs(4));
    if kill {
        let (folder, daemon) = couriers.remove(0);
        drop(daemon);
        let (log, home) = (folder.join("log"), folder.join("home"));
        let stderr = fs::File::create(&log)?;
        let child = Command::new(build)
            .arg("run")
            .arg(&home)
            .stderr(stderr)
            .stdin(Stdio::null())
            .spawn()?;
        let daemon = Daemon { child, log };
        daemon.wait("listens at ")?;
        couriers.push((folder, daemon));
    }
    thread::sleep(Duration::from_secs(3));
    switch(true);
    let back = Instant::now();
    thread::sleep(Duration::from_secs(18));
    over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client died")?;
    }
    println!(
        "{}:",
        if kill {
            "one killed during the outage and started again"
        } else {
            "all three live"
        }
    );
    for (name, (_, _, came)) in &partners {
        told_return(name, back, &came.lock().map_err(|_| "poisoned")?);
    }
    for (folder, daemon) in couriers {
        drop(daemon);
        fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

/// Prints how one partner was eased back.
fn told_return(name: &str, back: Instant, came: &[Instant]) {
    let after: Vec<f64> = came
        .iter()
        .filter_map(|at| at.checked_duration_since(back))
        .map(|since| since.as_secs_f64())
        .collect();
    // It warms up from its first call on, as a partner does whose caches are cold.
    let first = after.first().copied().unwrap_or(0.0);
    let can = |at: f64| {
        FULL * (COLD.0 + (1.0 - COLD.0) * ((at - first) / COLD.1.as_secs_f64()).clamp(0.0, 1.0))
    };
    let span = TOPPLES.1.as_secs_f64();
    let load = |end: f64| {
        after
            .iter()
            .filter(|at| **at > end - span && **at <= end)
            .count() as f64
            / span
    };
    let worst = after
        .iter()
        .map(|end| load(*end) / can(*end))
        .fold(0.0, f64::max);
    let full = after.iter().find(|end| load(**end) >= 0.9 * FULL);
    let seconds: Vec<usize> = (0..18)
        .map(|second| after.iter().filter(|at| **at as usize == second).count())
        .collect();
    // The steepest step between two seconds, as far as bins of 100 ms tell.
    let bins: Vec<usize> = (0..180)
        .map(|bin| {
            after
                .iter()
                .filter(|at| (**at * 10.0) as usize == bin)
                .count()
        })
        .collect();
    println!(
        "    {name}: calls by second after the return {seconds:?}; {} at most in 100 ms",
        bins.iter().max().unwrap_or(&0)
    );
    println!(
        "        first after {first:.2} s; at worst {worst:.2} times what it can do, over any 2 s ({} topples it); nine \
         tenths of its full load after {}",
        TOPPLES.0,
        full.map_or("more than 18 s".to_owned(), |at| format!("{at:.1} s"))
    );
}
