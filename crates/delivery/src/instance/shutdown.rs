//! Graceful shutdown of an instance, at the request of a command or a successor.
//!
//! A task of its own closes client connections first: each after its next response, then the idle ones, then all. The
//! engine continues until no message is open, or until the deadline. The times at which connections are closed depend on the
//! [`Successor`].

use crate::clock::Clock;
use crate::core::engine::{Engine, EngineEvent};
use crate::hot_restart::driver;
use crate::hot_restart::incarnation::Incarnation;
use crate::log_line;
use crate::net::server::ClientConnections;
use crate::net::spawner::Spawner;
use async_io::Timer;
use marblefall_scheduler::Span;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum duration of a shutdown after SIGTERM.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);
/// Without a successor, idle connections are closed after this time. No new connections are expected by then.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(500);
/// Minimum idle time of connections that are closed from then on.
const MIN_IDLE_TIME: Duration = Duration::from_millis(150);
/// Interval at which idle connections are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_micros(37_500);
/// With a running successor, idle connections are closed only after this time. Until then each client receives one more
/// response on its connection, after which it connects to the successor.
const SUCCESSOR_CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2200);
/// Minimum idle time of connections that are closed from then on, with a running successor.
const SUCCESSOR_MIN_IDLE_TIME: Duration = Duration::from_millis(400);
/// With a running successor, all remaining idle connections are closed after this time.
const SUCCESSOR_CLOSE_ALL_AFTER: Duration = Duration::from_millis(3100);
/// Time for which an instance that is removed waits for acknowledgements of its notices once all messages have their final
/// outcomes.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before its end at which a process closes its listeners. Until then it serves the connections in the operating
/// system's queue, as the end of the process would reset them.
const STOP_ACCEPTING_BEFORE_END: Duration = Duration::from_millis(400);

/// The incarnation that serves clients after this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Successor {
    /// No successor is known.
    None,
    /// No incarnation follows, as the instance is removed.
    Never,
    /// An incarnation that is started once this one has ended.
    Restart,
    /// An incarnation that is running.
    Running,
    /// The active incarnation beside which this one is a standby. It adopts the messages of this one once this one has
    /// ended.
    ActivePredecessor,
}

impl Successor {
    /// Returns whether clients may still connect to this incarnation for a while.
    fn leaves_clients_here(self) -> bool {
        self == Successor::None
    }
}

/// The shutdown of one instance.
pub(super) struct Shutdown {
    pub(super) clients: Rc<ClientConnections>,
    pub(super) incarnation: Rc<RefCell<Incarnation>>,
    pub(super) clock: Clock,
    pub(super) tasks: Spawner,
    /// Latest time at which the instance ends; `None` until the shutdown begins.
    pub(super) deadline: Cell<Option<Instant>>,
    /// The successor of this incarnation; `None` until the shutdown begins.
    pub(super) successor: Cell<Option<Successor>>,
    /// Time at which an instance that is removed was first found without an open message.
    pub(super) settled_at: Cell<Option<Instant>>,
}

