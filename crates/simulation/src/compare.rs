//! Paired comparison: the same scenarios and seeds under two variants, and whether they differ.
//!
//! Runs differ far more from seed to seed than between two variants, so what counts is the difference within each pair.
//! Its mean has an interval by the bootstrap; a difference is named only where the interval leaves zero out. Where many
//! scenarios are looked at, one of twenty would do so by chance: intervals are widened for their number (Bonferroni).

use crate::experiment::Record;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Samples drawn for an interval: its ends are the 10th from either side where 25 scenarios are compared.
const SAMPLES: usize = 10_000;
/// One comparison in so many that shows a difference where there is none.
const ONE_IN: f64 = 20.0;
/// With fewer pairs the bootstrap's intervals are too narrow to be believed.
const LEAST_PAIRS: usize = 6;

/// The mean of some paired differences.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Pairs.
    pub pairs: usize,
    /// The mean.
    pub mean: f64,
    /// The mean lies above this ...
    pub low: f64,
    /// ... and below this.
    pub high: f64,
}

impl Difference {
    /// Of paired differences, one of `looks` that are made together.
    pub fn of(pairs: &[f64], looks: usize) -> Difference {
        let count = pairs.len();
        if count == 0 {
            return Difference {
                pairs: 0,
                mean: 0.0,
                low: f64::NEG_INFINITY,
                high: f64::INFINITY,
            };
        }
        let mean = pairs.iter().sum::<f64>() / count as f64;
        // The same pairs always have the same interval.
        let mut rng = Pcg64::seed_from_u64(count as u64);
        let mut means: Vec<f64> = (0..SAMPLES)
            .map(|_| {
                (0..count)
                    .map(|_| pairs[rng.random_range(0..count)])
                    .sum::<f64>()
                    / count as f64
            })
            .collect();
        means.sort_by(f64::total_cmp);
        let tail = (SAMPLES as f64 / ONE_IN / looks.max(1) as f64 / 2.0) as usize;
        Difference {
            pairs: count,
            mean,
            low: means[tail],
            high: means[SAMPLES - 1 - tail],
        }
    }

    /// Whether there is one.
    pub fn is_one(&self) -> bool {
        self.pairs >= LEAST_PAIRS && (self.low > 0.0 || self.high < 0.0)
    }
}

/// Two variants side by side.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// For each scenario what the second keeps more than the first.
    pub kept: BTreeMap<String, Difference>,
    /// Over all scenarios.
    pub all: Difference,
    /// Runs that broke a rule under the first and under the second.
    pub broken: (usize, usize),
}

impl Comparison {
    /// Of records with the same scenarios and seeds; what only one of them has is left out.
    pub fn of(base: &[Record], with: &[Record]) -> Comparison {
        let key = |record: &Record| (record.scenario.clone(), record.seed);
        let first: BTreeMap<_, _> = base
            .iter()
            .map(|record| (key(record), &record.figures))
            .collect();
        let mut pairs: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        let mut broken = (0, 0);
        for record in with {
            let Some(before) = first.get(&key(record)) else {
                continue;
            };
            pairs
                .entry(record.scenario.clone())
                .or_default()
                .push(record.figures.kept - before.kept);
            broken.0 += usize::from(before.breaches > 0);
            broken.1 += usize::from(record.figures.breaches > 0);
        }
        let every: Vec<f64> = pairs.values().flatten().copied().collect();
        let looks = pairs.len();
        let kept = pairs
            .into_iter()
            .map(|(name, pairs)| (name, Difference::of(&pairs, looks)))
            .collect();
        Comparison {
            kept,
            all: Difference::of(&every, 1),
            broken,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>5} {:>9} {:>9} {:>9}",
            "worth kept", "pairs", "change", "from", "to"
        )?;
        let all = ("all of them".to_owned(), self.all);
        for (name, change) in self
            .kept
            .iter()
            .map(|(name, one)| (name.clone(), *one))
            .chain([all])
        {
            let word = match (change.is_one(), change.mean > 0.0) {
                (true, true) => "more",
                (true, false) => "less",
                (false, _) if change.pairs < LEAST_PAIRS => "too few pairs",
                (false, _) => "",
            };
            let Difference {
                pairs,
                mean,
                low,
                high,
            } = change;
            writeln!(
                f,
                "{name:<20} {pairs:>5} {mean:>+9.4} {low:>+9.4} {high:>+9.4}  {word}"
            )?;
        }
        write!(
            f,
            "runs that broke a rule: {} before, {} after",
            self.broken.0, self.broken.1
        )
    }
}

/// The variants of some records.
pub fn variants(records: &[Record]) -> BTreeSet<&str> {
    records
        .iter()
        .map(|record| record.variant.as_str())
        .collect()
}
