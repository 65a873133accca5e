//! The data that the page of a run shows, in the form in which it is stored.

use super::{ReportError, PAGE_FILE, RUN_FILE};
use crate::destination::{Destination, Outage, OutageKind};
use crate::metrics::{ClassMetrics, DestinationMetrics, MeasuredRun, Summary};
use crate::scenario::Scenario;
use marblefall_scheduler::{EndpointStatus, Time};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::Path;

/// Quantiles at which delivery times are stored.
const QUANTILES: [f64; 10] = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

/// The data that the page of a run shows. Stored runs keep the older names of some fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    pub(super) title: String,
    pub(super) seed: u64,
    pub(super) seconds: f64,
    /// Width of a bin, in s.
    pub(super) bin_s: f64,
    #[serde(rename = "figures")]
    pub(super) summary: Summary,
    #[serde(rename = "times")]
    pub(super) delivery_times: Vec<DeliveryTimes>,
    #[serde(rename = "partners")]
    pub(super) destinations: Vec<DestinationReport>,
    /// Maximum number of open messages in each bin.
    #[serde(rename = "held")]
    pub(super) open_messages: Vec<u32>,
    #[serde(rename = "happened")]
    pub(super) timeline: Vec<TimelineEntry>,
    #[serde(rename = "breaches")]
    pub(super) violations: Vec<String>,
}

/// The data that the page of a run shows for one destination.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct DestinationReport {
    pub(super) name: String,
    /// Calls per second that the destination can process when it is warmed up.
    pub(super) capacity: f64,
    /// Outages that affect all calls.
    pub(super) outages: Vec<OutageReport>,
    /// Warm-up after an outage; `None` if the full capacity is available at once.
    #[serde(rename = "cold")]
    pub(super) warm_up: Option<WarmUpReport>,
    /// Number of calls that arrived in each bin.
    pub(super) calls: Vec<u32>,
    /// Number of messages delivered in each bin.
    pub(super) delivered: Vec<u32>,
}

/// Quantiles of the delivery times of a class. Stored as `[class, [[quantile, ms], ...]]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(String, Vec<(f64, f64)>)", into = "(String, Vec<(f64, f64)>)")]
pub(super) struct DeliveryTimes {
    pub(super) class: String,
    /// Pairs of a quantile and its delivery time in ms.
    pub(super) quantiles: Vec<(f64, f64)>,
}

impl From<(String, Vec<(f64, f64)>)> for DeliveryTimes {
    fn from((class, quantiles): (String, Vec<(f64, f64)>)) -> DeliveryTimes {
        DeliveryTimes { class, quantiles }
    }
}

impl From<DeliveryTimes> for (String, Vec<(f64, f64)>) {
    fn from(times: DeliveryTimes) -> (String, Vec<(f64, f64)>) {
        (times.class, times.quantiles)
    }
}

/// An outage of a destination. Stored as `[from_s, until_s, kind]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(f64, f64, String)", into = "(f64, f64, String)")]
pub(super) struct OutageReport {
    pub(super) from_s: f64,
    pub(super) until_s: f64,
    kind: String,
}

impl From<(f64, f64, String)> for OutageReport {
    fn from((from_s, until_s, kind): (f64, f64, String)) -> OutageReport {
        OutageReport {
            from_s,
            until_s,
            kind,
        }
    }
}

impl From<OutageReport> for (f64, f64, String) {
    fn from(outage: OutageReport) -> (f64, f64, String) {
        (outage.from_s, outage.until_s, outage.kind)
    }
}

/// The warm-up of a destination after an outage. Stored as `[initial_capacity, duration_s]`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(super) struct WarmUpReport {
    /// Share of the capacity that is available right after the outage.
    pub(super) initial_capacity: f64,
    pub(super) duration_s: f64,
}

impl From<(f64, f64)> for WarmUpReport {
    fn from((initial_capacity, duration_s): (f64, f64)) -> WarmUpReport {
        WarmUpReport {
            initial_capacity,
            duration_s,
        }
    }
}

impl From<WarmUpReport> for (f64, f64) {
    fn from(warm_up: WarmUpReport) -> (f64, f64) {
        (warm_up.initial_capacity, warm_up.duration_s)
    }
}

/// An event of the timeline. Stored as `[at_s, text]`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(f64, String)", into = "(f64, String)")]
pub(super) struct TimelineEntry {
    pub(super) at_s: f64,
    pub(super) text: String,
}

impl From<(f64, String)> for TimelineEntry {
    fn from((at_s, text): (f64, String)) -> TimelineEntry {
        TimelineEntry { at_s, text }
    }
}

impl From<TimelineEntry> for (f64, String) {
    fn from(entry: TimelineEntry) -> (f64, String) {
        (entry.at_s, entry.text)
    }
}

impl RunReport {
    /// Creates the report of a run.
    pub fn of(scenario: &Scenario, seed: u64, run: &MeasuredRun) -> RunReport {
        let MeasuredRun { metrics, verdict } = run;
        let delivered = metrics
            .classes
            .iter()
            .filter(|class| class.counts.delivered > 0);
        let destinations = scenario.destinations.iter().zip(&metrics.destinations);
        RunReport {
            title: scenario.title.clone(),
            seed,
            seconds: scenario.seconds,
            bin_s: metrics.bin_s,
            summary: run.summary(),
            delivery_times: delivered.map(delivery_times).collect(),
            destinations: destinations
                .map(|(spec, metrics)| destination_report(spec, metrics))
                .collect(),
            open_messages: metrics.open_messages().to_vec(),
            timeline: timeline(scenario),
            violations: verdict.violations.iter().map(ToString::to_string).collect(),
        }
    }