impl Shutdown {
    pub(super) fn has_begun(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Returns whether the instance shuts down because it is removed. Another shutdown may then replace this one.
    pub(super) fn is_removal(&self) -> bool {
        self.successor.get() == Some(Successor::Never)
    }

    /// Begins the shutdown, which takes at most `timeout`, and returns the event for the engine. If another incarnation is
    /// running, it replaces the given successor.
    pub(super) fn begin(&self, timeout: Duration, successor: Successor) -> EngineEvent {
        let now = Instant::now();
        let has_running_successor =
            driver::must_hand_over(&self.incarnation) || self.incarnation.borrow().has_successor();
        let successor = if has_running_successor {
            Successor::Running
        } else if self.incarnation.borrow_mut().has_active_predecessor() {
            Successor::ActivePredecessor
        } else {
            successor
        };
        self.deadline.set(Some(now + timeout));
        self.successor.set(Some(successor));
        if successor.leaves_clients_here() {
            self.clients.begin_closing(now + CLOSE_IDLE_AFTER);
        } else {
            // Another incarnation, or none, serves new connections from now on.
            self.clients.begin_closing(now);
            self.clients.stop_accepting();
        }
        let closing = ClientClosing {
            clients: self.clients.clone(),
            begun_at: now,
            timeout,
            successor,
        };
        self.tasks.spawn(closing.run());
        self.engine_event(timeout, successor)
    }

    /// Shortens a shutdown that has begun to `timeout` from now, and returns the event for the engine; `None` if it ends earlier
    /// anyway.
    pub(super) fn shorten(&self, timeout: Duration) -> Option<EngineEvent> {
        let deadline = Instant::now() + timeout;
        let is_shorter = self
            .deadline
            .get()
            .is_some_and(|current| deadline < current);
        let successor = self.successor.get().filter(|_| is_shorter)?;
        self.deadline.set(Some(deadline));
        Some(self.engine_event(timeout, successor))
    }

    /// Hands over to the successor that requested it, and returns the event for the engine.
    pub(super) fn hand_over(&self) -> EngineEvent {
        if self.has_begun() {
            return self.engine_event(SHUTDOWN_TIMEOUT, Successor::Running);
        }
        log_line!("handover requested");
        self.begin(SHUTDOWN_TIMEOUT, Successor::None)
    }

    fn engine_event(&self, timeout: Duration, successor: Successor) -> EngineEvent {
        let deadline = self.clock.now().monotonic + Span(timeout.as_micros() as i64);
        match successor {
            Successor::None => EngineEvent::Shutdown { deadline },
            Successor::Never => EngineEvent::StopAccepting,
            Successor::Restart => EngineEvent::Restart { deadline },
            Successor::Running | Successor::ActivePredecessor => EngineEvent::HandOver { deadline },
        }
    }

    /// Returns whether the instance may end now. Once nothing is open, it closes the listeners; connections in the operating
    /// system's queue are still served.
    pub(super) fn is_complete(&self, engine: &Engine) -> bool {
        let Some(deadline) = self.deadline.get() else {
            return false;
        };
        let load = engine.load();
        let now = Instant::now();
        // After a handover or for a restart, the next incarnation delivers the open messages, so this one waits only for its
        // attempts, the records of their results, and its connections.
        let is_restart = self.successor.get() == Some(Successor::Restart);
        let next_continues = engine.has_handed_over() || is_restart && !engine.delays_restart();
        let is_idle = load.in_flight == 0
            && (load.open_messages == 0 || next_continues)
            && !engine.has_unwritten_reports()
            && self.clients.connections() == 0
            && !(self.is_removal() && self.awaits_acknowledgements(engine, now));
        // Clients may connect until they are notified of the shutdown.
        let is_done = is_idle
            && self
                .clients
                .clients_notified_at()
                .is_some_and(|notified_at| notified_at <= now);
        if is_done {
            self.clients.stop_accepting();
        }
        now >= deadline || is_done && !self.clients.is_listening()
    }

    /// Returns whether an instance that is removed still waits for acknowledgements of its notices. The platform may be gone
    /// as well, so it does not wait forever.
    fn awaits_acknowledgements(&self, engine: &Engine, now: Instant) -> bool {
        let settled_at = self.settled_at.get().unwrap_or(now);
        if engine.load().open_messages == 0 {
            self.settled_at.set(Some(settled_at));
        }
        engine.has_pending_notices() && now < settled_at + ACKNOWLEDGEMENT_TIMEOUT
    }
}

/// Closes the connections of clients during a shutdown.
struct ClientClosing {
    clients: Rc<ClientConnections>,
    begun_at: Instant,
    timeout: Duration,
    successor: Successor,
}

impl ClientClosing {
    async fn run(self) {
        self.await_first_close().await;
        let (min_idle_time, end) = match self.successor {
            Successor::Running => (
                SUCCESSOR_MIN_IDLE_TIME,
                self.begun_at + SUCCESSOR_CLOSE_ALL_AFTER,
            ),
            Successor::None
            | Successor::Never
            | Successor::Restart
            | Successor::ActivePredecessor => (MIN_IDLE_TIME, self.begun_at + self.timeout),
        };
        let stop_accepting_at = end
            .checked_sub(STOP_ACCEPTING_BEFORE_END)
            .unwrap_or(self.begun_at);
        while Instant::now() < end {
            if Instant::now() >= stop_accepting_at {
                self.clients.stop_accepting();
            }
            self.clients.close_idle_for(min_idle_time);
            Timer::after(IDLE_CHECK_INTERVAL).await;
        }
        self.clients.close_idle();
    }

    async fn await_first_close(&self) {
        match self.successor {
            // Closing a connection could fail a request on it; after a response, the client connects elsewhere.
            Successor::Running => {
                Timer::at(self.begun_at + SUCCESSOR_CLOSE_IDLE_AFTER).await;
            }
            Successor::None => {
                Timer::at(self.begun_at + CLOSE_IDLE_AFTER).await;
                self.clients.close_idle();
            }
            Successor::Never | Successor::Restart | Successor::ActivePredecessor => {}
        }
    }
}
