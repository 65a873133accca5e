//! The driver of a hot restart: polls the state folder, executes the steps of [`Takeover`], and sends the engine its
//! events.

use super::incarnation::{Incarnation, Predecessor, PredecessorState};
use super::takeover::{PredecessorView, Takeover, TakeoverStep};
use crate::clock::Clock;
use crate::core::engine::EngineEvent;
use crate::core::journal::Generation;
use crate::log_line;
use crate::system_error::is_transient;
use async_channel::Sender;
use async_io::Timer;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a standby polls its predecessors. The results of their last attempts are delayed by up to this time.
const PREDECESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which an incarnation polls for marks of successors, even when it is idle.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The incarnations that were running when this one was claimed.
#[derive(Clone, Copy, Debug)]
pub struct RunningPredecessors {
    /// Generation of the earliest running predecessor.
    pub first: Generation,
    /// Number of running predecessors.
    pub count: usize,
}

/// The operations of an instance that the driver uses.
pub trait HotRestartInstance {
    /// Reads the state that operators have set and sends it to the engine. Called immediately before the takeover.
    ///
    /// # Errors
    /// The state cannot be read because of a transient error.
    fn load_operator_state(&self) -> io::Result<()>;

    /// Returns whether the engine is active.
    fn is_active(&self) -> bool;

    /// Returns whether the instance is being shut down.
    fn is_shutting_down(&self) -> bool;
}

/// Announces an incarnation to its running predecessors. Returns a summary of them, or `None` if there are none. An
/// incarnation may be announced more than once.
///
/// # Errors
/// The folder cannot be read, or a mark cannot be written because of a transient error.
pub fn announce(incarnation: &mut Incarnation) -> io::Result<Option<RunningPredecessors>> {
    let predecessors = incarnation.running_predecessors()?;
    incarnation.release_exited();
    for predecessor in &predecessors {
        let generation = predecessor.generation;
        match incarnation.announce(generation) {
            Ok(()) => {}
            // The messages of an unannounced incarnation would not be adopted if it exited.
            Err(error) if is_transient(&error) => return Err(error),
            Err(error) => log_line!(
                code = "not-announced",
                "cannot announce this standby to predecessor {}: {error}",
                generation.0
            ),
        }
    }
    let first = predecessors
        .iter()
        .map(|predecessor| predecessor.generation)
        .min();
    Ok(first.map(|first| RunningPredecessors {
        first,
        count: predecessors.len(),
    }))
}

/// Returns whether a successor has requested this incarnation to hand over, or has fenced it. The incarnation must not
/// decide anything from then on.
pub fn must_hand_over(incarnation: &RefCell<Incarnation>) -> bool {
    incarnation.borrow_mut().successor_requests().hand_over
}

/// Returns whether this incarnation may start an attempt at this moment. If not, the successor sends the message.
pub fn may_start_attempt(incarnation: &RefCell<Incarnation>) -> bool {
    incarnation.borrow_mut().may_act()
}

/// Drives a standby from its start until its last predecessor has exited.
pub struct StandbyDriver<I> {
    /// The standby's own incarnation.
    pub incarnation: Rc<RefCell<Incarnation>>,
    /// The earliest predecessor that was running when this incarnation was claimed.
    pub first_concurrent: Generation,
    /// The engine's clock.
    pub clock: Clock,
    /// The instance that runs the standby.
    pub instance: Rc<I>,
    /// Sends events to the engine.
    pub engine: Sender<EngineEvent>,
}

impl<I: HotRestartInstance> StandbyDriver<I> {
    /// Runs until the takeover is complete and no predecessor is running.
    pub async fn run(self) {
        let mut takeover = Takeover::new(self.clock.now().monotonic);
        let mut followed = BTreeSet::<Generation>::new();
        loop {
            Timer::after(PREDECESSOR_POLL_INTERVAL).await;
            let predecessors = match self.incarnation.borrow_mut().running_predecessors() {
                Ok(predecessors) => predecessors,
                Err(error) => {
                    log_line!(
                        code = "state-folder-unreadable",
                        "cannot find the running predecessors: {error}"
                    );
                    continue;
                }
            };
            self.report_exited(&predecessors, &mut followed);
            let view = summarize(&predecessors);
            if self.instance.is_shutting_down() && view.active > 0 {
                // The active incarnation remains active, and adopts the messages of this one.
                continue;
            }
            let mut next = takeover;
            let step = next.next_step(self.clock.now().monotonic, view);
            // After a failed step the stage does not advance, so the next poll chooses the step again.
            match self.execute(step, &predecessors, &mut followed) {
                Ok(()) => takeover = next,
                Err(error) => log_line!(
                    code = "state-folder-unreadable",
                    "cannot read the operators' state for the takeover: {error}"
                ),
            }
            if takeover.is_active() {
                self.incarnation.borrow_mut().release_exited();
                if followed.is_empty() {
                    return;
                }
            }
        }
    }

