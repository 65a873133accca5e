//! Value of a message: its priority weight decays as its value falls after the latency objective.

use crate::interface::{Time, ValueDecay};
use crate::scheduler::Scheduler;
use crate::state::Message;

/// Minimum late value in linear decay, so that no message becomes worthless before its deadline.
const MIN_LATE_VALUE: f64 = 0.05;
/// Minimum latency objective or time to live in the computation of the decay, in ms.
const MIN_DECAY_TIME_MS: f64 = 1.0;

impl Scheduler {
    /// Returns a message's priority weight after decay. Linear decay is approximated by an exponential from
    /// the full value at the submission to the late value at the deadline.
    pub(crate) fn decayed_weight(&self, now: Time, message: &Message) -> f64 {
        let class = &self.settings.classes[message.class.0];
        let halvings_per_ms = match self.settings.value_decay {
            ValueDecay::Halving => 1.0 / class.latency_objective.ms().max(MIN_DECAY_TIME_MS),
            ValueDecay::Linear => {
                -class.late_value.clamp(MIN_LATE_VALUE, 1.0).log2()
                    / class.deadline.ms().max(MIN_DECAY_TIME_MS)
            }
        };
        message.priority_weight * (-halvings_per_ms * (now - message.submitted_at).ms()).exp2()
    }
}
