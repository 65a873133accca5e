//! The one path by which an instance ends, whatever asks for it: a command, or a successor that takes over.
//!
//! Clients are let go first, in a task of its own: they use connections that are open, so each is closed with its next
//! response, then those that are idle, then all. The engine goes on until nothing is open, or the time is up. How fast
//! clients are let go depends on the [`Successor`].

use crate::clock::Clock;
use crate::core::engine::{Engine, EngineEvent, EngineLoad};
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

/// How long a process has from SIGTERM on.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);
/// Without a successor, idle connections are closed after this, when no new ones are expected.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(500);
/// Connections that have waited so long for a request are then closed.
const IDLE_FOR: Duration = Duration::from_millis(150);
/// How often they are looked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_micros(37_500);
/// An instance that another process has taken over from responds on the connections that clients keep, each for the last
/// time. It closes those that have been idle for a while only after this ...
const SUCCESSOR_CLOSE_IDLE_AFTER: Duration = Duration::from_millis(2200);
const SUCCESSOR_IDLE_FOR: Duration = Duration::from_millis(400);
/// ... and all that still wait after this.
const SUCCESSOR_CLOSE_ALL_AFTER: Duration = Duration::from_millis(3100);
/// So long before its end a process closes its listeners: what waits in the system's queue is served first, as the end
/// would reset it.
const STOP_ACCEPTING_BEFORE_END: Duration = Duration::from_millis(400);

/// Who serves clients after this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Successor {
    /// Nobody that is known of.
    None,
    /// An incarnation that is started once this one has ended.
    Restart,
    /// An incarnation that is running.
    Running,
}

impl Successor {
    /// Whether attempts are left to it.
    fn takes_over(self) -> bool {
        match self {
            Successor::None => false,
            Successor::Restart | Successor::Running => true,
        }
    }
}

/// The shutdown of one instance.
pub(super) struct Shutdown {
    pub(super) clients: Rc<ClientConnections>,
    pub(super) incarnation: Rc<RefCell<Incarnation>>,
    pub(super) clock: Clock,
    pub(super) tasks: Spawner,
    /// Set once it has begun.
    pub(super) deadline: Cell<Option<Instant>>,
}

impl Shutdown {
    pub(super) fn has_begun(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Begins to end this incarnation: at once towards clients, and within `timeout` altogether. A running successor goes
    /// before the one that is given. Returns the event that tells the engine.
    pub(super) fn begin(&self, timeout: Duration, successor: Successor) -> EngineEvent {
        let now = Instant::now();
        let has_running_successor =
            driver::must_hand_over(&self.incarnation) || self.incarnation.borrow().has_successor();
        let successor = if has_running_successor {
            Successor::Running
        } else {
            successor
        };
        self.deadline.set(Some(now + timeout));
        if successor.takes_over() {
            // It listens at once, so connections are let go without a pause, and new ones go to it.
            self.clients.begin_closing(now);
            self.clients.stop_accepting();
        } else {
            self.clients.begin_closing(now + CLOSE_IDLE_AFTER);
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

    /// Hands over to the successor that requests it. Returns the event that tells the engine.
    pub(super) fn hand_over(&self) -> EngineEvent {
        if self.has_begun() {
            return self.engine_event(SHUTDOWN_TIMEOUT, Successor::Running);
        }
        log_line!("handover requested");
        self.begin(SHUTDOWN_TIMEOUT, Successor::None)
    }

    fn engine_event(&self, timeout: Duration, successor: Successor) -> EngineEvent {
        EngineEvent::Shutdown {
            deadline: self.clock.now().monotonic + Span(timeout.as_micros() as i64),
            hand_over: successor.takes_over(),
        }
    }

    /// Whether the instance may end now. Once nothing is open, the listeners are closed, as who waits to be accepted is
    /// still served.
    pub(super) fn is_complete(&self, engine: &Engine) -> bool {
        let Some(deadline) = self.deadline.get() else {
            return false;
        };
        let EngineLoad {
            open_messages,
            in_flight,
        } = engine.load();
        let now = Instant::now();
        // One that has handed over also journals what is submitted now, for its successor: it waits only for its attempts
        // and for the connections that clients still use.
        let is_idle = in_flight == 0
            && (open_messages == 0 || engine.has_handed_over())
            && self.clients.connections() == 0;
        // Clients that do not know of the end yet still come.
        let is_done = is_idle
            && self
                .clients
                .clients_notified_at()
                .is_some_and(|from| from <= now);
        if is_done {
            self.clients.stop_accepting();
        }
        now >= deadline || is_done && !self.clients.is_listening()
    }
}

/// Lets clients go.
struct ClientClosing {
    clients: Rc<ClientConnections>,
    begun_at: Instant,
    timeout: Duration,
    successor: Successor,
}

impl ClientClosing {
    async fn run(self) {
        self.await_first_close().await;
        let (idle_for, end) = match self.successor {
            Successor::Running => (
                SUCCESSOR_IDLE_FOR,
                self.begun_at + SUCCESSOR_CLOSE_ALL_AFTER,
            ),
            Successor::None | Successor::Restart => (IDLE_FOR, self.begun_at + self.timeout),
        };
        let stop_accepting_at = end
            .checked_sub(STOP_ACCEPTING_BEFORE_END)
            .unwrap_or(self.begun_at);
        while Instant::now() < end {
            if Instant::now() >= stop_accepting_at {
                self.clients.stop_accepting();
            }
            self.clients.close_idle_for(idle_for);
            Timer::after(IDLE_CHECK_INTERVAL).await;
        }
        self.clients.close_idle();
    }

    async fn await_first_close(&self) {
        match self.successor {
            // A connection closed under a request fails it; with a response, its client goes elsewhere.
            Successor::Running => {
                Timer::at(self.begun_at + SUCCESSOR_CLOSE_IDLE_AFTER).await;
            }
            Successor::None => {
                Timer::at(self.begun_at + CLOSE_IDLE_AFTER).await;
                self.clients.close_idle();
            }
            Successor::Restart => {}
        }
    }
}
