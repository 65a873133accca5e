//! A scenario for one seed: every range is drawn, every reference resolved to an index.

use crate::destination::Destination;
use crate::rate_expression::RateExpression;
use crate::trace;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};

/// The longest duration of a scenario, in s.
pub(super) const MAX_DURATION_S: f64 = trace::MAX_TIME_S;
/// The least time between two batches of events, in ms.
const MIN_BATCH_INTERVAL_MS: f64 = 1.0;

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its settings.
    pub class: m::MessageClass,
}

/// How the messages of a load are spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Evenly.
    Even,
    /// As a Poisson process.
    Poisson,
    /// In bursts of this many messages, which arrive as a Poisson process.
    Bursts(u32),
}

impl Arrivals {
    /// Messages that arrive at once.
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
    /// Index of their class.
    pub class: usize,
    /// Indices of their destinations; one is drawn for each message.
    pub destinations: Vec<usize>,
    /// Messages per second, over time.
    pub rate: RateExpression,
    /// The maximum of the rate.
    pub max_rate: f64,
    /// How they are spaced.
    pub arrivals: Arrivals,
    /// When each arrives, in order. Replaces the rate.
    pub trace: Option<Vec<Time>>,
    /// How often a client submits a rejected message again.
    pub retries: u32,
}

/// A change of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListChange {
    /// When it happens.
    pub at: Time,
    /// The endpoint, counted over all destinations.
    pub endpoint: usize,
    /// Its new status.
    pub status: EndpointStatus,
}

/// A crash of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// Index of the instance.
    pub instance: usize,
    /// When it crashes.
    pub at: Time,
    /// How long it is down.
    pub restart_after: Span,
}

/// A period in which a destination cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Partition {
    /// Index of the destination.
    pub destination: usize,
    /// Its start.
    pub from: Time,
    /// Its end.
    pub until: Time,
}

/// The network between instances, clients and destinations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// Least delay of one direction, in ms.
    pub delay_ms: f64,
    /// Width of the uniform distribution added to it, in ms.
    pub jitter_ms: f64,
    /// Share of the requests and of the responses that is lost.
    pub loss: f64,
    /// Partitions.
    pub partitions: Vec<Partition>,
}

/// Where an endpoint belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Index of its destination.
    pub destination: usize,
    /// Its index there.
    pub index: usize,
}

/// A scenario for one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its title.
    pub title: String,
    /// How long clients submit messages, in s.
    pub seconds: f64,
    /// Number of instances.
    pub instances: usize,
    /// Limits of each instance.
    pub limits: m::Limits,
    /// Rules of the recovery ramp.
    pub rules: m::Rules,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Destinations.
    pub destinations: Vec<Destination>,
    /// Loads.
    pub loads: Vec<Load>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Crashes of instances.
    pub crashes: Vec<Crash>,
    /// The network.
    pub network: Network,
}

impl Scenario {
    /// How long clients submit messages.
    pub fn length(&self) -> Time {
        Time(0) + Span::from_secs(self.seconds)
    }

    /// The settings of every instance.
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

    /// Where each endpoint belongs, counted over all destinations.
    pub fn endpoint_locations(&self) -> Vec<EndpointLocation> {
        let destinations = self.destinations.iter().enumerate();
        let locations = destinations.flat_map(|(destination, spec)| {
            (0..spec.endpoints).map(move |index| EndpointLocation { destination, index })
        });
        locations.collect()
    }

    /// Whether a destination cannot be reached at a time.
    pub fn is_partitioned(&self, destination: usize, now: Time) -> bool {
        self.network.partitions.iter().any(|partition| {
            partition.destination == destination && partition.from <= now && now < partition.until
        })
    }
}
