//! How much load a scenario bears: by bisection, the multiple of its loads at which a class begins to miss its deadline.

use crate::metrics::measure;
use crate::scenario::{Draft, Unfit};
use crate::simulation::in_service;
use rayon::prelude::*;
use std::collections::BTreeMap;

/// Where the search looks, and what counts as kept.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    /// The least multiple of the scenario's loads.
    pub least: f64,
    /// The greatest.
    pub most: f64,
    /// Part of what clients bring of a class that must be delivered before its deadline.
    pub part: f64,
    /// Seeds 1 to this are played at each multiple.
    pub seeds: u64,
    /// Each step halves what is left, on a logarithmic scale.
    pub steps: u32,
}

/// What a class bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bears {
    /// Not even the least.
    Less,
    /// Up to this multiple, and not this one.
    Between(f64, f64),
    /// All that was tried.
    More,
}

/// Of each class the part delivered, and messages a second that clients brought.
type Parts = BTreeMap<String, (f64, f64)>;

fn parts(draft: &Draft, times: f64, seeds: u64) -> Result<Parts, Unfit> {
    let draft = draft.clone().set(&[format!("load_times={times:.6}")])?;
    let runs: Result<Vec<_>, Unfit> = (1..=seeds)
        .into_par_iter()
        .map(|seed| {
            let scenario = draft.scenario(seed)?;
            Ok((measure(&scenario, seed, &in_service).0, scenario.seconds))
        })
        .collect();
    let mut sums: BTreeMap<String, (u64, u64, f64)> = BTreeMap::new();
    for (tally, seconds) in runs? {
        for class in tally.classes.iter().filter(|class| class.offered > 0) {
            let sum = sums.entry(class.class.clone()).or_default();
            *sum = (
                sum.0 + class.delivered,
                sum.1 + class.offered,
                sum.2 + seconds,
            );
        }
    }
    let part = |(delivered, offered, seconds)| {
        (delivered as f64 / offered as f64, offered as f64 / seconds)
    };
    Ok(sums
        .into_iter()
        .map(|(class, sum)| (class, part(sum)))
        .collect())
}

/// For each class what it bears, and how many messages a second of it that is.
///
/// # Errors
/// Of the scenario.
pub fn capacity(draft: &Draft, search: Search) -> Result<BTreeMap<String, (Bears, f64)>, Unfit> {
    let mut known: BTreeMap<u64, Parts> = BTreeMap::new();
    let mut at = |times: f64| -> Result<Parts, Unfit> {
        if let Some(parts) = known.get(&times.to_bits()) {
            return Ok(parts.clone());
        }
        let found = parts(draft, times, search.seeds)?;
        known.insert(times.to_bits(), found.clone());
        Ok(found)
    };
    let mut found = BTreeMap::new();
    let (least, most) = (at(search.least)?, at(search.most)?);
    let keeps = |parts: &Parts, class: &str| {
        parts
            .get(class)
            .is_none_or(|(part, _)| *part >= search.part)
    };
    for (class, (_, rate)) in &least {
        if !keeps(&least, class) {
            found.insert(class.clone(), (Bears::Less, *rate));
            continue;
        }
        if keeps(&most, class) {
            found.insert(class.clone(), (Bears::More, most[class].1));
            continue;
        }
        let (mut low, mut high, mut borne) = (search.least, search.most, *rate);
        for _ in 0..search.steps {
            let middle = (low * high).sqrt();
            let parts = at(middle)?;
            if keeps(&parts, class) {
                (low, borne) = (middle, parts.get(class).map_or(borne, |(_, rate)| *rate));
            } else {
                high = middle;
            }
        }
        found.insert(class.clone(), (Bears::Between(low, high), borne));
    }
    Ok(found)
}
