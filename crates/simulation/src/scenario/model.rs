//! A scenario for one seed: values are drawn from all ranges, and all references are resolved to indices.

use crate::destination::Destination;
use crate::rate_expression::RateExpression;
use crate::trace;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};

/// Maximum duration of a scenario, in s.
pub(super) const MAX_DURATION_S: f64 = trace::MAX_TIME_S;
/// Minimum time between two batches of events, in ms.
const MIN_BATCH_INTERVAL_MS: f64 = 1.0;

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Settings of the class.
    pub class: m::MessageClass,
}

/// Arrival process of the messages of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Messages arrive at even intervals.
    Even,
    /// Messages arrive as a Poisson process.
    Poisson,
    /// Bursts of this many messages arrive as a Poisson process.
    Bursts(u32),
}

impl Arrivals {
    /// Returns the number of messages that arrive at once.
    pub fn burst_size(self) -> f64 {
        match self {
            Arrivals::Bursts(size) => f64::from(size),
            Arrivals::Even | Arrivals::Poisson => 1.0,
        }
    }
}

/// The messages that clients submit to a group of destinations.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Index of the class of the messages.
    pub class: usize,
    /// Indices of the destinations; one is drawn for each message.
    pub destinations: Vec<usize>,
    /// Rate as a function of time, in messages per second.
    pub rate: RateExpression,
    /// Maximum of the rate, in messages per second.
    pub max_rate: f64,
    /// Arrival process.
    pub arrivals: Arrivals,
    /// Arrival times in ascending order. If present, they replace the rate.
    pub trace: Option<Vec<Time>>,
    /// Maximum number of times that a client submits a rejected message again.
    pub retries: u32,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListChange {
    /// Time of the change.
    pub at: Time,
    /// Index of the endpoint, counted over all destinations.
    pub endpoint: usize,
    /// New status of the endpoint.
    pub status: EndpointStatus,
}

/// A crash of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// Index of the instance.
    pub instance: usize,
    /// Time of the crash.
    pub at: Time,
    /// Time from the crash to the restart.
    pub restart_after: Span,
}

/// A period in which a destination cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Partition {
    /// Index of the destination.
    pub destination: usize,
    /// Start of the partition.
    pub from: Time,
    /// End of the partition, exclusive.
    pub until: Time,
}

/// The network between instances, clients and destinations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// Minimum delay in one direction, in ms.
    pub delay_ms: f64,
    /// Width of the uniform distribution that is added to the delay, in ms.
    pub jitter_ms: f64,
    /// Share of requests, and of responses, that are lost.
    pub loss: f64,
    /// Periods in which a destination cannot be reached.
    pub partitions: Vec<Partition>,
}

/// An endpoint's destination and its index within that destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Index of the destination.
    pub destination: usize,
    /// Index of the endpoint within the destination.
    pub index: usize,
}

/// A scenario for one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Title of the scenario.
    pub title: String,
    /// Time for which clients submit messages, in s.
    pub seconds: f64,
    /// Number of instances.
    pub instances: usize,
    /// Limits of each instance.
    pub limits: m::Limits,
    /// Rules of the recovery ramp.
    pub rules: m::Rules,
    /// Message classes, in the order of their indices.
    pub classes: Vec<Class>,
    /// Destinations, in the order of their indices.
    pub destinations: Vec<Destination>,
    /// Messages that clients submit.
    pub loads: Vec<Load>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Instance crashes.
    pub crashes: Vec<Crash>,
    /// Network between instances, clients and destinations.
    pub network: Network,
}

impl Scenario {
    /// Returns the time at which clients stop submitting messages.
    pub fn length(&self) -> Time {
        Time(0) + Span::from_secs(self.seconds)
    }

    /// Returns the settings that all instances use.
    pub fn settings(&self) -> m::Settings {
        let classes = self.classes.iter().map(|class| class.class.clone());
        m::Settings {
            classes: classes.collect(),
            kinds: vec![m::DestinationKind {
                separate_routes: false,
                max_batch: 1,
            }],
            zone_fees: vec![0.0],
            value_decay: m::ValueDecay::Linear,
            limits: self.limits.clone(),
            rules: self.rules.clone(),
            discovery: m::DiscoveryMode::Push,
            rate_hints: m::RateHints::Approximate,
            instances: self.instances,
            min_batch_interval: Span::from_ms(MIN_BATCH_INTERVAL_MS),
            ..m::Settings::default()
        }
    }

    /// Returns the location of each endpoint, counted over all destinations.
    pub fn endpoint_locations(&self) -> Vec<EndpointLocation> {
        let destinations = self.destinations.iter().enumerate();
        let locations = destinations.flat_map(|(destination, spec)| {
            (0..spec.endpoints).map(move |index| EndpointLocation { destination, index })
        });
        locations.collect()
    }

    /// Returns whether a destination is partitioned at a time.
    pub fn is_partitioned(&self, destination: usize, now: Time) -> bool {
        self.network.partitions.iter().any(|partition| {
            partition.destination == destination && partition.from <= now && now < partition.until
        })
    }
}
