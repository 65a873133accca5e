//! The settings of an instance's engine and scheduler.

use super::InstanceConfigBuilder;
use crate::manifest::{ClassSpec, IdempotencySpec};
use marblefall_delivery::core::engine::EngineSettings;
use marblefall_scheduler::{
    DeduplicationScope, DestinationKind, Idempotency, Limits, MessageClass, RateHints, Rules,
    Settings, Span, ValueDecay,
};
use std::time::SystemTime;

/// Minimum time between two batches of the scheduler, in milliseconds.
const MIN_BATCH_INTERVAL_MS: u64 = 5;
/// Proportion of its rate that a recovering destination receives at the start of the recovery ramp.
const RAMP_START: f64 = 0.27;
/// Duration of the recovery ramp from its start to the full rate, in milliseconds.
const RAMP_DURATION_MS: u64 = 10_000;
/// Multiple of the recovery ramp's rate above which a recovering destination is considered overloaded.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Window over which the rate is measured to detect an overload, in milliseconds.
const OVERLOAD_WINDOW_MS: u64 = 2000;
const MS_PER_SECOND: i64 = 1000;

impl InstanceConfigBuilder<'_> {
    /// Returns the engine's settings, with a new random seed.
    pub(super) fn engine_settings(self) -> EngineSettings {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let retention_ms = |class: &ClassSpec| class.remember_s as i64 * MS_PER_SECOND;
        EngineSettings {
            scheduler: self.scheduler_settings(),
            seed: since_epoch.map_or(0, |since_epoch| since_epoch.as_nanos() as u64),
            retention_ms: self.classes.classes().map(retention_ms).collect(),
            max_retained: self.manifest.limits.max_remembered,
        }
    }

    fn scheduler_settings(self) -> Settings {
        Settings {
            classes: self.classes.classes().map(message_class).collect(),
            kinds: vec![DestinationKind {
                separate_routes: false,
                max_batch: 1,
            }],
            zone_fees: vec![0.0],
            value_decay: ValueDecay::Linear,
            limits: self.scheduler_limits(),
            rules: Rules {
                ramp_start: RAMP_START,
                ramp_duration: span(RAMP_DURATION_MS),
                overload_factor: OVERLOAD_FACTOR,
                overload_window: span(OVERLOAD_WINDOW_MS),
                ..Rules::default()
            },
            rate_hints: RateHints::Approximate,
            instances: self.manifest.total_instances,
            min_batch_interval: span(MIN_BATCH_INTERVAL_MS),
            ..Settings::default()
        }
    }

    fn scheduler_limits(self) -> Limits {
        let limits = &self.manifest.limits;
        Limits {
            max_in_flight: limits.max_in_flight,
            max_open_messages: limits.max_open,
            max_attempts: limits.max_attempts,
            streams_per_connection: 1,
            idle_timeout: span(limits.idle_timeout_ms),
            max_retry_after: span(limits.max_retry_after_ms),
            cancellation_allowed: true,
            health_checks_allowed: false,
        }
    }
}

fn message_class(class: &ClassSpec) -> MessageClass {
    MessageClass {
        priority_weight: class.priority_weight,
        latency_objective: span(class.latency_objective_ms),
        deadline: span(class.deadline_ms),
        late_value: class.late_value,
        idempotency: match class.idempotency {
            IdempotencySpec::Idempotent => Idempotency::Idempotent,
            IdempotencySpec::NonIdempotent => Idempotency::NonIdempotent,
            IdempotencySpec::IdempotencyKey => Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                window: span(class.deduplication_window_ms.unwrap_or_default()),
            },
        },
        ordered: false,
    }
}

fn span(ms: u64) -> Span {
    Span::from_ms(ms as f64)
}
