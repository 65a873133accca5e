//! Acts on the steps of a change of lives: looks at the folder and tells the engine.

use super::incarnation::{Incarnation, Predecessor};
use super::takeover::{Seen, Step, Takeover};
use crate::core::engine::EngineEvent;
use crate::core::journal::Generation;
use crate::instance::admin::AdminState;
use crate::instance::Clock;
use crate::say;
use async_channel::Sender;
use async_io::Timer;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// How often a life that came up beside others looks at them: what their last legs tell is late by this.
const LOOK: Duration = Duration::from_millis(10);
/// How often a life looks for what later ones want of it, also when it has nothing to do.
const HEED: Duration = Duration::from_millis(250);

/// Lives that ran already when one began.
#[derive(Clone, Copy, Debug)]
pub struct Others {
    /// The first of them.
    pub first: Generation,
    /// How many there were.
    pub number: usize,
}

/// Greets the lives that run already, if any.
///
/// # Errors
/// The folder cannot be read.
pub fn announce(life: &mut Incarnation) -> io::Result<Option<Others>> {
    let earlier = life.earlier()?;
    life.forget_ended();
    for one in &earlier {
        if let Err(error) = life.announce(one.generation) {
            say!(code = "not-greeted", "life {}: {error}", one.generation.0);
        }
    }
    let first = earlier.iter().map(|one| one.generation).min();
    Ok(first.map(|first| Others {
        first,
        number: earlier.len(),
    }))
}

/// Brings a life up beside others, the first of which is `beside`, until the last of them has ended.
pub async fn run_standby(
    life: Rc<RefCell<Incarnation>>,
    beside: Generation,
    clock: Clock,
    admin: Rc<AdminState>,
    engine: Sender<EngineEvent>,
) {
    let mut newcomer = Takeover::new(clock.now().monotonic);
    let mut followed = BTreeSet::<Generation>::new();
    loop {
        Timer::after(LOOK).await;
        let earlier = match life.borrow_mut().earlier() {
            Ok(earlier) => earlier,
            Err(error) => {
                say!(code = "folder-unread", "{error}");
                continue;
            }
        };
        let ended: Vec<_> = followed
            .iter()
            .copied()
            .filter(|one| life.borrow().has_ended(*one))
            .collect();
        for generation in ended {
            followed.remove(&generation);
            let _ = engine.try_send(EngineEvent::PredecessorExited(generation));
            say!(code = "life-ended", "the process before has ended");
        }
        let unsettled = earlier.iter().filter(|one| !one.settled).count();
        let step = newcomer.look(
            clock.now().monotonic,
            Seen {
                living: earlier.len(),
                unsettled,
            },
        );
        if step == Step::TakeUp {
            // What is held out is known before anything is decided.
            admin.reread();
            followed.extend(earlier.iter().map(|one| one.generation));
            say!(
                code = "takes-over",
                "takes over, {} before still running",
                followed.len()
            );
        }
        let input = act(&life.borrow(), step, &earlier, beside);
        if let Some(input) = input {
            let _ = engine.try_send(input);
        }
        if newcomer.serves() {
            life.borrow_mut().forget_ended();
            if followed.is_empty() {
                return;
            }
        }
    }
}

/// Carries a step out in the folder; gives what the engine is to hear of it.
fn act(
    life: &Incarnation,
    step: Step,
    earlier: &[Predecessor],
    beside: Generation,
) -> Option<EngineEvent> {
    let unsettled = earlier.iter().filter(|one| !one.settled);
    match step {
        Step::Wait => None,
        Step::Ask | Step::Fence => {
            for one in unsettled {
                let (code, marked) = match step {
                    Step::Ask => ("asked-to-hand-over", life.ask(one.generation)),
                    _ => ("fenced-off", life.fence(one.generation)),
                };
                say!(
                    code,
                    "the process before{}",
                    marked.err().map_or_else(String::new, |e| format!(": {e}"))
                );
            }
            None
        }
        Step::TakeUp => {
            let living = earlier.iter().map(|one| one.generation).collect();
            Some(EngineEvent::TakeOver {
                running: living,
                first_concurrent: Some(beside),
            })
        }
        Step::Follow => Some(EngineEvent::FollowPredecessors),
    }
}

/// Looks for what later lives want. One that came up beside this one and ended without taking over leaves what it took
/// on to this one. Runs until this life is told to end.
pub async fn watch_successors(
    life: Rc<RefCell<Incarnation>>,
    admin: Rc<AdminState>,
    engine: Sender<EngineEvent>,
) {
    loop {
        Timer::after(HEED).await;
        let wanted = life.borrow_mut().wanted();
        if wanted.hand_over {
            // A step of the engine finds out before it decides anything.
            let _ = engine.try_send(EngineEvent::FollowPredecessors);
        } else if wanted.beside && admin.started.get() {
            adopt(&mut life.borrow_mut(), &engine);
        }
    }
}

fn adopt(life: &mut Incarnation, engine: &Sender<EngineEvent>) {
    match life.renew() {
        Ok(Some(generation)) => {
            say!(
                code = "adopted",
                "a process that came up beside this one has ended; goes on without it"
            );
            let _ = engine.try_send(EngineEvent::StandbyExited(generation));
            life.forget_ended();
        }
        Ok(None) => {}
        Err(error) => say!(code = "not-adopted", "{error}"),
    }
}

/// Whether this life must not decide any more.
pub fn must_hand_over(life: &RefCell<Incarnation>) -> bool {
    life.borrow_mut().wanted().hand_over
}

/// Whether a leg of this life may still begin at this very moment. What did not begin is reported as such, and whoever
/// took over, or is about to, sends it.
pub fn may_start_attempt(life: &RefCell<Incarnation>) -> bool {
    !must_hand_over(life)
}
