//! Decides when a standby takes over from the running incarnations.
//!
//! [`Takeover`] is a state machine without I/O: [`Takeover::next_step`] receives the time and a view of the predecessors,
//! and returns the next step. The stages are standby, handover requested, predecessors fenced, and active.
//!
//! A standby waits until every predecessor has handed over. Predecessors hand over when they are shut down. If they are not
//! shut down, the standby requests the handover, as the messages that it accepts are pending until then. A predecessor that
//! does not respond is fenced. If its process was stopped, it reads the fence before it decides anything again.

use marblefall_scheduler::{Span, Time};

/// Time for which a standby waits for its predecessors to be shut down before it requests the handover. They are usually
/// shut down as soon as the standby is ready, and the shortest deadlines of messages are about a second.
pub const REQUEST_HANDOVER_AFTER: Span = Span(800_000);
/// Time from the request until a predecessor that is still active is fenced. A predecessor polls for marks four times a
/// second, so the process of one that is still active is stopped or starved.
pub const FENCE_AFTER: Span = Span(700_000);

/// Time from a fence until a predecessor that is still active is fenced again, as the mark may not have been written.
pub const FENCE_AGAIN_AFTER: Span = Span(100_000);

/// The predecessors as a standby sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredecessorView {
    /// Number of running predecessors.
    pub running: usize,
    /// Number of running predecessors that have neither handed over nor been fenced, and may still decide.
    pub active: usize,
}

/// The driver's next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Do nothing.
    Wait,
    /// Request the active predecessors to hand over.
    RequestHandover,
    /// Fence the active predecessors, which have not handed over.
    Fence,
    /// Recover all messages and become active.
    TakeOver,
    /// Read the records that running predecessors have journalled.
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
    /// Creates the takeover of a standby that starts at `now`.
    pub fn new(now: Time) -> Takeover {
        Takeover {
            stage: TakeoverStage::Standby { since: now },
        }
    }

    /// Returns whether this incarnation has taken over.
    pub fn is_active(&self) -> bool {
        self.stage == TakeoverStage::Active
    }

    /// Returns the next step and advances to its stage, given the present view of the predecessors.
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
