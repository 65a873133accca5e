//! Conversion of the settings to those of the scheduler.

use crate::{
    ClassSettings, Deduplication, DiscoveryMode, Idempotency, InstanceSettings, LimitSettings,
    RateHints, RuleSettings, TenantSettings, ValueDecay,
};
use marblefall_scheduler::{self as scheduler, Span};

impl InstanceSettings {
    /// Returns the scheduler's part of the settings.
    pub fn scheduler_settings(&self) -> scheduler::Settings {
        let kinds = (0..self.kinds.len()).map(|index| self.destination_kind(index));
        scheduler::Settings {
            classes: self.classes.iter().map(Into::into).collect(),
            tenants: self.tenants.iter().map(Into::into).collect(),
            over_quota_weight: self.over_quota_weight,
            kinds: kinds.collect(),
            zone_fees: self.domain.zone_fees.clone(),
            value_decay: self.domain.value_decay.into(),
            limits: scheduler_limits(&self.limits, self.domain.max_in_flight),
            rules: (&self.rules).into(),
            discovery: self.discovery.into(),
            rate_hints: self.rate_hints.into(),
            instances: self.instances as usize,
            min_batch_interval: Span::from_ms(self.min_batch_interval_ms),
        }
    }

    fn destination_kind(&self, index: usize) -> scheduler::DestinationKind {
        let domain = &self.domain;
        scheduler::DestinationKind {
            separate_routes: domain.separate_routes.get(index).copied().unwrap_or(false),
            max_batch: domain.max_batch.get(index).map_or(1, |&max| max as usize),
        }
    }
}

fn scheduler_limits(limits: &LimitSettings, max_in_flight: u64) -> scheduler::Limits {
    scheduler::Limits {
        max_in_flight: max_in_flight as usize,
        max_open_messages: limits.max_open_messages as usize,
        max_attempts: limits.max_attempts,
        streams_per_connection: limits.streams_per_connection as usize,
        idle_timeout: Span::from_ms(limits.idle_timeout_ms),
        max_retry_after: Span::from_ms(limits.max_retry_after_ms),
        cancellation_allowed: limits.cancellation_allowed,
        health_checks_allowed: limits.health_checks_allowed,
    }
}

impl From<&ClassSettings> for scheduler::MessageClass {
    fn from(class: &ClassSettings) -> scheduler::MessageClass {
        scheduler::MessageClass {
            priority_weight: class.priority_weight,
            latency_objective: Span::from_ms(class.latency_objective_ms),
            deadline: Span::from_ms(class.deadline_ms),
            late_value: class.late_value,
            idempotency: match class.idempotency {
                Idempotency::Idempotent => scheduler::Idempotency::Idempotent,
                Idempotency::NonIdempotent => scheduler::Idempotency::NonIdempotent,
                Idempotency::IdempotencyKey => scheduler::Idempotency::IdempotencyKey {
                    scope: class.deduplication.into(),
                    window: Span::from_ms(class.window_ms),
                },
            },
            ordered: class.ordered,
        }
    }
}

impl From<&TenantSettings> for scheduler::Tenant {
    fn from(tenant: &TenantSettings) -> scheduler::Tenant {
        scheduler::Tenant {
            quota_per_s: tenant.quota_per_s,
        }
    }
}

impl From<&RuleSettings> for scheduler::Rules {
    fn from(rules: &RuleSettings) -> scheduler::Rules {
        scheduler::Rules {
            ramp_start: rules.ramp_start,
            ramp_duration: Span::from_ms(rules.ramp_duration_ms),
            overload_factor: rules.overload_factor,
            overload_window: Span::from_ms(rules.overload_window_ms),
            ordering_pause: Span::from_ms(rules.ordering_pause_ms),
            max_poll_interval: Span::from_ms(rules.max_poll_interval_ms),
        }
    }
}

impl From<Deduplication> for scheduler::DeduplicationScope {
    fn from(deduplication: Deduplication) -> scheduler::DeduplicationScope {
        match deduplication {
            Deduplication::All => scheduler::DeduplicationScope::All,
            Deduplication::Zone => scheduler::DeduplicationScope::Zone,
            Deduplication::Endpoint => scheduler::DeduplicationScope::Endpoint,
        }
    }
}

impl From<ValueDecay> for scheduler::ValueDecay {
    fn from(value_decay: ValueDecay) -> scheduler::ValueDecay {
        match value_decay {
            ValueDecay::Linear => scheduler::ValueDecay::Linear,
            ValueDecay::Halving => scheduler::ValueDecay::Halving,
        }
    }
}

impl From<DiscoveryMode> for scheduler::DiscoveryMode {
    fn from(mode: DiscoveryMode) -> scheduler::DiscoveryMode {
        match mode {
            DiscoveryMode::Push => scheduler::DiscoveryMode::Push,
            DiscoveryMode::Subscribe => scheduler::DiscoveryMode::Subscribe,
        }
    }
}

impl From<RateHints> for scheduler::RateHints {
    fn from(hints: RateHints) -> scheduler::RateHints {
        match hints {
            RateHints::Exact => scheduler::RateHints::Exact,
            RateHints::Approximate => scheduler::RateHints::Approximate,
            RateHints::Absent => scheduler::RateHints::Absent,
        }
    }
}
