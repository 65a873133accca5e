//! Couriers with a fault each, to see that the checkers find it. A rule that no double can break would be a rule that
//! nobody checks.

use crate::invariants::Rule;
use crate::simulation::Node;
use marblefall_scheduler::{
    Action, EndpointStatus, Event, Idempotency, Outcome, Scheduler, Settings, Span, Time,
};
use std::collections::BTreeMap;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Told waits are not heard.
    ForgetsWaits,
    /// Every hundredth leg goes out twice.
    SendsTwice,
    /// What the last life took on is not taken up.
    LosesOnRestart,
    /// What the list takes away is not heard.
    IgnoresDrains,
    /// Whoever is turned away is told so twice.
    EndsTwice,
    /// Every tenth client that is turned away is not told.
    SwallowsEnds,
    /// A leg that broke is taken for one that never ran.
    TakesBrokenForUnsent,
    /// The next life does not know that a leg may have run.
    ForgetsLegsOnRestart,
    /// What comes back is sent all there is.
    KnowsNoRamp,
    /// Keys are taken to be dropped for ever.
    ForgetsWindows,
}

impl Fault {
    /// All of them.
    pub const ALL: [Fault; 10] = [
        Fault::ForgetsWaits,
        Fault::SendsTwice,
        Fault::LosesOnRestart,
        Fault::IgnoresDrains,
        Fault::EndsTwice,
        Fault::SwallowsEnds,
        Fault::TakesBrokenForUnsent,
        Fault::ForgetsLegsOnRestart,
        Fault::KnowsNoRamp,
        Fault::ForgetsWindows,
    ];

    /// The rule whose checker must find it.
    pub fn breaks(self) -> Rule {
        match self {
            Fault::ForgetsWaits => Rule::ToldWaits,
            Fault::SendsTwice => Rule::OneLeg,
            Fault::LosesOnRestart | Fault::SwallowsEnds => Rule::NothingLost,
            Fault::IgnoresDrains => Rule::Drains,
            Fault::EndsTwice => Rule::OneEnd,
            Fault::TakesBrokenForUnsent | Fault::ForgetsLegsOnRestart | Fault::ForgetsWindows => {
                Rule::Repeats
            }
            Fault::KnowsNoRamp => Rule::Toppling,
        }
    }

    /// A courier with it.
    pub fn courier(self, mut settings: Settings, seed: u64) -> Box<dyn Node> {
        match self {
            Fault::KnowsNoRamp => {
                (settings.rules.ramp_start, settings.rules.overload_factor) = (1.0, 1000.0);
            }
            Fault::ForgetsWindows => {
                for class in &mut settings.classes {
                    if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                        *window = Span(i64::MAX / 4);
                    }
                }
            }
            _ => {}
        }
        Box::new(Double {
            fault: self,
            inner: Scheduler::new(settings, seed),
            legs: 0,
            refused: 0,
            legs_of: BTreeMap::new(),
        })
    }
}

struct Double {
    fault: Fault,
    inner: Scheduler,
    legs: u64,
    refused: u64,
    /// Legs of each message that the courier itself does not know of.
    legs_of: BTreeMap<u64, u32>,
}

impl Double {
    fn hears(&mut self, event: &Event) -> Option<Event> {
        let mut event = event.clone();
        match (&mut event, self.fault) {
            (
                Event::AttemptFinished {
                    outcome: Outcome::Rejected { retry_after: wait },
                    ..
                },
                Fault::ForgetsWaits,
            ) => *wait = None,
            (Event::AttemptFinished { outcome, .. }, Fault::TakesBrokenForUnsent)
                if matches!(outcome, Outcome::TimedOut | Outcome::Reset) =>
            {
                *outcome = Outcome::ConnectFailed;
            }
            (Event::Resumed(..), Fault::LosesOnRestart) => return None,
            (Event::Resumed(_, past), Fault::ForgetsLegsOnRestart) => {
                past.first_possible_execution = None
            }
            (Event::EndpointsUpdated(entries), Fault::IgnoresDrains) => {
                entries
                    .iter_mut()
                    .for_each(|entry| entry.status = EndpointStatus::Active);
            }
            (Event::AttemptFinished { message, .. }, Fault::SendsTwice) => {
                // The double's own leg ends unheard.
                if let Some(unknown) = self
                    .legs_of
                    .get_mut(&message.0)
                    .filter(|unknown| **unknown > 0)
                {
                    *unknown -= 1;
                    return None;
                }
            }
            _ => {}
        }
        Some(event)
    }
}

impl Node for Double {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let heard: Vec<Event> = events
            .iter()
            .filter_map(|event| self.hears(event))
            .collect();
        let mut said = Vec::new();
        self.inner.handle(now, &heard, &mut said);
        for action in said {
            match (&action, self.fault) {
                (Action::Send { message, .. }, Fault::SendsTwice) => {
                    self.legs += 1;
                    if self.legs.is_multiple_of(100) {
                        *self.legs_of.entry(message.0).or_default() += 1;
                        actions.push(action.clone());
                    }
                }
                (Action::Reject { .. }, Fault::EndsTwice) => actions.push(action.clone()),
                (Action::Reject { .. } | Action::Fail(_), Fault::SwallowsEnds) => {
                    self.refused += 1;
                    if self.refused.is_multiple_of(10) {
                        continue;
                    }
                }
                _ => {}
            }
            actions.push(action);
        }
    }
}
