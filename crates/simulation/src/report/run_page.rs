//! The page of a run.

use super::html::{line_plot, page};
use super::run::{DeliveryTimes, DestinationReport, RunReport, TimelineEntry};
use super::ReportError;
use crate::metrics::ClassSummary;
use crate::plot::{Line, LinePlot, PlotError, ShadedSpan};
use maud::{html, Markup};
use std::cmp::Reverse;

/// Approximate number of points of a line over time.
const POINTS_PER_LINE: f64 = 240.0;
/// Width of a plot, in pixels.
const PLOT_WIDTH_PX: u32 = 880;
/// Height of a plot over time, in pixels.
const PLOT_HEIGHT_PX: u32 = 200;
/// Height of the plot of delivery times, in pixels.
const DELIVERY_TIMES_HEIGHT_PX: u32 = 240;
/// Maximum number of destinations with a plot. Destinations with outages are first, then those with the most calls.
const MAX_PLOTTED_DESTINATIONS: usize = 12;
/// A capacity above this multiple of the maximum rate is not plotted, as it would flatten the other lines.
const MAX_PLOTTED_CAPACITY: f64 = 4.0;

impl RunReport {
    /// Returns the HTML page of the run.
    ///
    /// # Errors
    /// Returns an error if a plot cannot be drawn.
    pub fn page(&self) -> Result<String, ReportError> {
        let plotted = self.plotted_destinations();
        let not_plotted = self.destinations.len() - plotted.len();
        let destinations = plotted
            .into_iter()
            .map(|destination| self.destination_figure(destination))
            .collect::<Result<Vec<Markup>, _>>()?;
        let delivery_times = line_plot(&self.delivery_time_plot())?;
        let open_messages = line_plot(&self.open_message_plot())?;
        let share = self.summary.delivered_value_share;
        let body = html! {
            p { "Seed " (self.seed) ", " (self.seconds) " s. Value delivered: " strong { (format!("{share:.4}")) } "." }
            (verdict(self.summary.violations, &self.violations))
            h2 { "By class" }
            (class_table(&self.summary.classes))
            h2 { "Time to delivery, from the intended submission" }
            (delivery_times)
            h2 { "Open messages" }
            (open_messages)
            h2 { "Destinations" }
            p { "Shaded: outages. The capacity rises over the warm-up time after an outage." }
            @for destination in destinations { (destination) }
            @if not_plotted > 0 { p { (not_plotted) " more destinations are in partners.csv." } }
            @if !self.timeline.is_empty() { (timeline(&self.timeline)) }
        };
        Ok(page(&self.title, &body))
    }

    fn plotted_destinations(&self) -> Vec<&DestinationReport> {
        let calls = |destination: &DestinationReport| -> u64 {
            destination
                .calls
                .iter()
                .map(|count| u64::from(*count))
                .sum()
        };
        let mut destinations: Vec<&DestinationReport> = self.destinations.iter().collect();
        destinations.sort_by_key(|destination| {
            (destination.outages.is_empty(), Reverse(calls(destination)))
        });
        destinations.truncate(MAX_PLOTTED_DESTINATIONS);
        destinations
    }

    fn destination_figure(&self, destination: &DestinationReport) -> Result<Markup, PlotError> {
        let calls = self.rate(&destination.calls);
        let max_rate = calls.iter().map(|point| point.1).fold(0.0, f64::max);
        let plots_capacity = destination.capacity <= MAX_PLOTTED_CAPACITY * max_rate;
        let capacity = calls
            .iter()
            .map(|(at_s, _)| (*at_s, destination.capacity_at(*at_s)))
            .collect();
        let mut lines = vec![
            Line {
                name: "calls received".to_owned(),
                points: calls,
            },
            Line {
                name: "delivered".to_owned(),
                points: self.rate(&destination.delivered),
            },
        ];
        if plots_capacity {
            lines.push(Line {
                name: "capacity".to_owned(),
                points: capacity,
            });
        }
        let outages = destination.outages.iter().map(|outage| ShadedSpan {
            from: outage.from_s,
            until: outage.until_s,
        });
        let svg = line_plot(&LinePlot {
            x_label: "time in s",
            y_label: "per second",
            width_px: PLOT_WIDTH_PX,
            height_px: PLOT_HEIGHT_PX,
            shaded: outages.collect(),
            lines,
        })?;
        Ok(html! {
            figure {
                figcaption { (destination.name) @if !plots_capacity { " (capacity " (format!("{:.0}", destination.capacity)) " per second)" } }
                (svg)
            }
        })
    }

