//! Metrics of a run: outcomes and delivery times by class, and calls by destination over time.

mod export;
mod summary;

pub use summary::{measure, ClassSummary, MeasuredRun, Summary};

use crate::destination::Destination;
use crate::observation::{FinalOutcome, Observation};
use crate::scenario::{Class, EndpointLocation, Scenario};
use hdrhistogram::Histogram;
use marblefall_scheduler::{MessageClass, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of time bins of a run. Longer runs have wider bins.
const MAX_BINS: f64 = 6000.0;
/// Minimum width of a time bin, in s.
const MIN_BIN_S: f64 = 0.1;
/// Longest delivery time that is recorded, in microseconds (one hour). Longer times are recorded as this value.
const MAX_DELIVERY_TIME_US: u64 = 3_600_000_000;
/// Precision of recorded delivery times, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Lower bound of the offered value. It avoids a division by zero in a run without messages.
const MIN_OFFERED_VALUE: f64 = 1e-9;
/// The quantile of delivery times reported as the median.
const P50: f64 = 0.5;
/// The quantile of delivery times reported as the tail.
const P99: f64 = 0.99;

/// Message counts of one class. Some fields have different names in stored records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Messages that clients offered, without resubmissions.
    pub offered: u64,
    /// Messages that instances accepted, including resubmissions.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Messages delivered within the latency objective.
    pub in_time: u64,
    /// Messages rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Messages that failed permanently.
    pub failed: u64,
    /// Attempts started.
    #[serde(rename = "legs")]
    pub attempts: u64,
}

impl ClassCounts {
    /// Returns the number of attempts per accepted message.
    pub fn attempts_per_message(&self) -> f64 {
        self.attempts as f64 / self.accepted.max(1) as f64
    }
}

/// Metrics of one class.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    /// Name of the class.
    pub class: String,
    /// Message counts of the class.
    pub counts: ClassCounts,
    /// Sum of the values of the delivered messages. A message delivered within the latency objective has the value 1.
    pub delivered_value: f64,
    /// Time from the intended submission to the delivery, in microseconds.
    pub delivery_time_us: Histogram<u64>,
}

impl ClassMetrics {
    fn new(class: &Class) -> ClassMetrics {
        ClassMetrics {
            class: class.name.clone(),
            counts: ClassCounts::default(),
            delivered_value: 0.0,
            delivery_time_us: Histogram::new_with_bounds(
                1,
                MAX_DELIVERY_TIME_US,
                SIGNIFICANT_DIGITS,
            )
            .expect("the bounds are valid"),
        }
    }

    /// Returns a quantile of the delivery times, in ms.
    pub fn delivery_time_ms(&self, quantile: f64) -> f64 {
        self.delivery_time_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn record_delivery(&mut self, settings: &MessageClass, duration: Span) {
        self.counts.delivered += 1;
        self.counts.in_time += u64::from(duration <= settings.latency_objective);
        self.delivered_value += value_at_delivery(settings, duration);
        self.delivery_time_us
            .saturating_record(duration.0.max(1) as u64);
    }
}

/// Returns the value of a message delivered after `duration`: 1 within the latency objective, then falling linearly to
/// the late value at the deadline.
fn value_at_delivery(class: &MessageClass, duration: Span) -> f64 {
    let late = (duration.ms() - class.latency_objective.ms()).max(0.0)
        / (class.deadline.ms() - class.latency_objective.ms()).max(1.0);
    1.0 - (1.0 - class.late_value) * late.min(1.0)
}

/// Metrics of one destination.
#[derive(Clone, Debug)]
pub struct DestinationMetrics {
    /// Name of the destination.
    pub destination: String,
    /// Calls that arrived, by time bin.
    pub calls: Vec<u32>,
    /// Messages delivered, by time bin.
    pub delivered: Vec<u32>,
}

impl DestinationMetrics {
    fn new(destination: &Destination) -> DestinationMetrics {
        DestinationMetrics {
            destination: destination.name.clone(),
            calls: Vec::new(),
            delivered: Vec::new(),
        }
    }
}

/// The number of open messages over time.
#[derive(Default)]
struct OpenMessageGauge {
    /// Maximum, by time bin.
    max_by_bin: Vec<u32>,
    current: u32,
    /// Value after the last recorded change.
    recorded: u32,
}

impl OpenMessageGauge {
    fn increment(&mut self, bin: usize) {
        self.current += 1;
        self.record(bin);
    }

    fn decrement(&mut self, bin: usize) {
        self.current -= 1;
        self.record(bin);
    }

