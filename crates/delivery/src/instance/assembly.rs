//! Assembles an instance, in the order in which its parts depend on each other.
//!
//! The incarnation has been claimed before, as operators may call as soon as there is a listener. Frontends are started
//! before the engine. Until the engine runs, clients' requests wait in its queue.

mod frontends;

use super::admin::AdminState;
use super::command::CommandLoop;
use super::engine_loop::{EngineLoop, EventReceivers, SnapshotWriter};
use super::executor::Executor;
use super::lease::Lease;
use super::memory_plan::{ConnectionLimits, MemoryPlan};
use super::resource_monitor::ResourceMonitor;
use super::shutdown::Shutdown;
use super::state_folder::{ClaimedState, StartMode};
use super::{InstanceConfig, InstanceError};
use crate::clock::Clock;
use crate::core::engine::{Engine, EngineCommand, EngineEvent, EngineSettings};
use crate::core::message_store::MessageStore;
use crate::counters::Counters;
use crate::frontend::cloudevents::CloudEventsFrontend;
use crate::frontend::platform::PlatformFrontend;
use crate::frontend::SwappableFrontend;
use crate::hot_restart::driver::{self, RunningPredecessors, StandbyDriver};
use crate::hot_restart::incarnation::Incarnation;
use crate::net::admin::MAX_CONNECTIONS as MAX_ADMIN_CONNECTIONS;
use crate::net::discovery::{PendingNotice, PollSchedule};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool::{Pool, PoolLimits};
use crate::net::server::ClientConnections;
use crate::net::spawner::Spawner;
use crate::snapshot_store::SnapshotStore;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use frontends::Frontends;
use marblefall_atomic_file::LocalDisk;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of queued events for the engine. While the queue is full, sessions and attempts wait.
const MAX_QUEUED_EVENTS: usize = 1024;
/// Number of file descriptors that are reserved for the journal, discovery, notices, operators' calls and the runtime.
const RESERVED_SOCKETS: usize = 24 + MAX_ADMIN_CONNECTIONS;
/// Connections of clients use at most one in this many file descriptors. The others are for connections to endpoints.
const CLIENT_SOCKETS_DIVISOR: usize = 3;
/// Idle connections are closed after this fraction of the endpoints' own time-out, as a request that is sent while the
/// endpoint closes the connection is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// Interval at which expired connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a connection to an endpoint must have been quiet after a response before it is reused. A copy of that
/// response which arrives within this time is noticed.
const MIN_QUIET_TIME: Duration = Duration::from_millis(100);

/// An assembled instance, whose two loops are not running yet.
pub(super) struct Instance {
    pub(super) counters: Rc<Counters>,
    pub(super) resources: Rc<ResourceMonitor>,
    pub(super) command_loop: CommandLoop,
    pub(super) engine_loop: EngineLoop,
}

/// Assembles an instance and starts its tasks, except for those of the returned loops.
pub(super) fn assemble(
    config: InstanceConfig,
    claimed: ClaimedState,
    tasks: Spawner,
) -> Result<Instance, InstanceError> {
    let clock = Clock::start(claimed.clock);
    let plan = config.memory.plan(connection_limits(&config))?;
    let (senders, receivers) = channels();
    let shared = Shared {
        clock,
        senders,
        tasks: tasks.clone(),
    };
    let mut assembly = Assembly::new(&config, &plan, claimed.incarnation, shared);
    if let StartMode::Standby(predecessors) = claimed.start_mode {
        assembly.predecessors = Some(predecessors);
    }
    // Snapshots are written only with a destination table. Without one, the platform provides a complete endpoint list, and
    // its disk is small.
    let writes_snapshots = matches!(config.endpoints, EngineEvent::DestinationTableReplaced(_));
    assembly.send_priority(config.endpoints);
    assembly.start_connection_expiry();
    assembly.start_frontends(Frontends {
        platform: config.platform,
        cloudevents: config.cloudevents,
        admin_listener: config.admin_listener,
        poll_schedule: poll_schedule(&config.engine),
        notices: receivers.notices,
    })?;
    if let StartMode::Alone { disabled_endpoints } = claimed.start_mode {
        // A standby reads the disabled endpoints once its predecessors can no longer change them.
        assembly.admin.set_disabled(disabled_endpoints);
    }
    let mut store = claimed.store;
    store.limit_memory(plan.journal_bytes);
    let (mut engine, commands) = assembly.start_engine(config.engine, store);
    let snapshots = writes_snapshots.then(|| assembly.restore_snapshot(&mut engine));
    assembly.start_hot_restart();
    let shutdown = Rc::new(assembly.shutdown());
    let command_loop = assembly.command_loop(shutdown.clone());
    let counters = assembly.counters.clone();
    let resources = assembly.resources.clone();
    tasks.spawn(resources.clone().run());
    let lease = Lease::new(config.name, config.lease);
    Ok(Instance {
        counters,
        resources,
        command_loop,
        engine_loop: EngineLoop {
            engine,
            commands,
            executor: Rc::new(assembly.into_executor(lease)),
            events: receivers.events,
            shutdown,
            snapshots,
            has_stepped: false,
        },
    })
}

