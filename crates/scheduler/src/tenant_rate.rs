//! Rate of a tenant's messages, measured against its quota.

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
    /// Messages per second as of now.
    pub fn per_s(&self, now: Time) -> f64 {
        self.per_s * (-(now - self.updated_at).secs() / TENANT_RATE_TIME_S).exp()
    }

    /// Counts one message; returns the messages per second including it.
    pub fn count_message(&mut self, now: Time) -> f64 {
        self.per_s = self.per_s(now) + 1.0 / TENANT_RATE_TIME_S;
        self.updated_at = now;
        self.per_s
    }
}