    fn record(&mut self, bin: usize) {
        if self.max_by_bin.len() <= bin {
            // Bins without a change have the value after the last recorded change.
            self.max_by_bin.resize(bin + 1, self.recorded);
        }
        self.max_by_bin[bin] = self.max_by_bin[bin].max(self.current);
        self.recorded = self.current;
    }
}

/// A message that was accepted and has no final outcome.
struct OpenMessage {
    class: usize,
    destination: usize,
    intended_at: Time,
}

/// Collects the metrics of a run from its observations.
pub struct Metrics {
    /// Metrics of each class, in the order of the scenario.
    pub classes: Vec<ClassMetrics>,
    /// Metrics of each destination, in the order of the scenario.
    pub destinations: Vec<DestinationMetrics>,
    /// Width of a time bin, in s.
    pub bin_s: f64,
    endpoint_locations: Vec<EndpointLocation>,
    class_settings: Vec<MessageClass>,
    open_messages: HashMap<u64, OpenMessage>,
    open_message_gauge: OpenMessageGauge,
}

impl Metrics {
    /// Creates the metrics of a run without observations.
    pub fn new(scenario: &Scenario) -> Metrics {
        let class_settings = scenario.classes.iter().map(|class| class.class.clone());
        Metrics {
            classes: scenario.classes.iter().map(ClassMetrics::new).collect(),
            destinations: scenario
                .destinations
                .iter()
                .map(DestinationMetrics::new)
                .collect(),
            bin_s: MIN_BIN_S.max(scenario.seconds / MAX_BINS),
            endpoint_locations: scenario.endpoint_locations(),
            class_settings: class_settings.collect(),
            open_messages: HashMap::new(),
            open_message_gauge: OpenMessageGauge::default(),
        }
    }

    /// Returns the maximum number of open messages, by time bin.
    pub fn open_messages(&self) -> &[u32] {
        &self.open_message_gauge.max_by_bin
    }

    /// Counts an observation. Observations must be passed in chronological order.
    pub fn observe(&mut self, at: Time, observation: &Observation) {
        let bin = self.bin(at);
        match *observation {
            Observation::Accepted {
                message,
                class,
                destination,
                intended_at,
                is_first_submission,
                ..
            } => {
                let counts = &mut self.classes[class].counts;
                counts.accepted += 1;
                counts.offered += u64::from(is_first_submission);
                self.open_message_gauge.increment(bin);
                let accepted = OpenMessage {
                    class,
                    destination,
                    intended_at,
                };
                self.open_messages.insert(message, accepted);
            }
            Observation::AttemptSent { message, .. } => {
                if let Some(open) = self.open_messages.get(&message) {
                    self.classes[open.class].counts.attempts += 1;
                }
            }
            Observation::AttemptArrived { endpoint, .. } => {
                let destination = self.endpoint_locations[endpoint as usize].destination;
                increment(&mut self.destinations[destination].calls, bin);
            }
            Observation::Finished { message, outcome } => self.finished(at, message, outcome),
            Observation::AttemptEnded { .. }
            | Observation::EndpointListed { .. }
            | Observation::RecoveryOverloaded { .. }
            | Observation::InstanceCrashed { .. }
            | Observation::InstanceRestarted { .. } => {}
        }
    }

    fn finished(&mut self, at: Time, message: u64, outcome: FinalOutcome) {
        let Some(open) = self.open_messages.remove(&message) else {
            return;
        };
        let bin = self.bin(at);
        self.open_message_gauge.decrement(bin);
        let class = &mut self.classes[open.class];
        match outcome {
            FinalOutcome::Delivered => {
                class.record_delivery(&self.class_settings[open.class], at - open.intended_at);
                increment(&mut self.destinations[open.destination].delivered, bin);
            }
            FinalOutcome::Rejected(_) => class.counts.rejected += 1,
            FinalOutcome::Failed => class.counts.failed += 1,
        }
    }

    fn bin(&self, at: Time) -> usize {
        (at.ms() / 1000.0 / self.bin_s) as usize
    }

    /// Returns the value of the delivered messages as a share of the value of all offered messages, both weighted by
    /// priority.
    pub fn delivered_value_share(&self) -> f64 {
        let delivered = self.weighted_sum(|class| class.delivered_value);
        let offered = self.weighted_sum(|class| class.counts.offered as f64);
        delivered / offered.max(MIN_OFFERED_VALUE)
    }

    fn weighted_sum(&self, value: impl Fn(&ClassMetrics) -> f64) -> f64 {
        let weights = self
            .class_settings
            .iter()
            .map(|class| class.priority_weight);
        let weighted = self.classes.iter().zip(weights);
        weighted
            .map(|(class, weight)| weight * value(class))
            .sum::<f64>()
    }
}

fn increment(bins: &mut Vec<u32>, bin: usize) {
    if bins.len() <= bin {
        bins.resize(bin + 1, 0);
    }
    bins[bin] += 1;
}
