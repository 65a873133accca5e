//! SVG plots: lines over a common axis, and means with their confidence intervals.
//!
//! The colours are from the palette of Okabe and Ito, which can be distinguished with every kind of colour vision. Lines
//! also differ by their dashes, and intervals by their markers, so that they can be distinguished in print without colour.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use plotters::series::DashedLineSeries;
use std::error::Error;

/// An error of the drawing library.
#[derive(Debug, thiserror::Error)]
#[error("a plot cannot be drawn")]
pub struct PlotError(#[source] Box<dyn Error + Send + Sync>);

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];
/// Colour of the grid and of shaded spans.
const GREY: RGBColor = RGBColor(225, 225, 225);

/// Lengths of the dashes and gaps of a line, in pixels. A length of 0 is a solid line.
#[derive(Clone, Copy)]
struct Dashes {
    length: u32,
    gap: u32,
}

impl Dashes {
    const fn new(length: u32, gap: u32) -> Dashes {
        Dashes { length, gap }
    }

    fn is_solid(self) -> bool {
        self.length == 0
    }
}

const DASHES: [Dashes; 6] = [
    Dashes::new(0, 0),
    Dashes::new(8, 4),
    Dashes::new(3, 3),
    Dashes::new(12, 3),
    Dashes::new(5, 8),
    Dashes::new(2, 6),
];
/// Characters that represent the markers in a legend, in the order of [`draw_markers`].
const MARKERS: [&str; 3] = ["●", "▲", "✕"];
const FONT: (&str, u32) = ("sans-serif", 12);
const MARGIN_PX: u32 = 8;
const X_LABELS_PX: u32 = 34;
const LINE_WIDTH_PX: u32 = 2;
/// Factor by which the vertical axis exceeds the maximum value.
const HEADROOM: f64 = 1.08;
/// Minimum length of an axis.
const MIN_AXIS_LENGTH: f64 = 1e-9;
/// Width of an interval plot, in pixels.
const INTERVAL_PLOT_WIDTH_PX: u32 = 880;
/// Height of an interval plot without rows, in pixels.
const INTERVAL_PLOT_BASE_PX: u32 = 90;
/// Height of a row of an interval plot, in pixels.
const ROW_PX: u32 = 26;
/// Vertical distance between the intervals of one row, as a share of the row height.
const SERIES_DISTANCE: f64 = 0.16;

/// Colour and dashes of a line, as values of SVG attributes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stroke {
    /// Value of the attribute `stroke`.
    pub colour: String,
    /// Value of the attribute `stroke-dasharray`.
    pub dashes: String,
}

/// Returns the stroke of the line with an index, for a legend.
pub fn stroke(index: usize) -> Stroke {
    let RGBColor(red, green, blue) = COLOURS[index % COLOURS.len()];
    let dashes = DASHES[index % DASHES.len()];
    Stroke {
        colour: format!("rgb({red},{green},{blue})"),
        dashes: if dashes.is_solid() {
            "none".to_owned()
        } else {
            format!("{} {}", dashes.length, dashes.gap)
        },
    }
}

/// Returns the character that represents the marker of the series with an index.
pub fn marker(index: usize) -> &'static str {
    MARKERS[index % MARKERS.len()]
}

/// Returns the SVG that a function draws.
fn drawn_by(
    draw: impl FnOnce(&mut String) -> Result<(), Box<dyn Error>>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg).map_err(|error| PlotError(error.to_string().into()))?;
    Ok(svg)
}

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Coordinates of the points.
    pub points: Vec<(f64, f64)>,
}

/// A shaded span of the horizontal axis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShadedSpan {
    /// Start of the span.
    pub from: f64,
    /// End of the span.
    pub until: f64,
}

/// A plot of lines over a common horizontal axis.
#[derive(Clone, Debug, PartialEq)]
pub struct LinePlot<'a> {
    /// Label of the horizontal axis.
    pub x_label: &'a str,
    /// Label of the vertical axis.
    pub y_label: &'a str,
    /// Width in pixels.
    pub width_px: u32,
    /// Height in pixels.
    pub height_px: u32,
    /// Shaded spans of the horizontal axis.
    pub shaded: Vec<ShadedSpan>,
    /// Lines of the plot, in the order of the legend.
    pub lines: Vec<Line>,
}

impl LinePlot<'_> {
    /// Returns the plot as SVG.
    ///
    /// # Errors
    /// Returns an error if the plot cannot be drawn.
    pub fn svg(&self) -> Result<String, PlotError> {
        drawn_by(|svg| self.draw(svg))
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let max_x = points()
            .map(|point| point.0)
            .fold(MIN_AXIS_LENGTH, f64::max);
        let max_y = points()
            .map(|point| point.1)
            .fold(MIN_AXIS_LENGTH, f64::max)
            * HEADROOM;
        let size = (self.width_px, self.height_px);
        let area = SVGBackend::with_string(svg, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN_PX)
            .x_label_area_size(X_LABELS_PX)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(GREY)
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .label_style(FONT)
            .draw()?;
        chart.draw_series(
            self.shaded
                .iter()
                .map(|span| Rectangle::new([(span.from, 0.0), (span.until, max_y)], GREY.filled())),
        )?;
        for (index, line) in self.lines.iter().enumerate() {
            draw_line(&mut chart, index, line)?;
        }
        area.present()?;
        Ok(())
    }
}

