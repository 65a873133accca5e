//! Converts the form of a scenario into the scenario: checks bounds, applies defaults, draws from ranges, resolves
//! references, and collects all problems.

mod destinations;
mod loads;

use super::error::{ScenarioError, ScenarioProblem, ValueError};
use super::form::{
    ClassForm, CrashForm, Form, IdempotencyForm, InstancesForm, ListChangeForm, NetworkForm,
    Number, PartitionForm, RulesForm, StatusForm,
};
use super::model::{Class, Crash, ListChange, Network, Partition, Scenario, MAX_DURATION_S};
use super::source::SourceLines;
use crate::destination::Destination;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

const MIN_DURATION_S: f64 = 0.001;
const DEFAULT_DURATION_S: f64 = 60.0;
const MAX_DELAY_MS: f64 = 60_000.0;
const DEFAULT_DELAY_MS: f64 = 1.0;
const MAX_WEIGHT: f64 = 1e6;
const MAX_LOAD_FACTOR: f64 = 1e6;
/// Maximum Retry-After that the scheduler observes, in ms.
const MAX_RETRY_AFTER_MS: f64 = 3000.0;

/// Indices of the destinations that each `[partner.NAME]` table defines.
type DestinationGroups = BTreeMap<String, Vec<usize>>;

/// Bounds and default of a number.
#[derive(Clone, Copy)]
struct Bounds {
    default: f64,
    min: f64,
    max: f64,
}

impl Bounds {
    const fn new(default: f64, min: f64, max: f64) -> Bounds {
        Bounds { default, min, max }
    }

    /// Returns the bounds of a whole number.
    fn whole(default: usize, min: usize, max: usize) -> Bounds {
        Bounds::new(default as f64, min as f64, max as f64)
    }
}

/// Returns the bounds of a share.
const fn share(default: f64) -> Bounds {
    Bounds::new(default, 0.0, 1.0)
}

/// Converts the form of a scenario into the scenario.
pub(super) struct ScenarioReader<'a> {
    lines: &'a SourceLines,
    rng: Pcg64,
    problems: Vec<ScenarioProblem>,
}

