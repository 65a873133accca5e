//! Load shedding: gives up the least valuable messages while too many are open.

use crate::interface::{Action, MessageId, Time};
use crate::scheduler::Scheduler;
use crate::state::Message;

/// Fraction of the limit on open messages above which messages are shed. The rest is reserved for bursts.
const SHEDDING_THRESHOLD: f64 = 0.95;
/// Cost of shedding a message with a guaranteed attempt, as a fraction of its weight.
const GUARANTEED_ATTEMPT_COST: f64 = 0.3;

impl Scheduler {
    /// Gives up the least valuable pending messages until the number of open messages is within the limit.
    ///
    /// This runs after the sends. A message that can be sent at once is then no longer pending, so it is not
    /// shed even if all messages that wait for a busy destination have a higher weight.
    pub(crate) fn shed_load(&mut self, now: Time, actions: &mut Vec<Action>) {
        let max_open =
            (self.settings.limits.max_open_messages as f64 * SHEDDING_THRESHOLD) as usize;
        while self.messages.len() > max_open.max(1) {
            let cost = |id: &MessageId| self.shedding_cost(now, &self.messages[id]);
            let ids = self.pending.all();
            let Some(cheapest) = ids.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.cmp(b)))
            else {
                return;
            };
            self.give_up_message(now, cheapest, actions);
        }
    }

    /// Returns the cost of giving up a message. The weight of a message with a guaranteed attempt that was
    /// resumed after a restart does not decay, so new messages don't displace it because of its age.
    fn shedding_cost(&self, now: Time, message: &Message) -> f64 {
        let guarantee_cost = if self.has_guaranteed_attempt(now, message) {
            GUARANTEED_ATTEMPT_COST * message.priority_weight
        } else {
            0.0
        };
        let decays = message.accepted_at.is_some() || guarantee_cost == 0.0;
        let weight = if decays {
            self.decayed_weight(now, message)
        } else {
            message.priority_weight
        };
        guarantee_cost + weight
    }
}
