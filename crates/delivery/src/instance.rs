//! Puts the core, the network and the fronts of one instance together and runs them on one thread.

pub mod admin;
mod config;
mod executor;
pub mod platform_config;

pub use crate::clock::Clock;
pub use config::{InstanceConfig, PlatformFrontendConfig, PolicyUpdate};

use crate::core::destination_table::DestinationTable;
use crate::core::engine::{
    Engine, EngineCommand, EngineEvent, EngineSettings, PolicyMismatch, ProposedPolicy,
};
use crate::core::message_store::MessageStore;
use crate::core::{FinalOutcome, MessageId, SubmitResponse};
use crate::counters::Counters;
use crate::frontend::cloudevents::{CloudEventsFrontend, Target};
use crate::frontend::platform::{self, PlatformFrontend};
use crate::frontend::Current;
use crate::hot_restart::driver::{self, StandbyDriver};
use crate::hot_restart::incarnation::Incarnation;
use crate::instance::admin::AdminState;
use crate::instance::platform_config::PlatformConfig;
use crate::lease_guard::LeaseGuard;
use crate::log_line;
use crate::net::discovery::{self, Home, Names};
use crate::net::pool::{Limits, Pool};
use crate::net::server::{self, ClientConnections, ReadTimeout, Spawner};
use crate::net::{admin as admin_listener, listen};
use crate::snapshot_store::SnapshotStore;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use marblefall_atomic_file::Real;
use marblefall_scheduler::{EndpointId, Idempotency, MessageClass, Span};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Inputs that wait for the engine at most; beyond that, socket code waits.
const QUEUE: usize = 1024;
/// On the platform, clients are close by: what has not come by then is not going to.
const RELAY_PATIENCE: ReadTimeout = ReadTimeout(Duration::from_millis(2500));
/// Events come from farther off.
const EVENTS_PATIENCE: ReadTimeout = ReadTimeout(Duration::from_secs(10));
/// Connections of clients are closed once new ones no longer come.
const CLOSE_IDLE: Duration = Duration::from_millis(500);
/// So long before its end a process stops listening: what waits in the system's queue is taken and answered first, as the
/// end would reset it.
const LAST_CLIENTS: Duration = Duration::from_millis(400);
/// How often what is known of destinations is written down, at most.
const KEEP: Duration = Duration::from_secs(1);
/// What those who still wait at the end are told.
const COME_BACK_MS: u64 = 1000;
/// Descriptors kept for the journal, discovery, notices and the runtime.
const OTHER_SOCKETS: usize = 24;

/// What an instance is told from outside.
#[derive(Clone)]
pub enum InstanceCommand {
    /// Log the counters.
    PrintCounters,
    /// Read the configuration again.
    ReloadConfig,
    /// Discovery is at another address now.
    DiscoveryMoved(SocketAddr),
    /// The destinations are these now, and how events are sent to them.
    ReplaceDestinations(Arc<DestinationTable>, Arc<Vec<Target>>),
    /// Another policy, which its frontends and its core put in force as they run; made on the instance's own thread.
    UpdatePolicy(Arc<dyn Fn() -> PolicyUpdate + Send + Sync>),
    /// Asks whether a proposed policy has room for what is pending.
    CheckPolicy(ProposedPolicy, Sender<Result<(), PolicyMismatch>>),
    /// Whether it may act under its lease has changed.
    LeaseChanged,
    /// End.
    Shutdown {
        /// As late as this from now.
        timeout: Duration,
        /// Another incarnation is started once this one has ended: no attempt is started any more.
        restart: bool,
    },
}

/// An instance that is to be started again closes client connections that have waited so long for a request.
const QUIET: Duration = Duration::from_millis(150);
/// One that another process has taken over from answers on those that clients keep, each for the last time. So long
/// after it was told to end it begins to close those that have waited for a while ...
const SEE_OUT: Duration = Duration::from_millis(2200);
const QUIET_LATE: Duration = Duration::from_millis(400);
/// ... and closes what still waits.
const SEEN_OUT: Duration = Duration::from_millis(3100);

/// From SIGTERM on a process has so long.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);

