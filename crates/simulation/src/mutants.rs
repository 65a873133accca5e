//! Mutants of the scheduler, which test the invariant checker. Each mutant has one defect, and every invariant is violated
//! by at least one mutant.

use crate::invariants::Invariant;
use crate::simulation::Node;
use marblefall_scheduler::{
    Action, EndpointStatus, Event, Idempotency, MessageId, Outcome, Scheduler, Settings, Span, Time,
};
use std::collections::BTreeMap;

/// [`Mutation::DuplicatesAttempts`] duplicates every attempt whose number is a multiple of this.
const DUPLICATION_INTERVAL: u64 = 100;
/// [`Mutation::DropsFinalOutcomes`] drops every rejection or failure whose number is a multiple of this.
const DROP_INTERVAL: u64 = 10;
/// A deduplication window that is longer than any run.
const UNLIMITED_WINDOW: Span = Span(i64::MAX / 4);
/// An overload factor that no load reaches.
const UNREACHABLE_OVERLOAD_FACTOR: f64 = 1000.0;

/// A defect of a mutant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Retry-After is ignored.
    IgnoresRetryAfter,
    /// Some attempts are sent twice.
    DuplicatesAttempts,
    /// Messages of an earlier incarnation are not resumed.
    LosesMessagesOnRestart,
    /// Every endpoint is treated as active.
    IgnoresDraining,
    /// Every rejection is reported twice.
    ReportsRejectionsTwice,
    /// Some rejections and failures are not reported.
    DropsFinalOutcomes,
    /// An attempt that timed out or was reset is treated as not executed.
    TreatsResetAsNotExecuted,
    /// After a restart, attempts of earlier incarnations are treated as not executed.
    DropsPriorAttemptsOnRestart,
    /// A recovering destination receives the full load at once.
    IgnoresRecoveryRamp,
    /// Idempotency keys are treated as valid forever.
    IgnoresDeduplicationWindow,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Mutation; 10] = [
        Mutation::IgnoresRetryAfter,
        Mutation::DuplicatesAttempts,
        Mutation::LosesMessagesOnRestart,
        Mutation::IgnoresDraining,
        Mutation::ReportsRejectionsTwice,
        Mutation::DropsFinalOutcomes,
        Mutation::TreatsResetAsNotExecuted,
        Mutation::DropsPriorAttemptsOnRestart,
        Mutation::IgnoresRecoveryRamp,
        Mutation::IgnoresDeduplicationWindow,
    ];

    /// Returns the invariant that the mutation violates.
    pub fn violates(self) -> Invariant {
        match self {
            Mutation::IgnoresRetryAfter => Invariant::RetryAfterObserved,
            Mutation::DuplicatesAttempts => Invariant::SingleAttemptInFlight,
            Mutation::LosesMessagesOnRestart | Mutation::DropsFinalOutcomes => {
                Invariant::NoMessageLost
            }
            Mutation::IgnoresDraining => Invariant::DrainingObserved,
            Mutation::ReportsRejectionsTwice => Invariant::SingleFinalOutcome,
            Mutation::TreatsResetAsNotExecuted
            | Mutation::DropsPriorAttemptsOnRestart
            | Mutation::IgnoresDeduplicationWindow => Invariant::RetriesPermitted,
            Mutation::IgnoresRecoveryRamp => Invariant::NoRecoveryOverload,
        }
    }

    /// Creates a node with this defect.
    pub fn node(self, mut settings: Settings, seed: u64) -> Box<dyn Node> {
        self.mutate_settings(&mut settings);
        Box::new(Mutant {
            mutation: self,
            scheduler: Scheduler::new(settings, seed),
            attempts: 0,
            final_outcomes: 0,
            duplicates_in_flight: BTreeMap::new(),
        })
    }

    fn mutate_settings(self, settings: &mut Settings) {
        match self {
            Mutation::IgnoresRecoveryRamp => {
                settings.rules.ramp_start = 1.0;
                settings.rules.overload_factor = UNREACHABLE_OVERLOAD_FACTOR;
            }
            Mutation::IgnoresDeduplicationWindow => {
                for class in &mut settings.classes {
                    if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
                        *window = UNLIMITED_WINDOW;
                    }
                }
            }
            _ => {}
        }
    }
}

/// A scheduler whose incoming events and outgoing actions are modified.
struct Mutant {
    mutation: Mutation,
    scheduler: Scheduler,
    attempts: u64,
    final_outcomes: u64,
    /// Number of duplicate attempts in flight, by message. The scheduler has no record of them.
    duplicates_in_flight: BTreeMap<MessageId, u32>,
}

impl Mutant {
    /// Returns the event that the scheduler receives, or `None` if the event is dropped.
    fn mutate_event(&mut self, event: &Event) -> Option<Event> {
        let mut event = event.clone();
        match (&mut event, self.mutation) {
            (
                Event::AttemptFinished {
                    outcome: Outcome::Rejected { retry_after },
                    ..
                },
                Mutation::IgnoresRetryAfter,
            ) => *retry_after = None,
            (Event::AttemptFinished { outcome, .. }, Mutation::TreatsResetAsNotExecuted)
                if matches!(outcome, Outcome::TimedOut | Outcome::Reset) =>
            {
                *outcome = Outcome::ConnectFailed;
            }
            (Event::AttemptFinished { message, .. }, Mutation::DuplicatesAttempts)
                if self.remove_duplicate(*message) =>
            {
                return None;
            }
            (Event::Resumed(..), Mutation::LosesMessagesOnRestart) => return None,
            (Event::Resumed(_, prior), Mutation::DropsPriorAttemptsOnRestart) => {
                prior.first_possible_execution = None;
            }
            (Event::EndpointsUpdated(updates), Mutation::IgnoresDraining) => {
                for update in updates {
                    update.status = EndpointStatus::Active;
                }
            }
            _ => {}
        }
        Some(event)
    }

    /// Returns whether an attempt that ended counts as a duplicate, and if so removes one duplicate from those in flight.
    fn remove_duplicate(&mut self, message: MessageId) -> bool {
        let in_flight = self.duplicates_in_flight.get_mut(&message);
        let Some(duplicates) = in_flight.filter(|duplicates| **duplicates > 0) else {
            return false;
        };
        *duplicates -= 1;
        true
    }

    /// Returns the number of times that an action of the scheduler is executed.
    fn repetitions(&mut self, action: &Action) -> usize {
        match (action, self.mutation) {
            (Action::Send { message, .. }, Mutation::DuplicatesAttempts) => {
                self.attempts += 1;
                if !self.attempts.is_multiple_of(DUPLICATION_INTERVAL) {
                    return 1;
                }
                *self.duplicates_in_flight.entry(*message).or_default() += 1;
                2
            }
            (Action::Reject { .. }, Mutation::ReportsRejectionsTwice) => 2,
            (Action::Reject { .. } | Action::Fail(_), Mutation::DropsFinalOutcomes) => {
                self.final_outcomes += 1;
                usize::from(!self.final_outcomes.is_multiple_of(DROP_INTERVAL))
            }
            _ => 1,
        }
    }
}

impl Node for Mutant {
    fn handle(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        let mutated: Vec<Event> = events
            .iter()
            .filter_map(|event| self.mutate_event(event))
            .collect();
        let mut scheduler_actions = Vec::new();
        self.scheduler.handle(now, &mutated, &mut scheduler_actions);
        for action in scheduler_actions {
            let repetitions = self.repetitions(&action);
            actions.extend(std::iter::repeat_n(action, repetitions));
        }
    }
}