    /// Writes the run and its page into a folder.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or a plot cannot be drawn.
    pub fn write(&self, folder: &Path) -> Result<(), ReportError> {
        let path = folder.join(RUN_FILE);
        let text = serde_json::to_string(self).map_err(|source| ReportError::Run {
            path: path.clone(),
            source,
        })?;
        write_file(&path, &(text + "\n"))?;
        write_file(&folder.join(PAGE_FILE), &self.page()?)
    }

    /// Reads the run that is stored in a folder.
    pub(super) fn read(folder: &Path) -> Result<RunReport, ReportError> {
        let path = folder.join(RUN_FILE);
        let text = fs::read(&path).map_err(|source| ReportError::File {
            path: path.clone(),
            source,
        })?;
        serde_json::from_slice(&text).map_err(|source| ReportError::Run { path, source })
    }
}

fn write_file(path: &Path, content: &str) -> Result<(), ReportError> {
    fs::write(path, content).map_err(|source| ReportError::File {
        path: path.to_owned(),
        source,
    })
}

fn secs(time: Time) -> f64 {
    time.ms() / 1000.0
}

fn delivery_times(class: &ClassMetrics) -> DeliveryTimes {
    let quantiles = QUANTILES.map(|quantile| (quantile, class.delivery_time_ms(quantile)));
    DeliveryTimes {
        class: class.class.clone(),
        quantiles: quantiles.to_vec(),
    }
}

fn destination_report(spec: &Destination, metrics: &DestinationMetrics) -> DestinationReport {
    let outage_report = |outage: &Outage| OutageReport {
        from_s: secs(outage.from),
        until_s: secs(outage.until),
        kind: describe(outage.kind).to_owned(),
    };
    let outages = spec.outages.iter().filter(|outage| outage.is_total());
    DestinationReport {
        name: spec.name.clone(),
        capacity: spec.capacity(),
        outages: outages.map(outage_report).collect(),
        warm_up: spec.warm_up.map(|warm_up| WarmUpReport {
            initial_capacity: warm_up.initial_capacity,
            duration_s: warm_up.duration.secs(),
        }),
        calls: metrics.calls.clone(),
        delivered: metrics.delivered.clone(),
    }
}

fn describe(kind: OutageKind) -> &'static str {
    match kind {
        OutageKind::RefuseConnections => "refuses connections",
        OutageKind::ResetConnections => "resets connections",
        OutageKind::Blackhole => "does not answer",
        OutageKind::ReturnErrors => "returns errors",
        OutageKind::RejectAll => "rejects every call",
    }
}

/// Returns the outages, crashes, list changes and partitions of a scenario in order of time.
fn timeline(scenario: &Scenario) -> Vec<TimelineEntry> {
    let mut timeline = Timeline(Vec::new());
    timeline.add_outages(scenario);
    timeline.add_crashes(scenario);
    timeline.add_list_changes(scenario);
    timeline.add_partitions(scenario);
    let mut entries = timeline.0;
    entries.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    entries
}

/// Collects the timeline entries of a scenario.
struct Timeline(Vec<TimelineEntry>);

impl Timeline {
    fn add(&mut self, at: Time, text: String) {
        self.0.push(TimelineEntry {
            at_s: secs(at),
            text,
        });
    }

    fn add_outages(&mut self, scenario: &Scenario) {
        for destination in &scenario.destinations {
            let name = &destination.name;
            for outage in &destination.outages {
                let kind = describe(outage.kind);
                let share = if outage.is_total() {
                    String::new()
                } else {
                    format!(" for {:.0} % of calls", outage.share * 100.0)
                };
                self.add(outage.from, format!("{name} {kind}{share}"));
                self.add(outage.until, format!("{name} recovers"));
            }
        }
    }

    fn add_crashes(&mut self, scenario: &Scenario) {
        for crash in &scenario.crashes {
            let instance = crash.instance;
            let restart = crash.at + crash.restart_after;
            self.add(crash.at, format!("instance {instance} crashes"));
            self.add(restart, format!("instance {instance} restarts"));
        }
    }

    fn add_list_changes(&mut self, scenario: &Scenario) {
        let locations = scenario.endpoint_locations();
        for change in &scenario.list_changes {
            let location = locations[change.endpoint];
            let name = &scenario.destinations[location.destination].name;
            let status = match change.status {
                EndpointStatus::Active => "is listed as active",
                EndpointStatus::Draining => "is listed as draining",
                EndpointStatus::Removed => "is removed from the list",
            };
            let index = location.index;
            self.add(change.at, format!("endpoint {index} of {name} {status}"));
        }
    }

    fn add_partitions(&mut self, scenario: &Scenario) {
        for partition in &scenario.network.partitions {
            let name = &scenario.destinations[partition.destination].name;
            self.add(partition.from, format!("{name} is partitioned"));
            self.add(partition.until, format!("{name} is reachable again"));
        }
    }
}