/// Runs an instance on the platform until it is told to end.
pub fn run(told: PlatformConfig) -> Result<(), String> {
    let signals = signals()?;
    let address = |text: &str| {
        text.parse::<SocketAddr>()
            .map_err(|error| format!("{text}: {error}"))
    };
    let listen = address(&told.listen)?;
    let discovery = told.discovery_address()?;
    let boot = told.settings;
    let names = Names {
        kinds: boot.host_types.clone(),
        zones: boot.zones.clone(),
    };
    let classes: Vec<String> = boot
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let ms = |ms: f64, or: f64| Duration::from_secs_f64(if ms > 0.0 { ms } else { or } / 1000.0);
    let since = told.known.as_ref().map_or(0, |known| known.revision);
    let hosts = told
        .known
        .map_or(EngineEvent::EndpointsReplaced(Vec::new()), |known| {
            known.input(&names)
        });
    let settings = boot.settings();
    let is_keyed =
        |class: &MessageClass| matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
    let keyed = settings.classes.iter().map(is_keyed).collect();
    let setup = EngineSettings {
        scheduler: settings,
        seed: u64::from_str_radix(&told.seed, 16).unwrap_or_default(),
        remember_ms: vec![0; classes.len()],
        max_remembered: 0,
    };
    let mgmt = match told.mgmt.as_deref().filter(|at| !at.is_empty()) {
        Some(text) => {
            Some(TcpListener::bind(address(text)?).map_err(|error| format!("{text}: {error}"))?)
        }
        None => None,
    };
    let relay = PlatformFrontendConfig {
        listener: listen::shared(listen).map_err(|error| format!("{listen}: {error}"))?,
        front: PlatformFrontend {
            classes: classes.clone(),
            keyed,
            numbers: None,
        },
        notices: discovery,
        watch: Some((names, since)),
    };
    let build = InstanceConfig {
        name: told.name,
        state: (told.state, (told.limits.disk_mb * 1e6) as u64),
        sockets: told.limits.sockets,
        setup,
        classes,
        dial: ms(boot.caps.dial_timeout_ms, 1500.0),
        idle: ms(boot.caps.conn_idle_ms, 10_000.0),
        hosts,
        relay: Some(relay),
        events: None,
        mgmt,
        held: None,
    };
    let (signalled, heard) = async_channel::unbounded();
    let (commands, told) = async_channel::unbounded();
    let _span = instance_span(&build.name).entered();
    let tasks = Rc::new(LocalExecutor::new());
    tasks.spawn(watch_signals(signals, signalled)).detach();
    tasks.spawn(reread(heard, commands)).detach();
    async_io::block_on(tasks.run(run_instance(build, told, Spawner::new(&tasks))))
}

/// The span in which all lines of an instance stand; its thread enters it once.
pub fn instance_span(name: &str) -> tracing::Span {
    tracing::info_span!("instance", name)
}

/// The signals that are commands. Taken before anything else starts: until then they would kill the process.
pub fn signals() -> Result<Signals, String> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup]);
    signals.map_err(|error| format!("signals cannot be watched: {error}"))
}

