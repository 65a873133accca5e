//! The summary of a run that experiments keep.

use super::{ClassCounts, ClassMetrics, Metrics, P50, P99};
use crate::invariants::{InvariantChecker, Verdict};
use crate::scenario::Scenario;
use crate::simulation::{play, NodeFactory};
use serde::{Deserialize, Serialize};

/// Summary of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Its name.
    pub class: String,
    /// Counts of its messages.
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

/// Summary of a run. Stored records name some fields by their older names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Value of the messages delivered as a share of the value of all that were offered.
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
    /// The first violation.
    #[serde(rename = "first_breach")]
    pub first_violation: Option<String>,
    /// By class, in the order of the scenario.
    pub classes: Vec<ClassSummary>,
}

impl Summary {
    /// The summary of a run.
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

/// A run that was measured and checked.
pub struct MeasuredRun {
    /// Its metrics.
    pub metrics: Metrics,
    /// Its violations.
    pub verdict: Verdict,
}

impl MeasuredRun {
    /// The summary of the run.
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