impl<'a> ScenarioReader<'a> {
    /// Creates a reader whose draws depend on a seed.
    pub(super) fn new(lines: &'a SourceLines, seed: u64) -> ScenarioReader<'a> {
        ScenarioReader {
            lines,
            rng: Pcg64::seed_from_u64(seed),
            problems: Vec::new(),
        }
    }

    /// Converts a form.
    ///
    /// # Errors
    /// Returns every invalid value.
    pub(super) fn read(mut self, form: Form) -> Result<Scenario, ScenarioError> {
        let scenario = self.scenario(form);
        if self.problems.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError(self.problems))
        }
    }

    fn report(&mut self, path: &str, source: ValueError) {
        self.problems.push(ScenarioProblem::Value {
            location: self.lines.location(path).map(str::to_owned),
            path: path.to_owned(),
            source,
        });
    }

    /// Returns a number, or the default if the number is absent or invalid. Each valid range takes one draw.
    fn number(&mut self, path: &str, given: Option<Number>, bounds: Bounds) -> f64 {
        let is_valid = |value: f64| value >= bounds.min && value <= bounds.max;
        let error = match given {
            None => return bounds.default,
            Some(Number::Exact(value)) if is_valid(value) => return value,
            Some(Number::Range { from, to }) if is_range(from, to) => {
                if from >= bounds.min && to <= bounds.max {
                    return from + (to - from) * self.rng.random::<f64>();
                }
                ValueError::OutOfBounds {
                    min: bounds.min,
                    max: bounds.max,
                }
            }
            Some(Number::Exact(_)) => ValueError::OutOfBounds {
                min: bounds.min,
                max: bounds.max,
            },
            Some(Number::Range { .. }) => ValueError::InvalidRange,
        };
        self.report(path, error);
        bounds.default
    }

    /// Returns a number rounded to a whole one, or the default if it is absent or invalid.
    fn count(&mut self, path: &str, given: Option<Number>, bounds: Bounds) -> usize {
        self.number(path, given, bounds).round() as usize
    }

    /// Converts a duration in seconds, or returns the default if it is absent or invalid.
    fn span(&mut self, path: &str, given: Option<Number>, default_s: f64) -> Span {
        let bounds = Bounds::new(default_s, 0.0, MAX_DURATION_S);
        Span::from_secs(self.number(path, given, bounds))
    }

    /// Converts a time in seconds, or returns 0 if it is invalid.
    fn time(&mut self, path: &str, given: Number) -> Time {
        let bounds = Bounds::new(0.0, 0.0, MAX_DURATION_S);
        Time(0) + Span::from_secs(self.number(path, Some(given), bounds))
    }

    /// Converts a form. The order of the steps determines the order of the draws.
    fn scenario(&mut self, form: Form) -> Scenario {
        let duration = Bounds::new(DEFAULT_DURATION_S, MIN_DURATION_S, MAX_DURATION_S);
        let seconds = self.number("seconds", form.seconds, duration);
        let count = Bounds::whole(3, 1, 1000);
        let instances = self.count("couriers.count", form.instances.count, count);
        let rules = self.rules(&form.rules);
        let limits = self.limits(&form.instances);
        let classes = self.classes(&form.classes);
        let (destinations, groups) = self.destinations(&form.destinations, &rules);
        let factor = Bounds::new(1.0, 0.0, MAX_LOAD_FACTOR);
        let load_factor = self.number("load_times", form.load_factor, factor);
        let loads = loads::LoadReader {
            reader: self,
            groups: &groups,
            classes: &classes,
            seconds,
            load_factor,
        }
        .read(&form.loads);
        let list_changes = self.list_changes(&form.list_changes, &groups, &destinations);
        let crashes = self.crashes(&form.crashes, instances);
        let network = self.network(&form.network, &form.partitions, &groups);
        Scenario {
            title: form.title.unwrap_or_default(),
            seconds,
            instances,
            limits,
            rules,
            classes,
            destinations,
            loads,
            list_changes,
            crashes,
            network,
        }
    }

    fn rules(&mut self, form: &RulesForm) -> m::Rules {
        m::Rules {
            ramp_start: self.number(
                "rules.cold_from",
                form.ramp_start,
                Bounds::new(0.27, 0.001, 1.0),
            ),
            ramp_duration: self.span("rules.cold_s", form.ramp_duration_s, 10.0),
            overload_factor: self.number(
                "rules.fall_multiple",
                form.overload_factor,
                Bounds::new(1.5, 0.1, 1000.0),
            ),
            overload_window: self.span("rules.tip_after_s", form.overload_window_s, 2.0),
            ..m::Rules::default()
        }
    }

    fn limits(&mut self, form: &InstancesForm) -> m::Limits {
        let max_in_flight = Bounds::whole(16, 1, 100_000);
        let max_open_messages = Bounds::whole(1000, 1, 10_000_000);
        let max_attempts = Bounds::whole(8, 1, 1000);
        m::Limits {
            max_in_flight: self.count("couriers.slots", form.max_in_flight, max_in_flight),
            max_open_messages: self.count(
                "couriers.max_open",
                form.max_open_messages,
                max_open_messages,
            ),
            max_attempts: self.count("couriers.max_attempts", form.max_attempts, max_attempts)
                as u32,
            streams_per_connection: 1,
            idle_timeout: self.span("couriers.conn_idle_s", form.idle_timeout_s, 15.0),
            max_retry_after: Span::from_ms(MAX_RETRY_AFTER_MS),
            cancellation_allowed: false,
            health_checks_allowed: false,
        }
    }

    fn classes(&mut self, forms: &BTreeMap<String, ClassForm>) -> Vec<Class> {
        if forms.is_empty() {
            self.report("class", ValueError::NoClass);
        }
        let classes = forms.iter().map(|(name, form)| self.class(name, form));
        classes.collect()
    }

    fn class(&mut self, name: &str, form: &ClassForm) -> Class {
        let path = |field: &str| format!("class.{name}.{field}");
        let idempotency = self.idempotency(&path, form);
        let latency_objective = self.span(&path("wanted_s"), form.latency_objective_s, 2.0);
        let deadline = self.span(&path("give_up_s"), form.deadline_s, 16.0);
        if deadline < latency_objective {
            self.report(&path("give_up_s"), ValueError::DeadlineBeforeObjective);
        }
        let weight = Bounds::new(1.0, 0.0, MAX_WEIGHT);
        let class = m::MessageClass {
            priority_weight: self.number(&path("worth"), form.priority_weight, weight),
            latency_objective,
            deadline,
            late_value: self.number(&path("late_value"), form.late_value, share(0.3)),
            idempotency,
            ordered: false,
        };
        Class {
            name: name.to_owned(),
            class,
        }
    }

    fn idempotency(&mut self, path: &dyn Fn(&str) -> String, form: &ClassForm) -> m::Idempotency {
        let window = self.span(&path("window_s"), form.deduplication_window_s, 0.0);
        match form.idempotency {
            Some(IdempotencyForm::NonIdempotent) => m::Idempotency::NonIdempotent,
            Some(IdempotencyForm::IdempotencyKey) => {
                if form.deduplication_window_s.is_none() {
                    self.report(&path("repeats"), ValueError::NoDeduplicationWindow);
                }
                m::Idempotency::IdempotencyKey {
                    scope: m::DeduplicationScope::All,
                    window,
                }
            }
            Some(IdempotencyForm::Idempotent) | None => m::Idempotency::Idempotent,
        }
    }

    /// Returns the indices of the destinations that a table defines.
    fn group(&mut self, path: &str, name: &str, groups: &DestinationGroups) -> Vec<usize> {
        if let Some(group) = groups.get(name) {
            return group.clone();
        }
        self.report(path, ValueError::UnknownDestination(name.to_owned()));
        Vec::new()
    }

    fn list_changes(
        &mut self,
        forms: &[ListChangeForm],
        groups: &DestinationGroups,
        destinations: &[Destination],
    ) -> Vec<ListChange> {
        let mut changes = Vec::new();
        for (index, form) in forms.iter().enumerate() {
            let path = format!("news.{index}");
            let group = self.group(&format!("{path}.partner"), &form.destination, groups);
            let at = self.time(&format!("{path}.at_s"), form.at_s);
            let status = match form.status {
                StatusForm::Active => EndpointStatus::Active,
                StatusForm::Draining => EndpointStatus::Draining,
                StatusForm::Removed => EndpointStatus::Removed,
            };
            for destination in group {
                let last = destinations[destination].endpoints.saturating_sub(1);
                let endpoint_path = format!("{path}.endpoint");
                let endpoint = self.count(&endpoint_path, form.endpoint, Bounds::whole(0, 0, last));
                changes.push(ListChange {
                    at,
                    endpoint: first_endpoint(destinations, destination) + endpoint,
                    status,
                });
            }
        }
        changes
    }

    fn crashes(&mut self, forms: &[CrashForm], instances: usize) -> Vec<Crash> {
        let instance = Bounds::whole(0, 0, instances - 1);
        let mut crashes = Vec::new();
        for (index, form) in forms.iter().enumerate() {
            let path = |field: &str| format!("crash.{index}.{field}");
            crashes.push(Crash {
                instance: self.count(&path("courier"), form.instance, instance),
                at: self.time(&path("at_s"), form.at_s),
                restart_after: self.span(&path("back_after_s"), form.restart_after_s, 1.0),
            });
        }
        crashes
    }

    fn network(
        &mut self,
        form: &NetworkForm,
        partitions: &[PartitionForm],
        groups: &DestinationGroups,
    ) -> Network {
        let delay = Bounds::new(DEFAULT_DELAY_MS, 0.0, MAX_DELAY_MS);
        let mut network = Network {
            delay_ms: self.number("network.delay_ms", form.delay_ms, delay),
            jitter_ms: self.number("network.jitter_ms", form.jitter_ms, delay),
            loss: self.number("network.loss", form.loss, share(0.0)),
            partitions: Vec::new(),
        };
        for (index, form) in partitions.iter().enumerate() {
            let path = |field: &str| format!("partition.{index}.{field}");
            let group = self.group(&path("partner"), &form.destination, groups);
            let from = self.time(&path("from_s"), form.from_s);
            let until = from + self.span(&path("for_s"), Some(form.for_s), 0.0);
            let partitions = group.into_iter().map(|destination| Partition {
                destination,
                from,
                until,
            });
            network.partitions.extend(partitions);
        }
        network
    }
}

fn is_range(from: f64, to: f64) -> bool {
    from <= to && from.is_finite() && to.is_finite()
}

/// Returns the index of the first endpoint of a destination, counted over all destinations.
fn first_endpoint(destinations: &[Destination], destination: usize) -> usize {
    let before = destinations[..destination].iter();
    before.map(|destination| destination.endpoints).sum()
}