    /// Reports the followed incarnations that are no longer running. Another incarnation may have found their end first, and
    /// removed their lock files.
    fn report_exited(&self, running: &[Predecessor], followed: &mut BTreeSet<Generation>) {
        let is_running = |generation: &Generation| {
            let mut running = running.iter();
            running.any(|predecessor| predecessor.generation == *generation)
        };
        let exited: Vec<_> = followed
            .iter()
            .copied()
            .filter(|generation| !is_running(generation))
            .collect();
        for generation in exited {
            followed.remove(&generation);
            self.send(EngineEvent::PredecessorExited(generation));
            log_line!(
                code = "predecessor-exited",
                "predecessor {} has exited",
                generation.0
            );
        }
    }

    fn execute(
        &self,
        step: TakeoverStep,
        predecessors: &[Predecessor],
        followed: &mut BTreeSet<Generation>,
    ) -> io::Result<()> {
        match step {
            TakeoverStep::Wait => {}
            TakeoverStep::RequestHandover => {
                self.mark_active_predecessors(
                    predecessors,
                    "handover-requested",
                    |own, generation| own.request_handover(generation),
                );
            }
            TakeoverStep::Fence => {
                self.mark_active_predecessors(predecessors, "fenced-off", |own, generation| {
                    own.fence(generation)
                });
            }
            TakeoverStep::TakeOver => self.take_over(predecessors, followed)?,
            TakeoverStep::Follow => self.send(EngineEvent::FollowPredecessors),
        }
        Ok(())
    }

    /// Writes a mark for each active predecessor, and logs the predecessor under a reason code.
    fn mark_active_predecessors(
        &self,
        predecessors: &[Predecessor],
        code: &str,
        mark: impl Fn(&Incarnation, Generation) -> io::Result<()>,
    ) {
        let incarnation = self.incarnation.borrow();
        for predecessor in predecessors
            .iter()
            .filter(|predecessor| predecessor.state == PredecessorState::Active)
        {
            let marked = mark(&incarnation, predecessor.generation);
            let cause = marked
                .err()
                .map_or_else(String::new, |error| format!(": {error}"));
            log_line!(
                code,
                "active predecessor {}{cause}",
                predecessor.generation.0
            );
        }
    }

    fn take_over(
        &self,
        predecessors: &[Predecessor],
        followed: &mut BTreeSet<Generation>,
    ) -> io::Result<()> {
        // The engine must receive the disabled endpoints before it decides anything.
        self.instance.load_operator_state()?;
        let running: Vec<_> = predecessors
            .iter()
            .map(|predecessor| predecessor.generation)
            .collect();
        followed.extend(&running);
        log_line!(
            code = "takes-over",
            "takes over; predecessors still running: {}",
            followed.len()
        );
        self.send(EngineEvent::TakeOver {
            running,
            first_concurrent: Some(self.first_concurrent),
        });
        Ok(())
    }

    fn send(&self, event: EngineEvent) {
        // Fails only once the engine has ended.
        let _ = self.engine.try_send(event);
    }
}

/// Counts the running and the active predecessors.
fn summarize(predecessors: &[Predecessor]) -> PredecessorView {
    let active = predecessors
        .iter()
        .filter(|predecessor| predecessor.state == PredecessorState::Active)
        .count();
    PredecessorView {
        running: predecessors.len(),
        active,
    }
}

/// Polls for marks of successors until its task is dropped. Adopts the messages of a standby that exits before it has taken
/// over.
pub async fn watch_successors(
    incarnation: Rc<RefCell<Incarnation>>,
    instance: Rc<impl HotRestartInstance>,
    engine: Sender<EngineEvent>,
) {
    loop {
        Timer::after(SUCCESSOR_POLL_INTERVAL).await;
        let requests = incarnation.borrow_mut().successor_requests();
        if requests.hand_over {
            // Causes a step of the engine, before which its loop checks for the request.
            let _ = engine.try_send(EngineEvent::FollowPredecessors);
        } else if requests.standby_started && instance.is_active() {
            adopt_exited_standbys(&mut incarnation.borrow_mut(), &engine);
        }
    }
}

fn adopt_exited_standbys(incarnation: &mut Incarnation, engine: &Sender<EngineEvent>) {
    match incarnation.claim_after_exited_standbys() {
        Ok(Some(generation)) => {
            log_line!(
                code = "standby-adopted",
                "a standby process has exited; its messages are adopted"
            );
            let _ = engine.try_send(EngineEvent::StandbyExited(generation));
            incarnation.release_exited();
        }
        Ok(None) => {}
        Err(error) => log_line!(
            code = "standby-not-adopted",
            "cannot adopt the messages of exited standbys: {error}"
        ),
    }
}

#[cfg(test)]
mod tests;
