//! Tenant quotas: a message beyond its tenant's quota gets a lower weight.
//!
//! A quota applies to all instances together. This instance's part of it is estimated from the traffic of the
//! other tenants: the fraction of their quotas that arrives at this instance, but at least an even part.

use crate::interface::{TenantId, Time};
use crate::scheduler::Scheduler;
use crate::tenant_rate::TENANT_RATE_TIME_S;

/// Number of standard deviations of a random message stream by which a tenant may exceed its quota.
const TOLERATED_DEVIATIONS: f64 = 2.0;

impl Scheduler {
    /// Counts a message of a tenant and returns whether the message is beyond the tenant's quota.
    pub(crate) fn is_over_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(own) = self.tenant_rates.get_mut(tenant.0) else {
            return false;
        };
        let rate = own.count_message(now);
        let allowed = self.settings.tenants[tenant.0].quota_per_s * self.quota_part(now, tenant);
        let tolerance = TOLERATED_DEVIATIONS * (allowed / TENANT_RATE_TIME_S).sqrt();
        rate > allowed + tolerance
    }

    /// Returns this instance's part of the tenant's quota, as a fraction.
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
