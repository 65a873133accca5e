//! The settings as the scheduler takes them.

use crate::{
    ClassSettings, Deduplication, DiscoveryMode, Idempotency, InstanceSettings, RateHints,
    ValueDecay,
};
use marblefall_scheduler as m;
use marblefall_scheduler::Span;

impl InstanceSettings {
    /// The same as the scheduler takes it.
    pub fn scheduler_settings(&self) -> m::Settings {
        let tenants = self.tenants.iter();
        let tenants = tenants.map(|tenant| m::Tenant {
            quota_per_s: tenant.quota_per_s,
        });
        m::Settings {
            classes: self.classes.iter().map(message_class).collect(),
            tenants: tenants.collect(),
            over_quota_weight: self.over_quota_weight,
            kinds: (0..self.kinds.len())
                .map(|index| self.destination_kind(index))
                .collect(),
            zone_fees: self.domain.zone_fees.clone(),
            value_decay: match self.domain.value_decay {
                ValueDecay::Linear => m::ValueDecay::Linear,
                ValueDecay::Halving => m::ValueDecay::Halving,
            },
            limits: self.scheduler_limits(),
            rules: self.scheduler_rules(),
            discovery: match self.discovery {
                DiscoveryMode::Push => m::DiscoveryMode::Push,
                DiscoveryMode::Subscribe => m::DiscoveryMode::Subscribe,
            },
            rate_hints: match self.rate_hints {
                RateHints::Exact => m::RateHints::Exact,
                RateHints::Approximate => m::RateHints::Approximate,
                RateHints::Absent => m::RateHints::Absent,
            },
            instances: self.instances as usize,
            min_batch_interval: Span::from_ms(self.min_batch_interval_ms),
        }
    }

    fn destination_kind(&self, index: usize) -> m::DestinationKind {
        let domain = &self.domain;
        m::DestinationKind {
            separate_routes: domain.separate_routes.get(index).copied().unwrap_or(false),
            max_batch: domain.max_batch.get(index).map_or(1, |&max| max as usize),
        }
    }

    fn scheduler_limits(&self) -> m::Limits {
        let limits = &self.limits;
        m::Limits {
            max_in_flight: self.domain.max_in_flight as usize,
            max_open_messages: limits.max_open_messages as usize,
            max_attempts: limits.max_attempts,
            streams_per_connection: limits.streams_per_connection as usize,
            idle_timeout: Span::from_ms(limits.idle_timeout_ms),
            max_retry_after: Span::from_ms(limits.max_retry_after_ms),
            cancellation_allowed: limits.cancellation_allowed,
            health_checks_allowed: limits.health_checks_allowed,
        }
    }

    fn scheduler_rules(&self) -> m::Rules {
        let rules = &self.rules;
        m::Rules {
            ramp_start: rules.ramp_start,
            ramp_duration: Span::from_ms(rules.ramp_duration_ms),
            overload_factor: rules.overload_factor,
            overload_window: Span::from_ms(rules.overload_window_ms),
            ordering_pause: Span::from_ms(rules.ordering_pause_ms),
            max_poll_interval: Span::from_ms(rules.max_poll_interval_ms),
        }
    }
}

fn message_class(class: &ClassSettings) -> m::MessageClass {
    m::MessageClass {
        priority_weight: class.priority_weight,
        latency_objective: Span::from_ms(class.latency_objective_ms),
        deadline: Span::from_ms(class.deadline_ms),
        late_value: class.late_value,
        idempotency: match class.idempotency {
            Idempotency::Idempotent => m::Idempotency::Idempotent,
            Idempotency::NonIdempotent => m::Idempotency::NonIdempotent,
            Idempotency::IdempotencyKey => m::Idempotency::IdempotencyKey {
                scope: match class.deduplication {
                    Deduplication::All => m::DeduplicationScope::All,
                    Deduplication::Zone => m::DeduplicationScope::Zone,
                    Deduplication::Endpoint => m::DeduplicationScope::Endpoint,
                },
                window: Span::from_ms(class.window_ms),
            },
        },
        ordered: class.ordered,
    }
}
