//! Rate of a tenant's messages, which is compared with the tenant's quota.

use crate::interface::Time;

/// Time constant of the moving average, in seconds.
pub(crate) const TENANT_RATE_TIME_S: f64 = 3.0;

/// Moving average of a tenant's messages per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TenantRate {
    per_s: f64,
    updated_at: Time,
}

impl TenantRate {
    /// Returns the messages per second as of now.
    pub fn per_s(&self, now: Time) -> f64 {
        self.per_s * (-(now - self.updated_at).secs() / TENANT_RATE_TIME_S).exp()
    }

    /// Counts a message and returns the messages per second, that message included.
    pub fn count_message(&mut self, now: Time) -> f64 {
        self.per_s = self.per_s(now) + 1.0 / TENANT_RATE_TIME_S;
        self.updated_at = now;
        self.per_s
    }
}