fn draw_line(chart: &mut Chart<'_, '_>, index: usize, line: &Line) -> Result<(), Box<dyn Error>> {
    let style = COLOURS[index % COLOURS.len()].stroke_width(LINE_WIDTH_PX);
    let dashes = DASHES[index % DASHES.len()];
    let points = line.points.iter().copied();
    if dashes.is_solid() {
        chart.draw_series(LineSeries::new(points, style))?;
    } else {
        let series = DashedLineSeries::new(points, dashes.length, dashes.gap, style);
        chart.draw_series(series)?;
    }
    Ok(())
}

/// A mean with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    /// Mean of the values.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

/// The intervals of one variant.
#[derive(Clone, Debug, PartialEq)]
pub struct IntervalSeries {
    /// Interval in each row; `None` if the variant has no value there.
    pub rows: Vec<Option<Interval>>,
}

/// A plot of means with their intervals, with a row for each name and a marker for each variant.
#[derive(Clone, Debug, PartialEq)]
pub struct IntervalPlot<'a> {
    /// Label of the horizontal axis.
    pub x_label: &'a str,
    /// Names of the rows, from top to bottom.
    pub row_names: Vec<String>,
    /// Intervals of each variant.
    pub series: Vec<IntervalSeries>,
}

impl IntervalPlot<'_> {
    /// Returns the plot as SVG.
    ///
    /// # Errors
    /// Returns an error if the plot cannot be drawn.
    pub fn svg(&self) -> Result<String, PlotError> {
        drawn_by(|svg| self.draw(svg))
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn Error>> {
        let intervals = || self.series.iter().flat_map(|series| &series.rows).flatten();
        let min = intervals()
            .map(|interval| interval.low)
            .fold(f64::INFINITY, f64::min);
        let max = intervals()
            .map(|interval| interval.high)
            .fold(f64::NEG_INFINITY, f64::max);
        let margin = (max - min).max(0.01) * 0.05;
        let rows = self.row_names.len();
        let height_px = INTERVAL_PLOT_BASE_PX + ROW_PX * rows as u32;
        let size = (INTERVAL_PLOT_WIDTH_PX, height_px);
        let area = SVGBackend::with_string(svg, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN_PX)
            .x_label_area_size(X_LABELS_PX)
            .y_label_area_size(130)
            .build_cartesian_2d(min - margin..max + margin, -0.5..rows as f64 - 0.5)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(GREY)
            .x_desc(self.x_label)
            .y_labels(rows * 2 + 1)
            .y_label_formatter(&|y| self.row_name(*y))
            .label_style(FONT)
            .draw()?;
        for index in 0..self.series.len() {
            self.draw_series(&mut chart, index)?;
        }
        area.present()?;
        Ok(())
    }

    /// Returns the name of the row at a position of the vertical axis, or an empty string between rows.
    fn row_name(&self, y: f64) -> String {
        let position = y.round();
        if (y - position).abs() >= 1e-6 || position < 0.0 {
            return String::new();
        }
        let row = self.row_names.len() as f64 - 1.0 - position;
        let name = self.row_names.get(row as usize);
        name.cloned().unwrap_or_default()
    }

    fn draw_series(&self, chart: &mut Chart<'_, '_>, index: usize) -> Result<(), Box<dyn Error>> {
        let colour = COLOURS[index % COLOURS.len()];
        let shift = SERIES_DISTANCE * (index as f64 - (self.series.len() as f64 - 1.0) / 2.0);
        let y = |row: usize| self.row_names.len() as f64 - 1.0 - row as f64 - shift;
        let rows = self.series[index].rows.iter().enumerate();
        let intervals: Vec<(f64, Interval)> = rows
            .filter_map(|(row, interval)| Some((y(row), (*interval)?)))
            .collect();
        chart.draw_series(intervals.iter().map(|(y, interval)| {
            let ends = [(interval.low, *y), (interval.high, *y)];
            PathElement::new(ends, colour.stroke_width(LINE_WIDTH_PX))
        }))?;
        let means = intervals.iter().map(|(y, interval)| (interval.mean, *y));
        draw_markers(chart, index, means)
    }
}

/// Draws the markers of a series. The shape of the markers depends on the index of the series.
fn draw_markers(
    chart: &mut Chart<'_, '_>,
    index: usize,
    positions: impl Iterator<Item = (f64, f64)>,
) -> Result<(), Box<dyn Error>> {
    let colour = COLOURS[index % COLOURS.len()];
    match index % MARKERS.len() {
        0 => {
            chart.draw_series(positions.map(|at| Circle::new(at, 4, colour.filled())))?;
        }
        1 => {
            chart.draw_series(positions.map(|at| TriangleMarker::new(at, 5, colour.filled())))?;
        }
        _ => {
            let style = colour.stroke_width(LINE_WIDTH_PX);
            chart.draw_series(positions.map(|at| Cross::new(at, 4, style)))?;
        }
    }
    Ok(())
}
