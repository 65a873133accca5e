//! The page and the table of an experiment.

use super::ReportError;
use crate::compare::{variants, Comparison, Difference};
use crate::experiment::CellResult;
use crate::plot::{marker, stroke, Interval, IntervalPlot, IntervalSeries};
use maud::{html, Markup, PreEscaped};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Delivered shares of the value, one for each seed, by scenario and variant.
type Shares<'r> = BTreeMap<&'r str, BTreeMap<&'r str, Vec<f64>>>;

fn shares(results: &[CellResult]) -> Shares<'_> {
    let mut shares: Shares<'_> = BTreeMap::new();
    for result in results {
        let by_variant = shares.entry(&result.scenario).or_default();
        let of_variant = by_variant.entry(&result.variant).or_default();
        of_variant.push(result.summary.delivered_value_share);
    }
    shares
}

/// Returns the mean of values, of which there must be at least one.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Formats the mean delivered share of the value by scenario and variant as a plain-text table.
pub fn value_table(results: &[CellResult]) -> String {
    let variants = variants(results);
    let mut text = format!("{:<20}", "value delivered");
    for variant in &variants {
        let _ = write!(text, " {variant:>12}");
    }
    text.push('\n');
    for (scenario, by_variant) in shares(results) {
        let _ = write!(text, "{scenario:<20}");
        for variant in &variants {
            let shares = by_variant.get(variant);
            let cell = shares.map_or("-".to_owned(), |shares| format!("{:.4}", mean(shares)));
            let _ = write!(text, " {cell:>12}");
        }
        text.push('\n');
    }
    text
}

/// Returns the page of an experiment, which must have at least one result.
pub(super) fn page(title: &str, results: &[CellResult]) -> Result<String, ReportError> {
    let shares = shares(results);
    let variants = variants(results);
    let violating: Vec<&CellResult> = results
        .iter()
        .filter(|result| result.summary.violations > 0)
        .collect();
    let seeds: BTreeSet<u64> = results.iter().map(|result| result.seed).collect();
    let plot = PreEscaped(interval_plot(&shares, &variants).svg()?);
    let body = html! {
        p { (results.len()) " runs: " (shares.len()) " scenarios, " (seeds.len()) " seeds, " (variants.len()) " variants." }
        @if violating.is_empty() { p.good { "✓ All invariants hold in every run." } }
        @else { p.bad { "✗ " (violating.len()) " runs violate an invariant." } }
        p.legend {
            @for (index, variant) in variants.iter().enumerate() {
                span style=(format!("color:{}", stroke(index).colour)) { (marker(index)) } " " (variant) "   "
            }
        }
        (plot)
        (mean_table(&shares, &variants))
        (comparisons(results, &variants))
        @if !violating.is_empty() { (violation_table(&violating)) }
    };
    Ok(super::html::page(title, &body))
}

fn interval_plot(shares: &Shares<'_>, variants: &BTreeSet<&str>) -> IntervalPlot<'static> {
    let interval = |shares: &Vec<f64>| {
        let Difference {
            mean, low, high, ..
        } = Difference::of(shares, 1);
        Interval { mean, low, high }
    };
    let series = variants.iter().map(|variant| IntervalSeries {
        rows: shares
            .values()
            .map(|by_variant| by_variant.get(variant).map(interval))
            .collect(),
    });
    IntervalPlot {
        x_label: "value delivered: mean over the seeds, with its 95 % interval",
        row_names: shares.keys().map(|name| (*name).to_owned()).collect(),
        series: series.collect(),
    }
}

fn mean_table(shares: &Shares<'_>, variants: &BTreeSet<&str>) -> Markup {
    html! {
        table {
            tr { th { "value delivered" } @for variant in variants { th.n { (variant) } } }
            @for (scenario, by_variant) in shares {
                tr {
                    td { (scenario) }
                    @for variant in variants {
                        td.n { @if let Some(shares) = by_variant.get(variant) { (format!("{:.4}", mean(shares))) } }
                    }
                }
            }
        }
    }
}

/// Compares each variant with the first one, in alphabetical order.
fn comparisons(results: &[CellResult], variants: &BTreeSet<&str>) -> Markup {
    let of_variant = |variant: &str| -> Vec<CellResult> {
        let results = results.iter().filter(|result| result.variant == variant);
        results.cloned().collect()
    };
    let base = variants.first().copied().unwrap_or_default();
    let base_results = of_variant(base);
    html! {
        @for variant in variants.iter().skip(1) {
            h2 { (variant) " against " (base) ", pair by pair" }
            p { "An interval that excludes 0 is a difference. Intervals are widened for the number of scenarios." }
            pre { (Comparison::of(&base_results, &of_variant(variant))) }
        }
    }
}

fn violation_table(violating: &[&CellResult]) -> Markup {
    html! {
        h2 { "Violations" }
        table {
            tr { @for column in ["scenario", "variant", "seed", "first violation"] { th { (column) } } }
            @for result in violating {
                tr {
                    td { (result.scenario) }
                    td { (result.variant) }
                    td.n { (result.seed) }
                    td { (result.summary.first_violation.as_deref().unwrap_or_default()) }
                }
            }
        }
    }
}
