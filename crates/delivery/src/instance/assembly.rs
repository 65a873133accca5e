//! Puts an instance together, in the order in which its parts depend on each other.
//!
//! The incarnation is claimed first, as operators may call as soon as something listens. Frontends are started before the
//! engine: what clients send meanwhile waits in its queue.

use super::admin::AdminState;
use super::command::CommandLoop;
use super::engine_loop::{EngineLoop, EventReceivers, SnapshotWriter};
use super::executor::{Executor, Lease};
use super::shutdown::Shutdown;
use super::state_folder::ClaimedState;
use super::{
    CloudEventsFrontendConfig, InstanceConfig, InstanceError, LeaseConfig, PlatformFrontendConfig,
};
use crate::clock::Clock;
use crate::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use crate::core::message_store::MessageStore;
use crate::counters::Counters;
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::platform::{self, PlatformFrontend};
use crate::frontend::SwappableFrontend;
use crate::hot_restart::driver::{self, RunningPredecessors, StandbyDriver};
use crate::hot_restart::incarnation::Incarnation;
use crate::log_line;
use crate::net::discovery::{
    deliver_notices, watch_endpoints, DiscoveryEndpoint, PendingNotice, PollSchedule,
};
use crate::net::frontend::Frontend;
use crate::net::pool::{Pool, PoolLimits};
use crate::net::server::{self, ClientConnections, ReadTimeout, Server};
use crate::net::spawner::Spawner;
use crate::net::{admin as admin_calls, listener};
use crate::snapshot_store::SnapshotStore;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use marblefall_atomic_file::LocalDisk;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Events that wait for the engine at most; beyond that, sessions and attempts wait.
const MAX_QUEUED_EVENTS: usize = 1024;
/// On the platform, clients are close by: what has not come by then is not going to.
const PLATFORM_READ_TIMEOUT: ReadTimeout = ReadTimeout(Duration::from_millis(2500));
/// Events come from farther away.
const CLOUDEVENTS_READ_TIMEOUT: ReadTimeout = ReadTimeout(Duration::from_secs(10));
/// Descriptors kept for the journal, discovery, notices and the runtime.
const RESERVED_SOCKETS: usize = 24;
/// Clients hold this part of the descriptors at most, so at that many, connections are what they wait for.
const CLIENT_FRACTION: usize = 3;
/// Idle connections are closed well before the endpoints' own timeout: what is on the way when one closes is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// How often expired connections are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// An instance whose tasks are started.
pub(super) struct Instance {
    pub(super) counters: Rc<Counters>,
    pub(super) command_loop: CommandLoop,
    pub(super) engine_loop: EngineLoop,
}

/// Puts an instance together and starts its tasks, except for those of the returned loops.
pub(super) fn assemble(
    config: InstanceConfig,
    claimed: ClaimedState,
    tasks: Spawner,
) -> Result<Instance, InstanceError> {
    let clock = Clock::start(claimed.clock);
    let (senders, receivers) = channels();
    let schedule = poll_schedule(&config.engine);
    // On the platform the list is known as a whole, and its disk is small.
    let keeps_snapshots = matches!(config.endpoints, EngineEvent::DestinationTableReplaced(_));
    let mut assembly = Assembly::new(&config, claimed.incarnation, clock, senders, tasks);
    assembly.predecessors = claimed.predecessors;
    assembly.send_priority(config.endpoints);
    assembly.start_connection_expiry();
    if let Some(platform) = config.platform {
        assembly.start_platform(platform, schedule, receivers.notices)?;
    }
    assembly.start_idle_eviction();
    if let Some(listener) = config.admin_listener {
        assembly.start_admin(listener)?;
    }
    if let Some(cloudevents) = config.cloudevents {
        assembly.start_cloudevents(cloudevents)?;
    }
    if claimed.predecessors.is_none() {
        // A standby reads them once its predecessors no longer change them.
        assembly.admin.set_disabled(claimed.disabled_endpoints);
    }
    let (mut engine, commands) = assembly.start_engine(config.engine, claimed.store);
    let snapshots = keeps_snapshots.then(|| assembly.restore_snapshot(&mut engine));
    assembly.start_hot_restart();
    let lease = lease(config.name, config.lease);
    let shutdown = Rc::new(assembly.shutdown());
    let command_loop = assembly.command_loop(shutdown.clone());
    let counters = assembly.counters.clone();
    let executor = Rc::new(assembly.into_executor(lease));
    Ok(Instance {
        counters,
        command_loop,
        engine_loop: EngineLoop {
            engine,
            commands,
            executor,
            events: receivers.events,
            shutdown,
            snapshots,
            has_stepped: false,
        },
    })
}

