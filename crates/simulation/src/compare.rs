//! Paired comparison of two variants on the same scenarios and seeds.
//!
//! Runs differ far more between seeds than between variants, so runs are compared in pairs with the same scenario and seed.
//! The confidence interval of the mean difference is computed by bootstrapping. The difference is significant if the
//! interval excludes zero. Intervals are widened for the number of scenarios that are compared (Bonferroni correction).

use crate::experiment::CellResult;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Number of bootstrap samples for an interval.
const BOOTSTRAP_SAMPLES: usize = 10_000;
/// Inverse of the significance level: one set of comparisons in this many shows a difference where none exists.
const FALSE_POSITIVE_ONE_IN: f64 = 20.0;
/// Minimum number of pairs: with fewer, bootstrap intervals are too narrow.
const MIN_PAIRS: usize = 6;

/// The mean of paired differences with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean of the differences.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

impl Difference {
    /// Returns the mean and its interval, which is widened for `comparisons` that are made together.
    pub fn of(differences: &[f64], comparisons: usize) -> Difference {
        let pairs = differences.len();
        if pairs == 0 {
            return Difference {
                pairs: 0,
                mean: 0.0,
                low: f64::NEG_INFINITY,
                high: f64::INFINITY,
            };
        }
        let means = bootstrap_means(differences);
        let tail =
            (BOOTSTRAP_SAMPLES as f64 / FALSE_POSITIVE_ONE_IN / comparisons.max(1) as f64 / 2.0)
                as usize;
        Difference {
            pairs,
            mean: differences.iter().sum::<f64>() / pairs as f64,
            low: means[tail],
            high: means[BOOTSTRAP_SAMPLES - 1 - tail],
        }
    }

    /// Returns whether there are enough pairs and the interval excludes zero.
    pub fn is_significant(&self) -> bool {
        self.pairs >= MIN_PAIRS && (self.low > 0.0 || self.high < 0.0)
    }
}

/// Returns the means of bootstrap samples in ascending order. The draws depend only on the number of differences.
fn bootstrap_means(differences: &[f64]) -> Vec<f64> {
    let count = differences.len();
    let mut rng = Pcg64::seed_from_u64(count as u64);
    let mut sample_mean = |_| {
        let drawn = (0..count).map(|_| differences[rng.random_range(0..count)]);
        drawn.sum::<f64>() / count as f64
    };
    let mut means: Vec<f64> = (0..BOOTSTRAP_SAMPLES).map(&mut sample_mean).collect();
    means.sort_by(f64::total_cmp);
    means
}

/// Number of runs with violations under each variant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolatingRuns {
    /// Violating runs under the first variant.
    pub base: usize,
    /// Violating runs under the second variant.
    pub with: usize,
}

/// A comparison of two variants.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Difference in the delivered share of the value, second variant minus first, by scenario.
    pub by_scenario: BTreeMap<String, Difference>,
    /// Difference over all scenarios.
    pub overall: Difference,
    /// Number of runs with violations.
    pub violating_runs: ViolatingRuns,
}

impl Comparison {
    /// Compares results with the same scenario and seed. Results without a counterpart are ignored.
    pub fn of(base: &[CellResult], with: &[CellResult]) -> Comparison {
        let key = |result: &CellResult| (result.scenario.clone(), result.seed);
        let base_summaries: BTreeMap<_, _> = base
            .iter()
            .map(|result| (key(result), &result.summary))
            .collect();
        let mut differences: BTreeMap<String, Vec<f64>> = BTreeMap::new();
        let mut violating_runs = ViolatingRuns::default();
        for result in with {
            let Some(before) = base_summaries.get(&key(result)) else {
                continue;
            };
            let after = &result.summary;
            differences
                .entry(result.scenario.clone())
                .or_default()
                .push(after.delivered_value_share - before.delivered_value_share);
            violating_runs.base += usize::from(before.violations > 0);
            violating_runs.with += usize::from(after.violations > 0);
        }
        let all: Vec<f64> = differences.values().flatten().copied().collect();
        let comparisons = differences.len();
        let by_scenario = differences
            .into_iter()
            .map(|(name, differences)| (name, Difference::of(&differences, comparisons)));
        Comparison {
            by_scenario: by_scenario.collect(),
            overall: Difference::of(&all, 1),
            violating_runs,
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>5} {:>9} {:>9} {:>9}",
            "value delivered", "pairs", "change", "from", "to"
        )?;
        for (name, change) in &self.by_scenario {
            write_row(f, name, change)?;
        }
        write_row(f, "all of them", &self.overall)?;
        write!(
            f,
            "runs with violations: {} before, {} after",
            self.violating_runs.base, self.violating_runs.with
        )
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, change: &Difference) -> fmt::Result {
    let verdict = match (change.is_significant(), change.mean > 0.0) {
        (true, true) => "more",
        (true, false) => "less",
        (false, _) if change.pairs < MIN_PAIRS => "too few pairs",
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
        "{name:<20} {pairs:>5} {mean:>+9.4} {low:>+9.4} {high:>+9.4}  {verdict}"
    )
}

/// Returns the names of all variants in the results.
pub fn variants(results: &[CellResult]) -> BTreeSet<&str> {
    let names = results.iter().map(|result| result.variant.as_str());
    names.collect()
}
