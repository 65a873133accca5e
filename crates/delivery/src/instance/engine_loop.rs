//! The engine's loop: receives events, steps the engine, executes its commands, and waits for the next event.

use super::executor::Executor;
use super::shutdown::Shutdown;
use crate::core::engine::{Engine, EngineCommand, EngineEvent};
use crate::core::SubmitResponse;
use crate::hot_restart::driver;
use crate::snapshot_store::SnapshotStore;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of queued events in one step. Other tasks run between two steps.
const MAX_EVENTS_PER_STEP: usize = 256;
/// Minimum interval between two snapshots of the destinations.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether a shutdown is complete.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which clients that still wait at the end of the shutdown may retry, in milliseconds.
const RETRY_AFTER_SHUTDOWN_MS: u64 = 1000;
/// Time-out for writing the last responses.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which it is checked whether the last responses are written.
const LAST_WRITES_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The sources of the engine's events.
pub(super) struct EventReceivers {
    /// Events of clients and attempts.
    pub(super) queue: Receiver<EngineEvent>,
    /// Events that the engine receives before those of the queue.
    pub(super) priority: Receiver<EngineEvent>,
}

/// Writes snapshots of the destinations.
pub(super) struct SnapshotWriter {
    store: SnapshotStore,
    written_at: Instant,
}

impl SnapshotWriter {
    pub(super) fn new(store: SnapshotStore) -> SnapshotWriter {
        SnapshotWriter {
            store,
            written_at: Instant::now(),
        }
    }
}

/// The engine and what its loop uses.
pub(super) struct EngineLoop {
    pub(super) engine: Engine,
    /// The engine's first commands.
    pub(super) commands: Vec<EngineCommand>,
    pub(super) executor: Rc<Executor>,
    pub(super) events: EventReceivers,
    pub(super) shutdown: Rc<Shutdown>,
    pub(super) snapshots: Option<SnapshotWriter>,
    /// Whether the engine has made its first step.
    pub(super) has_stepped: bool,
}

/// A summary of one step.
struct StepSummary {
    had_events: bool,
    /// Whether the engine held its lease, or needed none.
    held_lease: bool,
}

impl EngineLoop {
    /// Runs until the shutdown is complete.
    pub(super) async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            self.receive(&mut batch);
            self.hand_over_if_requested(&mut batch);
            self.count_notices(&batch);
            let step = self.step(std::mem::take(&mut batch));
            self.write_snapshot_if_due();
            if self.shutdown.is_complete(&self.engine) {
                return self.finish().await;
            }
            if self.engine.has_backlog() || !self.events.queue.is_empty() {
                // The next step must not have the same time as this one, and other tasks must run in between.
                future::yield_now().await;
                continue;
            }
            batch.extend(self.next_event(&step).await);
        }
    }

    /// Receives queued events as one batch, all priority events first.
    fn receive(&self, batch: &mut Vec<EngineEvent>) {
        while let Ok(event) = self.events.priority.try_recv() {
            batch.push(event);
        }
        let queued = std::iter::from_fn(|| self.events.queue.try_recv().ok());
        batch.extend(queued.take(MAX_EVENTS_PER_STEP));
    }

    /// Adds the event of a handover if a successor has requested one. This is checked before the engine decides anything, as
    /// another incarnation may be active already.
    fn hand_over_if_requested(&self, batch: &mut Vec<EngineEvent>) {
        if !self.engine.has_handed_over() && driver::must_hand_over(&self.executor.incarnation) {
            batch.push(self.shutdown.hand_over());
        }
    }

    fn count_notices(&self, batch: &[EngineEvent]) {
        let acknowledged = batch
            .iter()
            .filter(|event| matches!(event, EngineEvent::NoticeAcknowledged(_)))
            .count();
        let counter = &self.executor.counters.notices_acknowledged;
        counter.set(counter.get() + acknowledged as u64);
    }

    fn step(&mut self, batch: Vec<EngineEvent>) -> StepSummary {
        let started_at = Instant::now();
        let had_events = !batch.is_empty();
        let held_lease = self
            .executor
            .step(&mut self.engine, batch, &mut self.commands);
        // The first step recovers messages before any client is served, so its duration is not counted.
        if std::mem::replace(&mut self.has_stepped, true) {
            let longest = &self.executor.counters.longest_step_us;
            let elapsed_us = started_at.elapsed().as_micros() as u64;
            longest.set(longest.get().max(elapsed_us));
        }
        StepSummary {
            had_events,
            held_lease,
        }
    }

    fn write_snapshot_if_due(&mut self) {
        let is_due = self
            .snapshots
            .as_ref()
            .is_some_and(|snapshots| snapshots.written_at.elapsed() >= SNAPSHOT_INTERVAL);
        if is_due {
            self.write_snapshot();
        }
    }

    fn write_snapshot(&mut self) {
        if let Some(snapshots) = &mut self.snapshots {
            let now = self.executor.clock.now();
            snapshots.store.write(&self.engine.destination_records(now));
            snapshots.written_at = Instant::now();
        }
    }

    /// Responds to all clients, and waits until the responses are written.
    async fn finish(mut self) {
        self.end_engine();
        // The remaining requests were never passed to the engine, or are deferred without a journal record.
        self.executor
            .clients
            .respond_to_all(SubmitResponse::Rejected {
                retry_after_ms: RETRY_AFTER_SHUTDOWN_MS,
            });
        self.write_snapshot();
        let until = Instant::now() + LAST_WRITES_TIMEOUT;
        loop {
            Timer::after(LAST_WRITES_POLL_INTERVAL).await;
            let has_timed_out = Instant::now() >= until;
            if has_timed_out || !self.executor.clients.has_open_requests() {
                return;
            }
        }
    }

    fn end_engine(&mut self) {
        // Another incarnation may have become active since the last step.
        let mut batch = Vec::new();
        self.hand_over_if_requested(&mut batch);
        if !batch.is_empty() {
            self.step(batch);
        }
        self.executor.end(&mut self.engine, &mut self.commands);
    }

    /// Waits for the next event. Returns `None` if the engine, the shutdown or the snapshot is due first.
    async fn next_event(&self, step: &StepSummary) -> Option<EngineEvent> {
        let sleep = async {
            match self.wake_at(step) {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            None
        };
        let receive = future::or(async { self.events.priority.recv().await.ok() }, async {
            self.events.queue.recv().await.ok()
        });
        future::or(receive, sleep).await
    }

    fn wake_at(&self, step: &StepSummary) -> Option<Instant> {
        let clock = self.executor.clock;
        let engine = if step.held_lease {
            self.engine.next_wake()
        } else {
            self.engine.next_wake_without_lease(clock.now())
        };
        let shutdown = self
            .shutdown
            .has_begun()
            .then(|| Instant::now() + SHUTDOWN_POLL_INTERVAL);
        // Changes of this step are written to a snapshot even if there is no further event.
        let snapshot = self
            .snapshots
            .as_ref()
            .filter(|_| step.had_events)
            .map(|snapshots| snapshots.written_at + SNAPSHOT_INTERVAL);
        engine
            .map(|at| clock.instant(at))
            .into_iter()
            .chain(shutdown)
            .chain(snapshot)
            .min()
    }
}