struct Senders {
    queue: Sender<EngineEvent>,
    priority: Sender<EngineEvent>,
    notices: Sender<PendingNotice>,
}

struct Receivers {
    events: EventReceivers,
    notices: Receiver<PendingNotice>,
}

fn channels() -> (Senders, Receivers) {
    let (queue, queue_receiver) = async_channel::bounded(MAX_QUEUED_EVENTS);
    let (priority, priority_receiver) = async_channel::unbounded();
    let (notices, notice_receiver) = async_channel::unbounded();
    let senders = Senders {
        queue,
        priority,
        notices,
    };
    let receivers = Receivers {
        events: EventReceivers {
            queue: queue_receiver,
            priority: priority_receiver,
        },
        notices: notice_receiver,
    };
    (senders, receivers)
}

fn poll_schedule(engine: &EngineSettings) -> PollSchedule {
    let scheduler = &engine.scheduler;
    let max_delay_us = scheduler.rules.max_poll_interval.0.max(0) as u64;
    let max_delay = Duration::from_micros(max_delay_us);
    PollSchedule::new(scheduler.instances, engine.seed, max_delay)
}

fn lease(instance: String, config: Option<LeaseConfig>) -> Lease {
    let (guard, revision) = match config {
        Some(LeaseConfig { guard, revision }) => (Some(guard), revision),
        None => (None, 0),
    };
    Lease {
        guard,
        revision: Cell::new(revision),
        instance,
    }
}

/// The parts that are shared between tasks.
struct Assembly {
    folder: PathBuf,
    clock: Clock,
    tasks: Spawner,
    incarnation: Rc<RefCell<Incarnation>>,
    predecessors: Option<RunningPredecessors>,
    counters: Rc<Counters>,
    clients: Rc<ClientConnections>,
    pool: Rc<Pool>,
    admin: Rc<AdminState>,
    senders: Senders,
    discovery_changes: Vec<Sender<SocketAddr>>,
    platform: Option<Rc<SwappableFrontend<PlatformFrontend>>>,
    cloudevents: Rc<SwappableFrontend<CloudEventsFrontend>>,
}

impl Assembly {
    fn new(
        config: &InstanceConfig,
        incarnation: Incarnation,
        clock: Clock,
        senders: Senders,
        tasks: Spawner,
    ) -> Assembly {
        let counters = Rc::new(Counters::default());
        let max_clients = (config.max_sockets / CLIENT_FRACTION).max(1);
        let pool_limits = PoolLimits {
            connect_timeout: config.connect_timeout,
            idle_timeout: config.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            max_connections: config
                .max_sockets
                .saturating_sub(RESERVED_SOCKETS + max_clients)
                .max(1),
        };
        let clients = Rc::new(ClientConnections::new(
            senders.queue.clone(),
            max_clients,
            counters.clone(),
        ));
        let folder = &config.state_folder.path;
        let admin = AdminState::new(clients.clone(), senders.priority.clone(), folder);
        Assembly {
            folder: folder.clone(),
            clock,
            tasks,
            incarnation: Rc::new(RefCell::new(incarnation)),
            predecessors: None,
            pool: Rc::new(Pool::new(pool_limits, counters.clone())),
            counters,
            clients,
            admin: Rc::new(admin),
            senders,
            discovery_changes: Vec::new(),
            platform: None,
            cloudevents: Rc::default(),
        }
    }

    fn send_priority(&self, event: EngineEvent) {
        // The queue has no bound, and its receiver is not dropped before the engine has ended.
        let _ = self.senders.priority.try_send(event);
    }

