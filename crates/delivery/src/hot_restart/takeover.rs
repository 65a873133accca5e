//! When a standby takes over from the incarnations that run already.
//!
//! A state machine without I/O: [`Takeover::next_step`] takes the time and a view of the predecessors, and returns the
//! next step. The stages are standby, handover requested, predecessors fenced, active.
//!
//! A standby waits until every predecessor has handed over. Predecessors do that when they are shut down. Where nobody
//! shuts them down the standby requests it, as messages accepted by the standby wait until then. A predecessor that
//! does not react is fenced: it may have been stopped, and finds the fence before it decides anything again.

use marblefall_scheduler::{Span, Time};

/// How long a standby waits for predecessors to be shut down before it requests the handover. Whoever starts a process
/// beside another shuts the other down as soon as this one is ready; clients' shortest deadlines are about a second.
pub const REQUEST_HANDOVER_AFTER: Span = Span(800_000);
/// How long after the request a predecessor is fenced. One that runs looks for marks four times a second, so one that
/// has not reacted by then does not run, or hardly.
pub const FENCE_AFTER: Span = Span(700_000);

/// How often a predecessor that is still active is fenced again: the disk may not have taken the mark.
pub const FENCE_AGAIN_AFTER: Span = Span(100_000);

/// How many predecessors are running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredecessorView {
    /// Those whose process is running.
    pub running: usize,
    /// Those of them that have neither handed over nor been fenced: one of them may decide.
    pub active: usize,
}

/// What the driver does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Nothing.
    Wait,
    /// Request the active predecessors to hand over.
    RequestHandover,
    /// Fence the active predecessors, which have not reacted.
    Fence,
    /// Recover all messages, and be active from now on.
    TakeOver,
    /// Read what predecessors that are still running have journalled.
    Follow,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverStage {
    Standby { since: Time },
    HandoverRequested { since: Time },
    Fenced { since: Time },
    Active,
}

/// The takeover by an incarnation that started as a standby.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    stage: TakeoverStage,
}

impl Takeover {
    /// The takeover of a standby that started at this time.
    pub fn new(now: Time) -> Takeover {
        Takeover {
            stage: TakeoverStage::Standby { since: now },
        }
    }

    /// Whether this incarnation has taken over.
    pub fn is_active(&self) -> bool {
        self.stage == TakeoverStage::Active
    }

    /// The next step, given what is seen of the predecessors.
    pub fn next_step(&mut self, now: Time, predecessors: PredecessorView) -> TakeoverStep {
        let step = self.choose_step(now, predecessors);
        self.stage = match step {
            TakeoverStep::RequestHandover => TakeoverStage::HandoverRequested { since: now },
            TakeoverStep::Fence => TakeoverStage::Fenced { since: now },
            TakeoverStep::TakeOver => TakeoverStage::Active,
            TakeoverStep::Wait | TakeoverStep::Follow => self.stage,
        };
        step
    }

    fn choose_step(&self, now: Time, predecessors: PredecessorView) -> TakeoverStep {
        match self.stage {
            TakeoverStage::Active if predecessors.running > 0 => TakeoverStep::Follow,
            TakeoverStage::Active => TakeoverStep::Wait,
            TakeoverStage::Standby { .. }
            | TakeoverStage::HandoverRequested { .. }
            | TakeoverStage::Fenced { .. }
                if predecessors.active == 0 =>
            {
                TakeoverStep::TakeOver
            }
            TakeoverStage::Standby { since } if now - since >= REQUEST_HANDOVER_AFTER => {
                TakeoverStep::RequestHandover
            }
            TakeoverStage::HandoverRequested { since } if now - since >= FENCE_AFTER => {
                TakeoverStep::Fence
            }
            TakeoverStage::Fenced { since } if now - since >= FENCE_AGAIN_AFTER => {
                TakeoverStep::Fence
            }
            TakeoverStage::Standby { .. }
            | TakeoverStage::HandoverRequested { .. }
            | TakeoverStage::Fenced { .. } => TakeoverStep::Wait,
        }
    }
}

#[cfg(test)]
mod tests;
