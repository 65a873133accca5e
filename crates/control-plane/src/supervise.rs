//! The daemon: runs the fleet that is applied in a folder, each instance on a thread of its own with nothing
//! shared, and takes up what is applied later.

use crate::build::{self, Classes};
use crate::file::{number_of, Fleet};
use crate::group::{self, GroupEvent};
use crate::listing::{self, Listing};
use crate::plan::APPLIED;
use crate::watch::Watch;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use marblefall_delivery::core::engine::ProposedPolicy;
use marblefall_delivery::instance::{self, InstanceCommand, SHUTDOWN_TIMEOUT};
use marblefall_delivery::lease_guard::LeaseGuard;
use marblefall_delivery::net::server::Spawner;
use marblefall_delivery::say;
use marblefall_scheduler::DestinationId;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
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
    revision: u64,
    classes: Classes,
    commands: Sender<InstanceCommand>,
    done: Receiver<()>,
    told_to_end: bool,
}

/// Runs the fleet until the process is told to end. In a home that is a member of a group, all that its instances do under a
/// policy is written to `history`, if that is given, and its link listens at `link` instead of the file's address.
pub fn run(home: &Path, history: Option<&Path>, link: Option<SocketAddr>) -> Result<(), String> {
    let signals = instance::signals()?;
    let early = (applied_at(home), listing::read(home)?);
    let member = group::Membership::read(home).map_err(|error| error.to_string())?;
    // Two daemons over one folder would write into each other's journals.
    let lock = std::fs::File::create(home.join("run.lock")).map_err(|error| error.to_string())?;
    lock.try_lock().map_err(|error| {
        format!(
            "{}: another daemon runs this fleet ({error})",
            home.display()
        )
    })?;
    let (commands, told) = async_channel::unbounded();
    let tasks = Rc::new(LocalExecutor::new());
    tasks
        .spawn(instance::watch_signals(signals, commands))
        .detach();
    let common = match member {
        None => None,
        Some(member) => {
            let history = history.map(|path| {
                let file = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path);
                file.map_err(|error| format!("{}: {error}", path.display()))
            });
            let gate = Arc::new(LeaseGuard::new(history.transpose()?));
            let (name, news) = (
                member.name.clone(),
                member
                    .start(home, link, gate.clone(), &Spawner::new(&tasks))
                    .map_err(|error| error.to_string())?,
            );
            Some(Common {
                member: name,
                gate,
                news,
            })
        }
    };
    async_io::block_on(tasks.run(supervise(home, told, early, common)));
    Ok(())
}

/// What this daemon has in common with others of its group.
struct Common {
    member: String,
    gate: Arc<LeaseGuard>,
    news: Receiver<GroupEvent>,
}

/// How long an instance may take to say whether a proposed policy has room for what it holds.
const FITS: Duration = Duration::from_secs(1);

/// Asks all instances that run whether a proposed policy has room for what they hold.
async fn fits(
    fleet: Fleet,
    asked: Vec<(String, Sender<InstanceCommand>, ProposedPolicy)>,
    gone: Vec<String>,
) -> Result<(), String> {
    if let Some(name) = gone.first() {
        return Err(format!("instance {name} is only starting"));
    }
    for (name, commands, proposed) in asked {
        let (answer, said) = async_channel::bounded(1);
        let _ = commands.try_send(InstanceCommand::CheckPolicy(proposed, answer));
        let answered = future::or(async { said.recv().await.ok() }, async {
            Timer::after(FITS).await;
            None
        });
        let verdict = match answered.await {
            Some(verdict) => verdict.map_err(|mismatch| mismatch.to_string()),
            None => Err("does not answer".to_owned()),
        };
        // One that leaves the fleet ends what it holds within its time, as always.
        if fleet.instances.contains_key(&name) {
            verdict.map_err(|why| format!("instance {name}: {why}"))?;
        }
    }
    Ok(())
}

/// When what is applied last changed.
fn applied_at(home: &Path) -> Option<SystemTime> {
    std::fs::metadata(home.join(APPLIED))
        .and_then(|file| file.modified())
        .ok()
}