    /// Converts counts by bin into points of time in s and rate per second.
    fn rate(&self, bins: &[u32]) -> Vec<(f64, f64)> {
        let bin_count = self.open_messages.len().max(bins.len());
        let length_s = bin_count.max(1) as f64 * self.bin_s;
        let bins_per_point = ((length_s / POINTS_PER_LINE).max(1.0) / self.bin_s).round();
        let bins_per_point = bins_per_point.max(1.0) as usize;
        let width_s = bins_per_point as f64 * self.bin_s;
        let rate = |point: usize| {
            let counts = bins.iter().skip(point * bins_per_point);
            let sum = counts.take(bins_per_point).sum::<u32>();
            f64::from(sum) / width_s
        };
        (0..bin_count.div_ceil(bins_per_point))
            .map(|point| ((point as f64 + 0.5) * width_s, rate(point)))
            .collect()
    }

    fn open_message_plot(&self) -> LinePlot<'static> {
        let bins = self.open_messages.len() as f64;
        let step = (bins / (4.0 * POINTS_PER_LINE)).ceil().max(1.0) as usize;
        let counts = self.open_messages.iter().enumerate();
        let points = counts.map(|(bin, open)| (bin as f64 * self.bin_s, f64::from(*open)));
        LinePlot {
            x_label: "time in s",
            y_label: "messages",
            width_px: PLOT_WIDTH_PX,
            height_px: PLOT_HEIGHT_PX,
            shaded: Vec::new(),
            lines: vec![Line {
                name: "open".to_owned(),
                points: points.step_by(step).collect(),
            }],
        }
    }

    fn delivery_time_plot(&self) -> LinePlot<'static> {
        LinePlot {
            x_label: "nines: 1 is 90 %, 2 is 99 %, 3 is 99.9 %",
            y_label: "s",
            width_px: PLOT_WIDTH_PX,
            height_px: DELIVERY_TIMES_HEIGHT_PX,
            shaded: Vec::new(),
            lines: self.delivery_times.iter().map(delivery_time_line).collect(),
        }
    }
}

/// Returns the delivery times over the number of nines of the quantile, a scale that spreads the tail.
fn delivery_time_line(times: &DeliveryTimes) -> Line {
    let point = |(quantile, ms): &(f64, f64)| (-(1.0 - quantile).log10(), ms / 1000.0);
    Line {
        name: times.class.clone(),
        points: times.quantiles.iter().map(point).collect(),
    }
}

impl DestinationReport {
    /// Returns the calls per second that the destination can process at a time.
    fn capacity_at(&self, at_s: f64) -> f64 {
        let is_out = |from_s: f64, until_s: f64| from_s <= at_s && at_s < until_s;
        if self
            .outages
            .iter()
            .any(|outage| is_out(outage.from_s, outage.until_s))
        {
            return 0.0;
        }
        let ends = self.outages.iter().map(|outage| outage.until_s);
        let recovered_s = ends
            .filter(|until_s| *until_s <= at_s)
            .fold(f64::NAN, f64::max);
        match self.warm_up {
            Some(warm_up) if at_s - recovered_s < warm_up.duration_s => {
                let initial = warm_up.initial_capacity;
                let progress = (1.0 - initial) * (at_s - recovered_s) / warm_up.duration_s;
                self.capacity * (initial + progress)
            }
            _ => self.capacity,
        }
    }
}

fn verdict(count: u64, violations: &[String]) -> Markup {
    let listed = violations.len();
    html! {
        @if count == 0 { p.good { "✓ All invariants hold." } }
        @else {
            p.bad { "✗ " (count) " violations" @if (listed as u64) < count { ", the first " (listed) " are here" } "." }
            @for violation in violations { pre { (violation) } }
        }
    }
}

fn timeline(entries: &[TimelineEntry]) -> Markup {
    html! {
        h2 { "Timeline" }
        table { @for entry in entries { tr { td.n { (format!("{:.1} s", entry.at_s)) } td { (entry.text) } } } }
    }
}

fn class_table(classes: &[ClassSummary]) -> Markup {
    let columns = [
        "offered",
        "delivered in time",
        "late",
        "not delivered",
        "p50 ms",
        "p99 ms",
        "attempts each",
    ];
    html! {
        table {
            tr {
                th { "class" }
                @for column in columns { th.n { (column) } }
            }
            @for class in classes { (class_row(class)) }
        }
    }
}

fn class_row(class: &ClassSummary) -> Markup {
    let counts = &class.counts;
    let share = |count: u64| {
        let percent = 100.0 * count as f64 / counts.offered.max(1) as f64;
        format!("{percent:.1} %")
    };
    html! {
        tr {
            td { (class.class) }
            td.n { (counts.offered) }
            td.n { (share(counts.in_time)) }
            td.n { (share(counts.delivered - counts.in_time)) }
            td.n { (share(counts.offered.saturating_sub(counts.delivered))) }
            td.n { (format!("{:.1}", class.p50_ms)) }
            td.n { (format!("{:.1}", class.p99_ms)) }
            td.n { (format!("{:.2}", counts.attempts_per_message())) }
        }
    }
}
