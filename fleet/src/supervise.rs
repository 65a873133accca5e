//! The daemon: runs the fleet that is applied in a folder, each instance on a thread of its own with nothing
//! shared, and takes up what is applied later.

use crate::file::{number_of, Class, Fleet, Repeats};
use crate::listing::{self, Listing};
use crate::plan::APPLIED;
use crate::watch::Watch;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use marblefall_courier::core::engine::{Input, Setup};
use marblefall_courier::daemon::{self, Build, Command, RelayPart, LEAVE};
use marblefall_courier::front::cloudevents::{EventClass, Events};
use marblefall_courier::front::relay::Relay;
use marblefall_courier::net::server::Spawner;
use marblefall_courier::say;
use marblefall_decisions as m;
use std::cell::RefCell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// How often the folder is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// An instance that ended by itself is started again after this.
const AGAIN: Duration = Duration::from_secs(1);
/// An instance that takes up a change lets its legs finish for so long.
const HAND_OVER: Duration = Duration::from_secs(8);

/// What is listened at, by instance and front: a port that the system picks is each instance's own.
type Listeners = BTreeMap<(String, &'static str, SocketAddr), TcpListener>;

struct Running {
    share: Fleet,
    commands: Sender<Command>,
    done: Receiver<()>,
    told_to_end: bool,
}

/// Runs the fleet until the process is told to end.
pub fn run(home: &Path) -> Result<(), String> {
    let signals = daemon::signals()?;
    let early = (applied_at(home), listing::read(home)?);
    // Two daemons over one folder would write into each other's journals.
    let lock = std::fs::File::create(home.join("run.lock")).map_err(|error| error.to_string())?;
    lock.try_lock()
        .map_err(|error| format!("{}: another daemon runs this fleet ({error})", home.display()))?;
    let (commands, told) = async_channel::unbounded();
    let tasks = LocalExecutor::new();
    tasks.spawn(daemon::watch_signals(signals, commands)).detach();
    async_io::block_on(tasks.run(supervise(home, told, early)));
    Ok(())
}

/// When what is applied last changed.
fn applied_at(home: &Path) -> Option<SystemTime> {
    std::fs::metadata(home.join(APPLIED)).and_then(|file| file.modified()).ok()
}

/// Runs the fleet; `early` is what was read before, and when it had changed by then.
async fn supervise(home: &Path, told: Receiver<Command>, early: (Option<SystemTime>, (u64, Fleet, Listing))) {
    let mut early = Some(early);
    let mut fleet = Fleet::default();
    let mut seen: Option<SystemTime> = None;
    let mut running: BTreeMap<String, Running> = BTreeMap::new();
    let mut rest: BTreeMap<String, Instant> = BTreeMap::new();
    let mut listeners: Listeners = BTreeMap::new();
    let mut ending = false;
    let mut rosters: Option<Watch> = None;
    let (mut listing, mut moved) = (Listing::default(), false);
    loop {
        let changed = applied_at(home);
        if changed != seen && !ending {
            seen = changed;
            let read = early.take().filter(|(at, _)| *at == changed);
            match read.map_or_else(|| listing::read(home), |(_, read)| Ok(read)) {
                Ok((revision, applied, destinations)) => {
                    say!("fleet: revision {revision}, {} instances", applied.instances.len());
                    (fleet, listing, moved) = (applied, destinations, true);
                    match &rosters {
                        Some(watch) => watch.hold_to(&fleet),
                        None if fleet.roster.is_some() => match Watch::start(home, &fleet) {
                            Ok(watch) => rosters = Some(watch),
                            Err(cause) => say!(code = "no-rosters", "rosters are not watched: {cause}"),
                        },
                        None => {}
                    }
                }
                Err(cause) => say!("fleet: kept as it was, {cause}"),
            }
        }
        while let Ok(command) = told.try_recv() {
            if matches!(command, Command::Reread) {
                // Looked at again even if its time of change is the same.
                seen = None;
                rosters.iter().for_each(Watch::look);
                continue;
            }
            for one in running.values_mut() {
                let _ = one.commands.try_send(command.clone());
                one.told_to_end |= matches!(command, Command::Stop { .. });
            }
            ending |= matches!(command, Command::Stop { .. });
        }
        moved |= rosters.as_ref().is_some_and(|watch| watch.news.try_recv().is_ok());
        if std::mem::take(&mut moved) {
            let with_rosters = |watch: &Watch| watch.with_book(|book| listing.with_rosters(book));
            match rosters.as_ref().map_or_else(|| Ok(listing.clone()), with_rosters) {
                Ok(now) => listing = now,
                Err(cause) => say!(code = "no-room", "destinations kept as they were: {cause}"),
            }
            // An instance that hands over is followed by one that begins with all that is in force.
            for one in running.values().filter(|one| !one.told_to_end) {
                let (directory, targets) = (listing.directory.clone(), listing.targets.clone());
                let _ = one.commands.try_send(Command::Listing(directory, targets));
            }
        }
        running.retain(|name, one| {
            let over = one.done.is_closed();
            if over && !one.told_to_end {
                say!("{name}: ended by itself, is started again");
                rest.insert(name.clone(), Instant::now() + AGAIN);
            }
            !over
        });
        if ending && running.is_empty() {
            return;
        }
        if !ending {
            for (name, one) in running.iter_mut().filter(|(_, one)| !one.told_to_end) {
                let share = fleet.share_of(name);
                if share.as_ref() != Some(&one.share) {
                    let goes_on = share.is_some();
                    say!("{name}: {}", if goes_on { "takes up a change" } else { "leaves the fleet" });
                    let left = if goes_on { HAND_OVER } else { LEAVE };
                    let _ = one.commands.try_send(Command::Stop { left, goes_on });
                    one.told_to_end = true;
                }
            }
            // A listener outlives the instance behind it: who connects during a change waits instead of
            // being refused.
            let used: BTreeSet<_> = fleet.instances.iter().flat_map(listens).collect();
            listeners.retain(|at, _| used.contains(at));
            for name in fleet.instances.keys() {
                let waits = rest.get(name).is_some_and(|until| *until > Instant::now());
                if running.contains_key(name) || waits {
                    continue;
                }
                let Some(share) = fleet.share_of(name) else { continue };
                match start(home, name, &share, &listing, &mut listeners) {
                    Ok(one) => drop(running.insert(name.clone(), one)),
                    Err(cause) => {
                        say!("{name}: not started, {cause}");
                        rest.insert(name.clone(), Instant::now() + AGAIN);
                    }
                }
            }
        }
        let look = async {
            Timer::after(LOOK).await;
            false
        };
        moved = match &rosters {
            Some(watch) => future::or(look, async { watch.news.recv().await.is_ok() }).await,
            None => look.await,
        };
    }
}

fn listens((name, instance): (&String, &crate::file::Instance)) -> Vec<(String, &'static str, SocketAddr)> {
    let events = instance.events.iter().map(|front| (name.clone(), "events", front.listen));
    events.chain(instance.relay.iter().map(|front| (name.clone(), "relay", front.listen))).collect()
}

fn start(
    home: &Path,
    name: &str,
    share: &Fleet,
    listing: &Listing,
    listeners: &mut Listeners,
) -> Result<Running, String> {
    let mut listener = |front: &'static str, at: SocketAddr| {
        let listener = match listeners.entry((name.to_owned(), front, at)) {
            Entry::Occupied(kept) => kept.into_mut(),
            Entry::Vacant(new) => {
                new.insert(TcpListener::bind(at).map_err(|error| format!("{at}: {error}"))?)
            }
        };
        listener.try_clone().map_err(|error| format!("{at}: {error}"))
    };
    let build = build(home.join("instances").join(name), name, share, listing, &mut listener)?;
    let (commands, told) = async_channel::unbounded();
    let (alive, done) = async_channel::bounded::<()>(1);
    let thread = std::thread::Builder::new().name(name.to_owned());
    let said = name.to_owned();
    let body = move || {
        // Dropped with the thread, also when it panics: the other instances go on.
        let _alive = alive;
        let _span = daemon::instance_span(&said).entered();
        let tasks = Rc::new(LocalExecutor::new());
        let ended = async_io::block_on(tasks.run(daemon::instance(build, told, Spawner::new(&tasks))));
        if let Err(cause) = ended {
            say!(code = "failed", "{cause}");
        }
    };
    thread.spawn(body).map_err(|error| error.to_string())?;
    Ok(Running { share: share.clone(), commands, done, told_to_end: false })
}