/// Runs the fleet; `early` is what was read before, and when it had changed by then.
async fn supervise(
    home: &Path,
    told: Receiver<InstanceCommand>,
    early: (Option<SystemTime>, (u64, Fleet, Listing)),
    common: Option<Common>,
) {
    let mut early = Some(early);
    let (mut revision, mut arrived) = (0, None);
    let mut fleet = Fleet::default();
    let mut seen: Option<SystemTime> = None;
    let mut running: BTreeMap<String, Running> = BTreeMap::new();
    let mut rest: BTreeMap<String, Instant> = BTreeMap::new();
    let mut listeners: Listeners = BTreeMap::new();
    let mut ending = false;
    let mut rosters: Option<Watch> = None;
    let (mut listing, mut moved) = (Listing::default(), false);
    loop {
        let heard = || {
            common
                .as_ref()
                .and_then(|common| common.news.try_recv().ok())
        };
        while let Some(news) = arrived.take().or_else(heard) {
            match news {
                // It is read from the folder, where it was just put.
                GroupEvent::PolicyInForce => seen = None,
                GroupEvent::LeaseChanged => running
                    .values()
                    .for_each(|one| drop(one.commands.try_send(InstanceCommand::LeaseChanged))),
                GroupEvent::CheckPolicy(proposed, answer) => {
                    let destinations: BTreeSet<_> = proposed
                        .destinations
                        .keys()
                        .map(|name| DestinationId(number_of(name)))
                        .collect();
                    let classes: BTreeSet<String> = proposed.classes.keys().cloned().collect();
                    let asked = running.iter().map(|(name, one)| {
                        let share = proposed.share_of(name);
                        let max_open = share.map_or(usize::MAX, |share| share.limits.max_open);
                        let (classes, destinations) = (classes.clone(), destinations.clone());
                        (
                            name.clone(),
                            one.commands.clone(),
                            ProposedPolicy {
                                classes,
                                destinations,
                                max_open,
                            },
                        )
                    });
                    let asked = asked.collect();
                    let ours = fleet
                        .instances
                        .keys()
                        .filter(|name| runs(&common, &fleet, name));
                    let gone = ours
                        .filter(|name| !running.contains_key(*name))
                        .cloned()
                        .collect();
                    let verdict = fits(*proposed, asked, gone).await;
                    let _ = answer.try_send(verdict.into());
                }
            }
        }
        let changed = applied_at(home);
        if changed != seen && !ending {
            seen = changed;
            let read = early.take().filter(|(at, _)| *at == changed);
            match read.map_or_else(|| listing::read(home), |(_, read)| Ok(read)) {
                Ok((number, applied, destinations)) => {
                    say!(
                        "fleet: revision {number}, {} instances",
                        applied.instances.len()
                    );
                    revision = number;
                    (fleet, listing, moved) = (applied, destinations, true);
                    match &rosters {
                        Some(watch) => watch.hold_to(&fleet),
                        None if fleet.roster.is_some() => match Watch::start(home, &fleet) {
                            Ok(watch) => rosters = Some(watch),
                            Err(cause) => {
                                say!(code = "no-rosters", "rosters are not watched: {cause}")
                            }
                        },
                        None => {}
                    }
                }
                Err(cause) => say!("fleet: kept as it was, {cause}"),
            }
        }
        while let Ok(command) = told.try_recv() {
            if matches!(command, InstanceCommand::ReloadConfig) {
                // Looked at again even if its time of change is the same.
                seen = None;
                rosters.iter().for_each(Watch::look);
                continue;
            }
            for one in running.values_mut() {
                let _ = one.commands.try_send(command.clone());
                one.told_to_end |= matches!(command, InstanceCommand::Shutdown { .. });
            }
            ending |= matches!(command, InstanceCommand::Shutdown { .. });
        }
        moved |= rosters
            .as_ref()
            .is_some_and(|watch| watch.news.try_recv().is_ok());
        if std::mem::take(&mut moved) {
            let with_rosters = |watch: &Watch| watch.with_book(|book| listing.with_rosters(book));
            match rosters
                .as_ref()
                .map_or_else(|| Ok(listing.clone()), with_rosters)
            {
                Ok(now) => listing = now,
                Err(cause) => say!(code = "no-room", "destinations kept as they were: {cause}"),
            }
            // An instance that hands over is followed by one that begins with all that is in force.
            for (name, one) in running.iter_mut().filter(|(_, one)| !one.told_to_end) {
                let new = common.is_some() && one.revision != revision;
                let share = fleet
                    .share_of(name)
                    .filter(|share| new || *share != one.share);
                if let Some(share) = share.filter(|share| build::in_place(&one.share, share, name))
                {
                    say!("{name}: takes up a change as it runs");
                    one.classes.follow(&share);
                    (one.share, one.revision) = (share, revision);
                    let (name, share, classes) =
                        (name.clone(), one.share.clone(), one.classes.clone());
                    let listing = listing.clone();
                    let to = move || build::switch(revision, &name, &share, &classes, &listing);
                    let _ = one
                        .commands
                        .try_send(InstanceCommand::UpdatePolicy(Arc::new(to)));
                    continue;
                }
                let (destination_table, targets) =
                    (listing.destination_table.clone(), listing.targets.clone());
                let _ = one.commands.try_send(InstanceCommand::ReplaceDestinations(
                    destination_table,
                    targets,
                ));
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
                let share = fleet.share_of(name).filter(|_| runs(&common, &fleet, name));
                if share.as_ref() != Some(&one.share) {
                    let goes_on = share.is_some();
                    say!(
                        "{name}: {}",
                        if goes_on {
                            "takes up a change"
                        } else {
                            "leaves the fleet"
                        }
                    );
                    let left = if goes_on { HAND_OVER } else { SHUTDOWN_TIMEOUT };
                    let _ = one.commands.try_send(InstanceCommand::Shutdown {
                        timeout: left,
                        restart: goes_on,
                    });
                    one.told_to_end = true;
                }
            }
            // A listener outlives the instance behind it: who connects during a change waits instead of
            // being refused.
            let ours = |name: &str| runs(&common, &fleet, name);
            let used: BTreeSet<_> = fleet
                .instances
                .iter()
                .filter(|(name, _)| ours(name))
                .flat_map(listens)
                .collect();
            listeners.retain(|at, _| used.contains(at));
            for name in fleet.instances.keys().filter(|name| ours(name)) {
                let waits = rest.get(name).is_some_and(|until| *until > Instant::now());
                if running.contains_key(name) || waits {
                    continue;
                }
                let Some(share) = fleet.share_of(name) else {
                    continue;
                };
                let held = common
                    .as_ref()
                    .map(|common| (common.gate.clone(), revision));
                match start(home, name, &share, &listing, held, &mut listeners) {
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
        let news = async {
            match &common {
                Some(common) => arrived = common.news.recv().await.ok(),
                None => future::pending().await,
            }
            false
        };
        let look = future::or(look, news);
        moved = match &rosters {
            Some(watch) => future::or(look, async { watch.news.recv().await.is_ok() }).await,
            None => look.await,
        };
    }
}

/// Whether this daemon runs an instance: all of them, unless it is one of a group.
fn runs(common: &Option<Common>, fleet: &Fleet, instance: &str) -> bool {
    common.as_ref().is_none_or(|common| {
        let member = fleet
            .group
            .as_ref()
            .and_then(|group| group.members.get(&common.member));
        member.is_some_and(|member| member.instances.contains(instance))
    })
}

fn listens(
    (name, instance): (&String, &crate::file::Instance),
) -> Vec<(String, &'static str, SocketAddr)> {
    let events = instance
        .events
        .iter()
        .map(|front| (name.clone(), "events", front.listen));
    events
        .chain(
            instance
                .relay
                .iter()
                .map(|front| (name.clone(), "relay", front.listen)),
        )
        .collect()
}

fn start(
    home: &Path,
    name: &str,
    share: &Fleet,
    listing: &Listing,
    held: Option<(Arc<LeaseGuard>, u64)>,
    listeners: &mut Listeners,
) -> Result<Running, String> {
    let revision = held.as_ref().map_or(0, |held| held.1);
    let mut classes = Classes::default();
    classes.follow(share);
    let mut listener = |front: &'static str, at: SocketAddr| {
        let listener = match listeners.entry((name.to_owned(), front, at)) {
            Entry::Occupied(kept) => kept.into_mut(),
            Entry::Vacant(new) => {
                new.insert(TcpListener::bind(at).map_err(|error| format!("{at}: {error}"))?)
            }
        };
        listener
            .try_clone()
            .map_err(|error| format!("{at}: {error}"))
    };
    let state = home.join("instances").join(name);
    let build = build::build(state, name, share, &classes, listing, held, &mut listener)?;
    let (commands, told) = async_channel::unbounded();
    let (alive, done) = async_channel::bounded::<()>(1);
    let thread = std::thread::Builder::new().name(name.to_owned());
    let said = name.to_owned();
    let body = move || {
        // Dropped with the thread, also when it panics: the other instances go on.
        let _alive = alive;
        let _span = instance::instance_span(&said).entered();
        let tasks = Rc::new(LocalExecutor::new());
        let ended = async_io::block_on(tasks.run(instance::run_instance(
            build,
            told,
            Spawner::new(&tasks),
        )));
        if let Err(cause) = ended {
            say!(code = "failed", "{cause}");
        }
    };
    thread.spawn(body).map_err(|error| error.to_string())?;
    Ok(Running {
        share: share.clone(),
        revision,
        classes,
        commands,
        done,
        told_to_end: false,
    })
}
