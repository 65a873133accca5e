//! Summary of a run, which experiments store.

use super::{ClassCounts, ClassMetrics, Metrics, P50, P99};
use crate::invariants::{InvariantChecker, Verdict};
use crate::scenario::Scenario;
use crate::simulation::{play, NodeFactory};
use serde::{Deserialize, Serialize};

/// Summary of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Name of the class.
    pub class: String,
    /// Message counts of the class.
    #[serde(flatten)]
    pub counts: ClassCounts,
    /// Median of the delivery times, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the delivery times, in ms.
    pub p99_ms: f64,
}

impl ClassSummary {
    fn of(metrics: &ClassMetrics) -> ClassSummary {
        ClassSummary {
            class: metrics.class.clone(),
            counts: metrics.counts,
            p50_ms: metrics.delivery_time_ms(P50),
            p99_ms: metrics.delivery_time_ms(P99),
        }
    }
}

/// Summary of a run. Some fields have different names in stored records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Value of the delivered messages as a share of the value of all offered messages, both weighted by priority.
    #[serde(rename = "kept")]
    pub delivered_value_share: f64,
    /// Messages accepted.
    pub messages: u64,
    /// Attempts started.
    #[serde(rename = "legs")]
    pub attempts: u64,
    /// Number of violations.
    #[serde(rename = "breaches")]
    pub violations: u64,
    /// Description of the first violation, if any.
    #[serde(rename = "first_breach")]
    pub first_violation: Option<String>,
    /// Summary of each class, in the order of the scenario.
    pub classes: Vec<ClassSummary>,
}

impl Summary {
    /// Summarizes the metrics and the verdict of a run.
    fn of(metrics: &Metrics, verdict: &Verdict) -> Summary {
        let classes: Vec<ClassSummary> = metrics.classes.iter().map(ClassSummary::of).collect();
        let first_violation = verdict.violations.first().map(|violation| {
            let text = violation.to_string();
            text.lines().next().unwrap_or("").to_owned()
        });
        Summary {
            delivered_value_share: metrics.delivered_value_share(),
            messages: classes.iter().map(|class| class.counts.accepted).sum(),
            attempts: classes.iter().map(|class| class.counts.attempts).sum(),
            violations: verdict.count,
            first_violation,
            classes,
        }
    }
}

/// Metrics and verdict of a run.
pub struct MeasuredRun {
    /// Metrics of the run.
    pub metrics: Metrics,
    /// Result of checking the invariants.
    pub verdict: Verdict,
}

impl MeasuredRun {
    /// Returns the summary of the run.
    pub fn summary(&self) -> Summary {
        Summary::of(&self.metrics, &self.verdict)
    }
}

/// Plays a scenario, collects its metrics and checks its invariants.
pub fn measure(scenario: &Scenario, seed: u64, make_node: NodeFactory<'_>) -> MeasuredRun {
    let mut checker = InvariantChecker::new(scenario);
    let mut metrics = Metrics::new(scenario);
    let totals = play(scenario, seed, make_node, &mut |at, observation| {
        checker.observe(at, observation);
        metrics.observe(at, observation);
    });
    MeasuredRun {
        metrics,
        verdict: checker.finish(totals.ended_at),
    }
}
