//! Whether a message lies beyond its tenant's quota. Such a message gets a lower weight.
//!
//! A quota holds for all instances together. This instance's part of it is estimated from the other tenants'
//! traffic: the fraction of their quotas that arrives here, and an even part at least.

use crate::interface::{TenantId, Time};
use crate::scheduler::Scheduler;
use crate::tenant_rate::TENANT_RATE_TIME_S;

/// Standard deviations of a random stream by which a tenant may exceed its quota.
const TOLERATED_DEVIATIONS: f64 = 2.0;

impl Scheduler {
    /// Counts a message of a tenant and returns whether it lies beyond the tenant's quota.
    pub(crate) fn is_over_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(own) = self.tenant_rates.get_mut(tenant.0) else {
            return false;
        };
        let rate = own.count_message(now);
        let allowed = self.settings.tenants[tenant.0].quota_per_s * self.quota_part(now, tenant);
        let tolerance = TOLERATED_DEVIATIONS * (allowed / TENANT_RATE_TIME_S).sqrt();
        rate > allowed + tolerance
    }

    /// This instance's part of the tenant's quota, as a fraction.
    fn quota_part(&self, now: Time, tenant: TenantId) -> f64 {
        let others = (0..self.tenant_rates.len()).filter(|other| *other != tenant.0);
        let (rates, quotas) = others.fold((0.0, 0.0), |(rates, quotas), other| {
            let quota = self.settings.tenants[other].quota_per_s;
            (rates + self.tenant_rates[other].per_s(now), quotas + quota)
        });
        let even = 1.0 / self.instances();
        if quotas > 0.0 {
            even.max(rates / quotas)
        } else {
            even
        }
    }
}
