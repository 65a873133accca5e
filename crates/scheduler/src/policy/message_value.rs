//! How the weight of a message decays, which follows the way its value falls after the latency objective.

use crate::interface::{Time, ValueDecay};
use crate::scheduler::Scheduler;
use crate::state::Message;

/// The least late value that linear decay assumes: no message becomes worthless before its deadline.
const MIN_LATE_VALUE: f64 = 0.05;
/// The least latency objective or deadline that decay assumes, in ms.
const MIN_DECAY_TIME_MS: f64 = 1.0;

impl Scheduler {
    /// A message's priority weight after decay. Linear decay is approximated by the exponential from the full
    /// value to the late value at the deadline.
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
