//! Measures the capacity of a scenario: searches by bisection for the load factor at which a class begins to miss its
//! deadline.

use crate::metrics::measure;
use crate::scenario::{Draft, ScenarioError};
use crate::simulation::production_node;
use rayon::prelude::*;
use std::collections::BTreeMap;

/// Bounds of the search and the required share of delivered messages.
#[derive(Clone, Copy, Debug)]
pub struct CapacitySearch {
    /// Minimum factor of the loads.
    pub min_factor: f64,
    /// Maximum factor of the loads.
    pub max_factor: f64,
    /// Share of the offered messages of a class that must be delivered for the class to be sustained.
    pub required_share: f64,
    /// Number of seeds with which each factor is played, starting with seed 1.
    pub seeds: u64,
    /// Number of bisections, on a logarithmic scale.
    pub steps: u32,
}

/// The factor of the loads that a class sustains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// The class does not sustain the minimum factor.
    Below,
    /// The class sustains the first factor but not the second.
    Between(f64, f64),
    /// The class sustains the maximum factor.
    Above,
}

/// The capacity of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassCapacity {
    /// Factor of the loads that the class sustains.
    pub capacity: Capacity,
    /// Offered messages per second at that factor.
    pub offered_rate: f64,
}

/// The deliveries of one class at one factor.
#[derive(Clone, Copy, Debug)]
struct ClassDelivery {
    delivered_share: f64,
    /// Messages per second.
    offered_rate: f64,
}

type Deliveries = BTreeMap<String, ClassDelivery>;

/// Sums over the seeds of one factor.
#[derive(Default)]
struct ClassSum {
    delivered: u64,
    offered: u64,
    seconds: f64,
}

/// Returns the capacity of each class.
///
/// # Errors
/// Returns an error if the draft is not a valid scenario for every seed.
pub fn capacity(
    draft: &Draft,
    search: CapacitySearch,
) -> Result<BTreeMap<String, ClassCapacity>, ScenarioError> {
    let mut measurements = Measurements {
        draft,
        seeds: search.seeds,
        by_factor: BTreeMap::new(),
    };
    let at_min = measurements.at(search.min_factor)?;
    let at_max = measurements.at(search.max_factor)?;
    let mut capacities = BTreeMap::new();
    for (class, lowest) in &at_min {
        let capacity = if !search.is_sustained(&at_min, class) {
            ClassCapacity {
                capacity: Capacity::Below,
                offered_rate: lowest.offered_rate,
            }
        } else if search.is_sustained(&at_max, class) {
            ClassCapacity {
                capacity: Capacity::Above,
                offered_rate: at_max[class].offered_rate,
            }
        } else {
            search.bisect(&mut measurements, class, lowest.offered_rate)?
        };
        capacities.insert(class.clone(), capacity);
    }
    Ok(capacities)
}

impl CapacitySearch {
    /// Returns whether the required share of a class is delivered. A class without messages is sustained.
    fn is_sustained(&self, deliveries: &Deliveries, class: &str) -> bool {
        deliveries
            .get(class)
            .is_none_or(|delivery| delivery.delivered_share >= self.required_share)
    }

    fn bisect(
        &self,
        measurements: &mut Measurements<'_>,
        class: &str,
        lowest_rate: f64,
    ) -> Result<ClassCapacity, ScenarioError> {
        let mut low = self.min_factor;
        let mut high = self.max_factor;
        let mut offered_rate = lowest_rate;
        for _ in 0..self.steps {
            let middle = (low * high).sqrt();
            let deliveries = measurements.at(middle)?;
            if self.is_sustained(&deliveries, class) {
                low = middle;
                let delivery = deliveries.get(class);
                offered_rate = delivery.map_or(offered_rate, |delivery| delivery.offered_rate);
            } else {
                high = middle;
            }
        }
        Ok(ClassCapacity {
            capacity: Capacity::Between(low, high),
            offered_rate,
        })
    }
}

/// Deliveries by factor. Each factor is played at most once.
struct Measurements<'d> {
    draft: &'d Draft,
    seeds: u64,
    /// Keys are the bits of the factor, as `f64` is not `Ord`.
    by_factor: BTreeMap<u64, Deliveries>,
}

impl Measurements<'_> {
    fn at(&mut self, factor: f64) -> Result<Deliveries, ScenarioError> {
        if let Some(deliveries) = self.by_factor.get(&factor.to_bits()) {
            return Ok(deliveries.clone());
        }
        let deliveries = self.play(factor)?;
        self.by_factor.insert(factor.to_bits(), deliveries.clone());
        Ok(deliveries)
    }

    fn play(&self, factor: f64) -> Result<Deliveries, ScenarioError> {
        let draft = self.draft.clone();
        let draft = draft.set(&[format!("load_times={factor:.6}")])?;
        let runs: Result<Vec<_>, ScenarioError> = (1..=self.seeds)
            .into_par_iter()
            .map(|seed| {
                let scenario = draft.scenario(seed)?;
                let run = measure(&scenario, seed, &production_node);
                Ok((run.metrics, scenario.seconds))
            })
            .collect();
        let mut sums: BTreeMap<String, ClassSum> = BTreeMap::new();
        for (metrics, seconds) in runs? {
            let offered = metrics
                .classes
                .iter()
                .filter(|class| class.counts.offered > 0);
            for class in offered {
                let sum = sums.entry(class.class.clone()).or_default();
                sum.delivered += class.counts.delivered;
                sum.offered += class.counts.offered;
                sum.seconds += seconds;
            }
        }
        let deliveries = sums.into_iter().map(|(class, sum)| {
            let delivery = ClassDelivery {
                delivered_share: sum.delivered as f64 / sum.offered as f64,
                offered_rate: sum.offered as f64 / sum.seconds,
            };
            (class, delivery)
        });
        Ok(deliveries.collect())
    }
}