/// The senders of the channels between the tasks.
struct Senders {
    /// Events of clients and attempts.
    queue: Sender<EngineEvent>,
    /// Events that the engine receives before those of the queue.
    priority: Sender<EngineEvent>,
    notices: Sender<PendingNotice>,
}

/// The receivers of the channels between the tasks.
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

/// Returns the numbers of connections that the limit on descriptors permits.
fn connection_limits(config: &InstanceConfig) -> ConnectionLimits {
    let clients = (config.max_sockets / CLIENT_SOCKETS_DIVISOR).max(1);
    let endpoints = config
        .max_sockets
        .saturating_sub(RESERVED_SOCKETS + clients)
        .max(1);
    ConnectionLimits { clients, endpoints }
}

fn poll_schedule(engine: &EngineSettings) -> PollSchedule {
    let scheduler = &engine.scheduler;
    let max_delay_us = scheduler.rules.max_poll_interval.0.max(0) as u64;
    let max_delay = Duration::from_micros(max_delay_us);
    PollSchedule::new(scheduler.instances, engine.seed, max_delay)
}

/// The clock, the channels and the executor of an instance.
struct Shared {
    clock: Clock,
    senders: Senders,
    tasks: Spawner,
}

/// The parts of an instance that its tasks share.
struct Assembly {
    folder: PathBuf,
    clock: Clock,
    tasks: Spawner,
    incarnation: Rc<RefCell<Incarnation>>,
    predecessors: Option<RunningPredecessors>,
    counters: Rc<Counters>,
    resources: Rc<ResourceMonitor>,
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
        plan: &MemoryPlan,
        incarnation: Incarnation,
        shared: Shared,
    ) -> Assembly {
        let Shared {
            clock,
            senders,
            tasks,
        } = shared;
        let counters = Rc::new(Counters::default());
        let memory = Rc::new(MemoryBudget::new(plan.receive_bytes, plan.response_reserve));
        let pool_limits = PoolLimits {
            connect_timeout: config.connect_timeout,
            min_quiet_time: MIN_QUIET_TIME,
            idle_timeout: config.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            max_connections: plan.max_endpoint_connections,
        };
        let clients = Rc::new(ClientConnections::new(
            senders.queue.clone(),
            plan.max_clients,
            memory.clone(),
            counters.clone(),
        ));
        let folder = &config.state_folder.path;
        let pool = Rc::new(Pool::new(pool_limits, memory.clone(), counters.clone()));
        let resources = Rc::new(ResourceMonitor {
            clients: clients.clone(),
            pool: pool.clone(),
            memory,
            memory_limit: config.memory.bytes,
        });
        let admin = AdminState::new(clients.clone(), senders.priority.clone(), folder);
        Assembly {
            folder: folder.clone(),
            clock,
            tasks,
            incarnation: Rc::new(RefCell::new(incarnation)),
            predecessors: None,
            pool,
            counters,
            resources,
            clients,
            admin: Rc::new(admin),
            senders,
            discovery_changes: Vec::new(),
            platform: None,
            cloudevents: Rc::default(),
        }
    }

    fn send_priority(&self, event: EngineEvent) {
        // Fails only once the engine has ended, as the channel is unbounded.
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

    /// Creates the engine and returns it with its first commands. The engine is a standby if predecessors are running, and
    /// active at once otherwise.
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
        let snapshot = SnapshotStore::open(LocalDisk, &self.folder);
        engine.restore_destinations(self.clock.now(), &snapshot.records);
        SnapshotWriter::new(snapshot.store)
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
            successor: Cell::new(None),
            settled_at: Cell::new(None),
        }
    }

    fn command_loop(&mut self, shutdown: Rc<Shutdown>) -> CommandLoop {
        CommandLoop {
            counters: self.counters.clone(),
            resources: self.resources.clone(),
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
            withheld_acceptances: RefCell::default(),
        }
    }
}