/// Turns the process's signals into commands.
pub async fn watch_signals(mut signals: Signals, commands: Sender<InstanceCommand>) {
    while let Some(Ok(signal)) = signals.next().await {
        let command = match signal {
            Signal::Usr1 => InstanceCommand::PrintCounters,
            Signal::Hup => InstanceCommand::ReloadConfig,
            _ => InstanceCommand::Shutdown {
                timeout: SHUTDOWN_TIMEOUT,
                restart: false,
            },
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

/// Passes commands on; to read the configuration again is to tell where discovery is now. One that cannot be
/// read changes nothing: what runs goes on with what it has.
async fn reread(heard: Receiver<InstanceCommand>, commands: Sender<InstanceCommand>) {
    while let Ok(command) = heard.recv().await {
        let command = match command {
            InstanceCommand::ReloadConfig => {
                match PlatformConfig::from_env().and_then(|told| told.discovery_address()) {
                    Ok(to) => {
                        log_line!("configuration read again: discovery is at {to}");
                        InstanceCommand::DiscoveryMoved(to)
                    }
                    Err(cause) => {
                        log_line!("configuration kept as it was, {cause}");
                        continue;
                    }
                }
            }
            other => other,
        };
        if commands.send(command).await.is_err() {
            return;
        }
    }
}

/// Runs one instance until it is told to end.
pub async fn run_instance(
    build: InstanceConfig,
    commands: Receiver<InstanceCommand>,
    tasks: Spawner,
) -> Result<(), String> {
    let clock = Clock::start();
    // A place among the lives of the process comes first: operators may call as soon as something listens.
    let (folder, disk) = &build.state;
    let at = |error: std::io::Error| format!("{}: {error}", folder.display());
    let mut life = Incarnation::claim(folder).map_err(at)?;
    let beside = driver::announce(&mut life).map_err(at)?;
    let mut store =
        MessageStore::begin(folder, *disk, build.classes, life.generation()).map_err(at)?;
    let counters = Rc::new(Counters::default());
    // Clients hold a third of the descriptors at most, so at that many, places are what they wait for.
    let clients = (build.sockets / 3).max(1);
    let hosts = build.sockets.saturating_sub(OTHER_SOCKETS + clients).max(1);
    // Idle connections go well before the far side's own limit: what is on the way when it closes is lost.
    let limits = Limits {
        dial: build.dial,
        idle: build.idle.mul_f64(0.85),
        connections: hosts,
    };
    let set = &build.setup.scheduler;
    let must_ask = Duration::from_micros(set.rules.max_poll_interval.0.max(0) as u64);
    let asking = discovery::Asking::new(set.instances, build.setup.seed, must_ask);
    // On the platform the list is known as a whole, and its disk is small.
    let keeps = matches!(build.hosts, EngineEvent::DestinationTableReplaced(_));
    let (queue, inputs) = async_channel::bounded(QUEUE);
    let (news, listed) = async_channel::unbounded();
    let (owed, notices) = async_channel::unbounded();
    let clients = Rc::new(ClientConnections::new(
        queue.clone(),
        clients,
        counters.clone(),
    ));
    let _ = news.send(build.hosts).await;
    let pool = Rc::new(Pool::new(limits, counters.clone()));
    let retire = pool.clone();
    let retiring = async move {
        loop {
            Timer::after(Duration::from_millis(250)).await;
            retire.retire();
        }
    };
    tasks.spawn(retiring);
    let mut relay_front = None;
    let open = |listener: TcpListener| Async::new(listener).map_err(|error| error.to_string());
    let mut movers = Vec::new();
    if let Some(relay) = build.relay {
        let mut home = || {
            let (moved, moves) = async_channel::unbounded();
            movers.push(moved);
            Home {
                address: relay.notices,
                moves,
            }
        };
        tasks.spawn(discovery::notices(
            home(),
            notices,
            queue.clone(),
            platform::notice,
        ));
        if let Some((names, since)) = relay.watch {
            tasks.spawn(discovery::watch(home(), names, since, asking, news.clone()));
        }
        if let Some(others) = beside {
            if let Err(error) = listen::prefer(&relay.listener, others.count) {
                log_line!(
                    code = "not-preferred",
                    "the process before still gets new connections: {error}"
                );
            }
        }
        let (listener, front) = (open(relay.listener)?, Rc::new(Current::new(relay.front)));
        relay_front = Some(front.clone());
        log_line!("listens at {}", address_of(&listener));
        tasks.spawn(server::serve(
            listener,
            front,
            clients.clone(),
            RELAY_PATIENCE,
            tasks.clone(),
        ));
    }
    tasks.spawn(server::thin_out(clients.clone()));
    let admin = Rc::new(AdminState::new(
        clients.clone(),
        news.clone(),
        &build.state.0,
    ));
    if let Some(listener) = build.mgmt {
        let listener = open(listener)?;
        log_line!("operators call at {}", address_of(&listener));
        tasks.spawn(admin_listener::listen(
            listener,
            admin.clone(),
            tasks.clone(),
        ));
    }
    let events = Rc::new(Current::<CloudEventsFrontend>::default());
    if let Some((listener, front)) = build.events {
        events.set(front);
        let listener = open(listener)?;
        log_line!("takes events at {}", address_of(&listener));
        let front = events.clone();
        tasks.spawn(server::serve(
            listener,
            front,
            clients.clone(),
            EVENTS_PATIENCE,
            tasks.clone(),
        ));
    }
    let mut orders = Vec::new();
    let mut engine = match beside {
        None => {
            store.take_over(&[], None).map_err(at)?;
            // Beside another life it is read once that one no longer changes it.
            admin.reread();
            Engine::new(build.setup, store, clock.now(), &mut orders)
        }
        Some(_) => Engine::standby(build.setup, store),
    };
    let keep = keeps
        .then(|| SnapshotStore::open(Real, folder))
        .map(|(keep, records)| {
            engine.restore_destinations(clock.now(), &records);
            keep
        });
    let life = Rc::new(RefCell::new(life));
    if let Some(beside) = beside {
        tasks.spawn(
            StandbyDriver {
                incarnation: life.clone(),
                first_concurrent: beside.first,
                clock,
                instance: admin.clone(),
                engine: news.clone(),
            }
            .run(),
        );
    }
    tasks.spawn(driver::watch_successors(
        life.clone(),
        admin.clone(),
        news.clone(),
    ));
    let addresses = RefCell::default();
    let executor = Executor {
        clients,
        pool,
        owed,
        queue,
        news,
        clock,
        addresses,
        counters,
        events,
        movers,
        tasks,
        admin,
        life,
        relay_front,
        name: build.name,
        gate: build.held.as_ref().map(|held| held.0.clone()),
        revision: Cell::new(build.held.map_or(0, |held| held.1)),
    };
    let executor = Rc::new(executor);
    let stop = Rc::new(Cell::new(None));
    executor
        .tasks
        .spawn(obey(executor.clone(), commands, stop.clone()));
    executor
        .work(engine, orders, inputs, listed, &stop, keep)
        .await;
    log_line!("{}", executor.counters);
    Ok(())
}

fn address_of(listener: &Async<TcpListener>) -> String {
    listener
        .get_ref()
        .local_addr()
        .map_or_else(|error| error.to_string(), |at| at.to_string())
}

async fn obey(
    executor: Rc<Executor>,
    commands: Receiver<InstanceCommand>,
    stop: Rc<Cell<Option<Instant>>>,
) {
    while let Ok(command) = commands.recv().await {
        match command {
            InstanceCommand::PrintCounters => log_line!("{}", executor.counters),
            InstanceCommand::DiscoveryMoved(to) => executor.movers.iter().for_each(|mover| {
                let _ = mover.try_send(to);
            }),
            InstanceCommand::ReplaceDestinations(destination_table, targets) => {
                executor
                    .events
                    .get()
                    .listed
                    .replace((destination_table.clone(), targets));
                let _ = executor
                    .news
                    .send(EngineEvent::DestinationTableReplaced(destination_table))
                    .await;
            }
            InstanceCommand::UpdatePolicy(to) => executor.switch(to()).await,
            InstanceCommand::CheckPolicy(proposed, answer) => {
                let _ = executor
                    .news
                    .send(EngineEvent::CheckPolicy(proposed, answer))
                    .await;
            }
            InstanceCommand::LeaseChanged => {
                drop(executor.news.send(EngineEvent::LeaseChanged).await)
            }
            // What has no configuration of its own to read has nothing to take up.
            InstanceCommand::ReloadConfig => {}
            InstanceCommand::Shutdown {
                timeout: left,
                restart: goes_on,
            } if stop.get().is_none() => {
                log_line!("told to end");
                let ends = executor.leave(left, goes_on, &stop);
                executor.clients.put(ends).await;
            }
            InstanceCommand::Shutdown { .. } => {}
        }
    }
}

/// Carries out what the engine orders.
struct Executor {
    clients: Rc<ClientConnections>,
    pool: Rc<Pool>,
    owed: Sender<(MessageId, Vec<u8>, FinalOutcome)>,
    queue: Sender<EngineEvent>,
    /// Goes ahead of the queue.
    news: Sender<EngineEvent>,
    clock: Clock,
    addresses: RefCell<BTreeMap<EndpointId, Rc<str>>>,
    counters: Rc<Counters>,
    events: Rc<Current<CloudEventsFrontend>>,
    relay_front: Option<Rc<Current<PlatformFrontend>>>,
    name: String,
    /// What it may act under, where others decide on the policy as well.
    gate: Option<Arc<LeaseGuard>>,
    /// The policy that the core decides by.
    revision: Cell<u64>,
    /// Where the tasks that speak with discovery hear of its new address.
    movers: Vec<Sender<SocketAddr>>,
    tasks: Spawner,
    admin: Rc<AdminState>,
    life: Rc<RefCell<Incarnation>>,
}

impl Executor {
    /// Begins to end this life: at once towards clients, and within `left` altogether. Gives what the engine is to hear.
    fn leave(&self, left: Duration, goes_on: bool, stop: &Cell<Option<Instant>>) -> EngineEvent {
        let now = Instant::now();
        let replaced = driver::must_hand_over(&self.life) || self.life.borrow().has_successor();
        stop.set(Some(now + left));
        // Whoever takes over listens on at once, so connections are let go without a pause.
        let leaving = if replaced || goes_on {
            now
        } else {
            now + CLOSE_IDLE
        };
        self.clients.leaving.set(Some(leaving));
        if replaced || goes_on {
            // New connections go to the one that takes over.
            self.clients.stop_accepting();
        }
        let clients = self.clients.clone();
        self.tasks.spawn(async move {
            if replaced {
                // A connection closed under a request turns it back unheard; answered, its client goes elsewhere.
                Timer::at(now + SEE_OUT).await;
            } else if !goes_on {
                Timer::at(leaving).await;
                clients.close_idle();
            }
            let (quiet, last) = if replaced {
                (QUIET_LATE, now + SEEN_OUT)
            } else {
                (QUIET, now + left)
            };
            let deaf = last.checked_sub(LAST_CLIENTS).unwrap_or(now);
            while Instant::now() < last {
                if Instant::now() >= deaf {
                    clients.stop_accepting();
                }
                clients.close_quiet(quiet);
                Timer::after(QUIET / 4).await;
            }
            clients.close_idle();
        });
        self.ends(left, replaced || goes_on)
    }

    fn ends(&self, left: Duration, hand_over: bool) -> EngineEvent {
        EngineEvent::Shutdown {
            deadline: self.clock.now().monotonic + Span(left.as_micros() as i64),
            hand_over,
        }
    }

    /// The engine's task: all that waits goes in as one batch, news of the list first.
    async fn work(
        self: &Rc<Self>,
        mut engine: Engine,
        mut orders: Vec<EngineCommand>,
        inputs: Receiver<EngineEvent>,
        listed: Receiver<EngineEvent>,
        stop: &Cell<Option<Instant>>,
        mut keep: Option<SnapshotStore>,
    ) {
        let mut kept = Instant::now();
        let (mut batch, mut serving) = (Vec::new(), false);
        loop {
            while let Ok(news) = listed.try_recv() {
                batch.push(news);
            }
            while let Ok(input) = inputs.try_recv() {
                batch.push(input);
            }
            if !engine.has_handed_over() && driver::must_hand_over(&self.life) {
                // Found before anything is decided: another life may decide already.
                batch.push(match stop.get() {
                    Some(_) => self.ends(SHUTDOWN_TIMEOUT, true),
                    None => {
                        log_line!("asked to hand over");
                        self.leave(SHUTDOWN_TIMEOUT, false, stop)
                    }
                });
            }
            let taken = batch
                .iter()
                .filter(|input| matches!(input, EngineEvent::NoticeAcknowledged(_)))
                .count();
            self.counters
                .notices
                .set(self.counters.notices.get() + taken as u64);
            let begun = Instant::now();
            let changed = !batch.is_empty();
            let acts = self.step(&mut engine, std::mem::take(&mut batch), &mut orders);
            // What is taken up before anybody is served keeps nobody waiting.
            let longest = &self.counters.longest_step_us;
            let step = if std::mem::replace(&mut serving, true) {
                begun.elapsed()
            } else {
                Duration::ZERO
            };
            longest.set(longest.get().max(step.as_micros() as u64));
            if let Some(keep) = keep.as_mut().filter(|_| kept.elapsed() >= KEEP) {
                keep.write(&engine.destination_records(self.clock.now()));
                kept = Instant::now();
            }
            if let Some(by) = stop.get() {
                let (open, out) = engine.load();
                let (now, idle) = (
                    Instant::now(),
                    out == 0 && open == 0 && self.clients.connections() == 0,
                );
                // One that has handed over also keeps what is handed in now, for the next life: it waits only for its
                // legs and for the connections that clients still use.
                let idle =
                    idle || out == 0 && engine.has_handed_over() && self.clients.connections() == 0;
                // Clients that have not heard of the end yet still come.
                let done = idle && self.clients.leaving.get().is_some_and(|at| at <= now);
                if done {
                    // Whoever waits to be accepted is still served.
                    self.clients.stop_accepting();
                }
                if now >= by || done && !self.clients.listens() {
                    self.clients.answer_all(SubmitResponse::Rejected {
                        retry_after_ms: COME_BACK_MS,
                    });
                    keep.iter_mut()
                        .for_each(|keep| keep.write(&engine.destination_records(self.clock.now())));
                    // What is answered here is still to be written.
                    Timer::after(Duration::from_millis(30)).await;
                    return;
                }
            }
            if engine.has_backlog() {
                // The next batch must not bear the same time as this one's last.
                future::yield_now().await;
                continue;
            }
            let wake = if acts {
                engine.next_wake()
            } else {
                engine.next_wake_without_lease(self.clock.now())
            };
            let wake = wake.map(|at| self.clock.instant(at));
            let tick = stop
                .get()
                .map(|_| Instant::now() + Duration::from_millis(50));
            // What has just changed is kept also if nothing else happens.
            let keeps = (keep.is_some() && changed).then_some(kept + KEEP);
            let sleep = async {
                match wake.into_iter().chain(tick).chain(keeps).min() {
                    Some(at) => drop(Timer::at(at).await),
                    None => future::pending().await,
                }
                None
            };
            let next = future::or(async { listed.recv().await.ok() }, async {
                inputs.recv().await.ok()
            });
            batch.extend(future::or(next, sleep).await);
        }
    }
}