/// What an instance is made of according to its share of the file, and to the rosters in force.
pub fn build(
    state: PathBuf,
    name: &str,
    share: &Fleet,
    listing: &Listing,
    listener: &mut dyn FnMut(&'static str, SocketAddr) -> Result<TcpListener, String>,
) -> Result<Build, String> {
    let instance = share.instances.get(name).ok_or("it is not in the fleet")?;
    let limits = &share.limits;
    let classes: Vec<String> = share.classes.keys().cloned().collect();
    let class_id = |class: &String| classes.iter().position(|have| have == class).map(m::ClassId);
    let number = |name: &str| m::DestinationId(number_of(name));
    let events = match &instance.events {
        None => None,
        Some(front) => {
            let known = |class: &Class| EventClass {
                give_up_ms: class.give_up_ms as i64,
                keyed: class.repeats == Repeats::Keyed,
            };
            let types = front.types.iter().filter_map(|(kind, class)| Some((kind.clone(), class_id(class)?)));
            let events = Events {
                path: front.path.clone(),
                destination_attribute: front.destination_attribute.clone(),
                types: types.collect(),
                classes: share.classes.values().map(known).collect(),
                listed: RefCell::new((listing.directory.clone(), listing.targets.clone())),
                number: Some(number_of),
            };
            Some((listener("events", front.listen)?, events))
        }
    };
    let relay = match &instance.relay {
        None => None,
        Some(front) => {
            let numbers =
                front.numbers.iter().filter_map(|(text, name)| Some((text.parse().ok()?, number(name))));
            let numbers = Some(numbers.collect());
            Some(RelayPart {
                listener: listener("relay", front.listen)?,
                front: Relay {
                    classes: classes.clone(),
                    keyed: share.classes.values().map(|class| class.repeats == Repeats::Keyed).collect(),
                    numbers,
                },
                notices: front.notices,
                watch: None,
            })
        }
    };
    let seed =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    Ok(Build {
        name: name.to_owned(),
        state: (state, (limits.disk_mb * 1e6) as u64),
        sockets: limits.sockets,
        setup: Setup {
            settings: settings(share),
            seed,
            remember_ms: share.classes.values().map(|class| class.remember_s as i64 * 1000).collect(),
            remember_most: limits.remember,
        },
        classes,
        dial: Duration::from_millis(limits.dial_ms),
        idle: Duration::from_millis(limits.idle_ms),
        hosts: Input::Directory(listing.directory.clone()),
        relay,
        events,
        mgmt: None,
    })
}

fn settings(share: &Fleet) -> m::Settings {
    let limits = &share.limits;
    let span = |ms: u64| m::Span::from_ms(ms as f64);
    let class = |class: &Class| m::Class {
        worth: class.worth,
        promise: span(class.wanted_ms),
        give_up: span(class.give_up_ms),
        late_value: class.late_value,
        effect: match class.repeats {
            Repeats::Free => m::Effect::Pure,
            Repeats::Never => m::Effect::SideEffect,
            Repeats::Keyed => {
                m::Effect::Token { scope: m::Scope::All, window: span(class.window_ms.unwrap_or_default()) }
            }
        },
        ordered: false,
    };
    m::Settings {
        classes: share.classes.values().map(class).collect(),
        kinds: vec![m::Kind { apart: false, per_call: 1 }],
        tolls: vec![0.0],
        late: m::LateForm::Line,
        caps: m::Caps {
            slots: limits.slots,
            max_open: limits.max_open,
            max_attempts: limits.max_attempts,
            streams_per_conn: 1,
            conn_idle: span(limits.idle_ms),
            max_retry_after: span(limits.retry_after_ms),
            may_cancel: true,
            probes: false,
        },
        // What a returning partner bears, as the service's rules have it.
        rules: m::Rules {
            cold_from: 0.27,
            cold: span(10_000),
            fall_multiple: 1.5,
            tip_after: span(2000),
            ..m::Rules::default()
        },
        weights: m::Weights::Rough,
        couriers: share.couriers,
        tick: span(5),
        ..m::Settings::default()
    }
}
