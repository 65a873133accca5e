//! What there is room for, and what a message is worth.

use crate::interface::{Action, MessageId, TenantId, Time, ValueDecay};
use crate::scheduler::Scheduler;
use crate::state::{Message, TenantRate};

/// Part of the open messages that may be pending; the rest is room for a burst.
const PENDING_PART: f64 = 0.95;
/// The price of ending a message that is still owed an attempt, as a part of its weight.
const OWED_PRICE: f64 = 0.3;
/// Time over which a tenant's traffic is held against its quota, in s.
const QUOTA_TIME_S: f64 = 3.0;
/// A tenant may exceed its quota by so many standard deviations of a random stream.
const QUOTA_DEVIATIONS: f64 = 2.0;
/// Linear decay is taken as the exponential from the start to what is left at the deadline; at least this, as
/// no message comes to nothing.
const MIN_LATE_VALUE: f64 = 0.05;

impl Scheduler {
    /// Counts a message against its tenant's quota and says whether it lies beyond it. This instance's part
    /// of a quota is what its part of the other tenants' traffic suggests, an even part at the least.
    pub(crate) fn is_over_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let faded = |rate: TenantRate| rate.per_s * (-(now - rate.at).secs() / QUOTA_TIME_S).exp();
        let Some(own) = self.tenant_rates.get_mut(tenant.0) else {
            return false;
        };
        *own = TenantRate {
            per_s: faded(*own) + 1.0 / QUOTA_TIME_S,
            at: now,
        };
        let others = (0..self.tenant_rates.len()).filter(|other| *other != tenant.0);
        let (rates, quotas) = others.fold((0.0, 0.0), |(rates, quotas), other| {
            let quota = self.settings.tenants[other].quota_per_s;
            (rates + faded(self.tenant_rates[other]), quotas + quota)
        });
        let even = 1.0 / self.instances();
        let part = if quotas > 0.0 {
            even.max(rates / quotas)
        } else {
            even
        };
        let allowed = self.settings.tenants[tenant.0].quota_per_s * part;
        let tolerance = QUOTA_DEVIATIONS * (allowed / QUOTA_TIME_S).sqrt();
        self.tenant_rates[tenant.0].per_s > allowed + tolerance
    }

    /// A message's weight after decay. It follows the way value falls after the latency objective.
    pub(crate) fn decayed_weight(&self, now: Time, message: &Message) -> f64 {
        let class = &self.settings.classes[message.class.0];
        let halvings_per_ms = match self.settings.value_decay {
            ValueDecay::Halving => 1.0 / class.latency_objective.ms().max(1.0),
            ValueDecay::Linear => {
                -class.late_value.clamp(MIN_LATE_VALUE, 1.0).log2() / class.deadline.ms().max(1.0)
            }
        };
        message.priority_weight * (-halvings_per_ms * (now - message.submitted_at).ms()).exp2()
    }

    /// Ends what there is no room for, once what may be sent is sent: a message of little weight that leaves
    /// at once needs no room, though all that wait for a busy destination weigh more.
    pub(crate) fn make_room(&mut self, now: Time, actions: &mut Vec<Action>) {
        let room = (self.settings.limits.max_open_messages as f64 * PENDING_PART) as usize;
        while self.messages.len() > room.max(1) {
            let stake = |id: &MessageId| self.stake(now, &self.messages[id]);
            let ids = self.pending.all();
            let Some(least) = ids.min_by(|a, b| stake(a).total_cmp(&stake(b)).then(a.cmp(b)))
            else {
                return;
            };
            self.give_up_message(now, least, actions);
        }
    }

    /// What would be lost with a message. What a restart found is not outbid by what is new for its age.
    fn stake(&self, now: Time, message: &Message) -> f64 {
        let owed = self.is_owed_attempt(now, message);
        let price = if owed {
            OWED_PRICE * message.priority_weight
        } else {
            0.0
        };
        let ages = message.accepted_at.is_some() || price == 0.0;
        let weight = if ages {
            self.decayed_weight(now, message)
        } else {
            message.priority_weight
        };
        price + weight
    }
}