    fn start_connection_expiry(&self) {
        let pool = self.pool.clone();
        self.tasks.spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                pool.close_expired();
            }
        });
    }

    fn start_idle_eviction(&self) {
        self.tasks.spawn(server::evict_idle(self.clients.clone()));
    }

    fn start_platform(
        &mut self,
        config: PlatformFrontendConfig,
        schedule: PollSchedule,
        notices: Receiver<PendingNotice>,
    ) -> Result<(), InstanceError> {
        let discovery = self.discovery_endpoint(config.discovery);
        self.tasks.spawn(deliver_notices(
            discovery,
            notices,
            self.senders.queue.clone(),
            platform::encode_notice,
        ));
        if let Some(watch) = config.watch {
            let discovery = self.discovery_endpoint(config.discovery);
            let engine = self.senders.priority.clone();
            self.tasks
                .spawn(watch_endpoints(discovery, watch, schedule, engine));
        }
        listener::listen(&config.listener).map_err(|source| InstanceError::Bind {
            address: address_of(&config.listener),
            source,
        })?;
        self.prefer_over_predecessors(&config.listener);
        let listener = open_listener(config.listener)?;
        let frontend = Rc::new(SwappableFrontend::new(config.frontend));
        self.platform = Some(frontend.clone());
        log_line!("listens at {}", address_of(listener.get_ref()));
        self.serve(listener, frontend, PLATFORM_READ_TIMEOUT);
        Ok(())
    }

    /// Discovery at an address, with a channel for changes of it.
    fn discovery_endpoint(&mut self, address: SocketAddr) -> DiscoveryEndpoint {
        let (sender, changes) = async_channel::unbounded();
        self.discovery_changes.push(sender);
        DiscoveryEndpoint { address, changes }
    }

    fn prefer_over_predecessors(&self, listener: &TcpListener) {
        let Some(predecessors) = self.predecessors else {
            return;
        };
        if let Err(error) = listener::prefer(listener, predecessors.count) {
            log_line!(
                code = "not-preferred",
                "the previous process still gets new connections: {error}"
            );
        }
    }

    fn start_admin(&self, listener: TcpListener) -> Result<(), InstanceError> {
        let listener = open_listener(listener)?;
        log_line!("operators call at {}", address_of(listener.get_ref()));
        let handler = self.admin.clone();
        self.tasks
            .spawn(admin_calls::serve(listener, handler, self.tasks.clone()));
        Ok(())
    }

    fn start_cloudevents(&self, config: CloudEventsFrontendConfig) -> Result<(), InstanceError> {
        self.cloudevents.set(config.frontend);
        let listener = open_listener(config.listener)?;
        log_line!("takes events at {}", address_of(listener.get_ref()));
        self.serve(listener, self.cloudevents.clone(), CLOUDEVENTS_READ_TIMEOUT);
        Ok(())
    }

    fn serve<F: Frontend + 'static>(
        &self,
        listener: Async<TcpListener>,
        frontend: Rc<F>,
        read_timeout: ReadTimeout,
    ) {
        let server = Server {
            frontend,
            clients: self.clients.clone(),
            read_timeout,
            clock: self.clock,
            tasks: self.tasks.clone(),
        };
        self.tasks.spawn(server.serve(listener));
    }

    /// The engine, and what it wants done at first: active at once, or a standby beside predecessors.
    fn start_engine(
        &self,
        settings: EngineSettings,
        store: MessageStore,
    ) -> (Engine, Vec<EngineCommand>) {
        let mut commands = Vec::new();
        let engine = match self.predecessors {
            Some(_) => Engine::standby(settings, store),
            None => Engine::new(settings, store, self.clock.now(), &mut commands),
        };
        (engine, commands)
    }

    fn restore_snapshot(&self, engine: &mut Engine) -> SnapshotWriter {
        let (store, records) = SnapshotStore::open(LocalDisk, &self.folder);
        engine.restore_destinations(self.clock.now(), &records);
        SnapshotWriter::new(store)
    }

    fn start_hot_restart(&self) {
        if let Some(predecessors) = self.predecessors {
            let standby = StandbyDriver {
                incarnation: self.incarnation.clone(),
                first_concurrent: predecessors.first,
                clock: self.clock,
                instance: self.admin.clone(),
                engine: self.senders.priority.clone(),
            };
            self.tasks.spawn(standby.run());
        }
        self.tasks.spawn(driver::watch_successors(
            self.incarnation.clone(),
            self.admin.clone(),
            self.senders.priority.clone(),
        ));
    }

    fn shutdown(&self) -> Shutdown {
        Shutdown {
            clients: self.clients.clone(),
            incarnation: self.incarnation.clone(),
            clock: self.clock,
            tasks: self.tasks.clone(),
            deadline: Cell::new(None),
        }
    }

    fn command_loop(&mut self, shutdown: Rc<Shutdown>) -> CommandLoop {
        CommandLoop {
            counters: self.counters.clone(),
            clients: self.clients.clone(),
            platform: self.platform.clone(),
            cloudevents: self.cloudevents.clone(),
            priority_events: self.senders.priority.clone(),
            discovery_changes: std::mem::take(&mut self.discovery_changes),
            shutdown,
        }
    }

    fn into_executor(self, lease: Lease) -> Executor {
        Executor {
            clients: self.clients,
            pool: self.pool,
            cloudevents: self.cloudevents,
            notices: self.senders.notices,
            events: self.senders.queue,
            priority_events: self.senders.priority,
            clock: self.clock,
            counters: self.counters,
            lease,
            endpoint_addresses: RefCell::default(),
            tasks: self.tasks,
            admin: self.admin,
            incarnation: self.incarnation,
            withheld: RefCell::default(),
        }
    }
}

fn open_listener(listener: TcpListener) -> Result<Async<TcpListener>, InstanceError> {
    Async::new(listener).map_err(InstanceError::Listener)
}

fn address_of(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|error| error.to_string(), |address| address.to_string())
}
