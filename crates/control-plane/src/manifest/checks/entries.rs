//! Checks that concern a single entry.

use crate::manifest::error::FaultCause;
use crate::manifest::{ClassSpec, EndpointListSource, IdempotencySpec, InstanceLimits};

/// Minimum size of the state folder, in megabytes. The journal needs this much for a message, in addition to its reserve
/// for outcomes and snapshots.
const MIN_DISK_MB: f64 = 1.0;
/// Minimum memory of an instance, in megabytes.
const MIN_MEMORY_MB: f64 = 8.0;
/// Minimum number of file descriptors of an instance.
const MIN_SOCKETS: usize = 64;
/// Upper limit of the configurable maximum size of an endpoint list, in KiB (1 GiB).
const MAX_LIST_KIB: usize = 1 << 20;
const MIN_POLL_INTERVAL_MS: u64 = 50;
const MAX_POLL_INTERVAL_MS: u64 = 3_600_000;

/// Returns whether a name can be used as the name of a folder.
pub(super) fn name_is_valid(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    !name.is_empty() && name.bytes().all(is_allowed)
}

/// Returns whether a text is a valid path in an HTTP request line.
pub(super) fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_proportion(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Returns the first fault of a class.
pub(super) fn class_fault(class: &ClassSpec) -> Option<FaultCause> {
    match (class.idempotency, class.deduplication_window_ms) {
        (IdempotencySpec::IdempotencyKey, None) => return Some(FaultCause::WindowMissing),
        (IdempotencySpec::Idempotent | IdempotencySpec::NonIdempotent, Some(_)) => {
            return Some(FaultCause::WindowUnused)
        }
        (IdempotencySpec::IdempotencyKey, Some(_))
        | (IdempotencySpec::Idempotent | IdempotencySpec::NonIdempotent, None) => {}
    }
    if class.deadline_ms == 0 || class.latency_objective_ms > class.deadline_ms {
        return Some(FaultCause::ObjectiveBeyondDeadline);
    }
    if !is_proportion(class.late_value) {
        return Some(FaultCause::LateValueOutOfRange);
    }
    let weight = class.priority_weight;
    (!(weight.is_finite() && weight > 0.0)).then_some(FaultCause::WeightNotPositive)
}

/// Returns the first fault of the source of endpoint lists.
pub(super) fn list_source_fault(source: &EndpointListSource) -> Option<FaultCause> {
    if !is_proportion(source.max_weight_lost) || !is_proportion(source.max_endpoints_lost) {
        return Some(FaultCause::LossOutOfRange);
    }
    if source.path.as_os_str().is_empty() {
        return Some(FaultCause::EmptyPath);
    }
    if !(1..=MAX_LIST_KIB).contains(&source.max_kib) {
        return Some(FaultCause::MaxKibOutOfRange);
    }
    let poll_intervals = MIN_POLL_INTERVAL_MS..=MAX_POLL_INTERVAL_MS;
    (!poll_intervals.contains(&source.poll_interval_ms))
        .then_some(FaultCause::PollIntervalOutOfRange)
}

/// Returns the first fault of an instance's limits.
pub(super) fn limits_fault(limits: &InstanceLimits) -> Option<FaultCause> {
    if limits.max_in_flight == 0 || limits.max_open == 0 || limits.max_attempts == 0 {
        return Some(FaultCause::ZeroLimit);
    }
    if !(limits.disk_mb.is_finite() && limits.disk_mb >= MIN_DISK_MB) {
        return Some(FaultCause::DiskTooSmall);
    }
    if !(limits.memory_mb.is_finite() && limits.memory_mb >= MIN_MEMORY_MB) {
        return Some(FaultCause::TooLittleMemory);
    }
    (limits.max_sockets < MIN_SOCKETS).then_some(FaultCause::TooFewSockets)
}
