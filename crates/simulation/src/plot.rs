//! Charts as SVG for a page: lines over time, and means with their intervals.
//!
//! Colours are those of Okabe and Ito, which people of all kinds of colour vision tell apart, and lines also differ by
//! their dashes, so that they do in print.

use plotters::prelude::*;
use plotters::series::DashedLineSeries;
use std::error::Error;

type Done<T> = Result<T, Box<dyn Error>>;

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];
/// Lengths of a dash and of the gap behind it; the first line is drawn through.
const DASHES: [(u32, u32); 6] = [(0, 0), (8, 4), (3, 3), (12, 3), (5, 8), (2, 6)];
const BAND: RGBColor = RGBColor(225, 225, 225);

/// How the line with a number is drawn, for a legend: its colour and its dashes as SVG has them.
pub fn stroke(number: usize) -> (String, String) {
    let RGBColor(red, green, blue) = COLOURS[number % COLOURS.len()];
    let (dash, gap) = DASHES[number % DASHES.len()];
    let dashes = if dash == 0 {
        "none".to_owned()
    } else {
        format!("{dash} {gap}")
    };
    (format!("rgb({red},{green},{blue})"), dashes)
}

/// How the mark of the variant with a number looks in text.
pub fn mark(number: usize) -> &'static str {
    ["●", "▲", "✕"][number % 3]
}

/// A line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Lines over one axis; `bands` are spans of it that are shaded.
///
/// # Errors
/// Of the drawing.
pub fn lines(
    labels: (&str, &str),
    size: (u32, u32),
    bands: &[(f64, f64)],
    all: &[Line],
) -> Done<String> {
    let points = || all.iter().flat_map(|line| &line.points);
    let most_x = points().map(|point| point.0).fold(1e-9, f64::max);
    let most_y = points().map(|point| point.1).fold(1e-9, f64::max) * 1.08;
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(BAND)
            .x_desc(labels.0)
            .y_desc(labels.1)
            .label_style(("sans-serif", 12))
            .draw()?;
        chart.draw_series(
            bands
                .iter()
                .map(|(from, to)| Rectangle::new([(*from, 0.0), (*to, most_y)], BAND.filled())),
        )?;
        for (number, line) in all.iter().enumerate() {
            let (colour, (dash, gap)) = (
                COLOURS[number % COLOURS.len()],
                DASHES[number % DASHES.len()],
            );
            let style = colour.stroke_width(2);
            let points = line.points.iter().copied();
            if dash == 0 {
                chart.draw_series(LineSeries::new(points, style))?;
            } else {
                chart.draw_series(DashedLineSeries::new(points, dash, gap, style))?;
            }
        }
        area.present()?;
    }
    Ok(text)
}

/// Means with their intervals, a row for each name and a mark for each variant.
#[derive(Clone, Debug, PartialEq)]
pub struct Dots {
    /// The variant.
    pub variant: String,
    /// For each row its mean and the ends of its interval; none where there is none.
    pub rows: Vec<Option<(f64, f64, f64)>>,
}

/// Draws them.
///
/// # Errors
/// Of the drawing.
pub fn dots(label: &str, names: &[String], all: &[Dots]) -> Done<String> {
    let values = || all.iter().flat_map(|one| &one.rows).flatten();
    let least = values().map(|value| value.1).fold(f64::INFINITY, f64::min);
    let most = values()
        .map(|value| value.2)
        .fold(f64::NEG_INFINITY, f64::max);
    let room = (most - least).max(0.01) * 0.05;
    let rows = names.len() as f64;
    let mut text = String::new();
    {
        let size = (880, 90 + 26 * names.len() as u32);
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(130)
            .build_cartesian_2d(least - room..most + room, -0.5..rows - 0.5)?;
        let name = |at: &f64| {
            let place = at.round();
            let whole = (at - place).abs() < 1e-6 && place >= 0.0;
            whole
                .then(|| names.get((rows - 1.0 - place) as usize).cloned())
                .flatten()
                .unwrap_or_default()
        };
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .bold_line_style(BAND)
            .x_desc(label)
            .y_labels(names.len() * 2 + 1)
            .y_label_formatter(&name)
            .label_style(("sans-serif", 12))
            .draw()?;
        for (number, one) in all.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let shift = 0.16 * (number as f64 - (all.len() as f64 - 1.0) / 2.0);
            let at = |row: usize| rows - 1.0 - row as f64 - shift;
            let found = || {
                one.rows
                    .iter()
                    .enumerate()
                    .filter_map(|(row, value)| Some((row, (*value)?)))
            };
            chart.draw_series(found().map(|(row, (_, low, high))| {
                PathElement::new([(low, at(row)), (high, at(row))], colour.stroke_width(2))
            }))?;
            // Marks differ by shape as well.
            let place = |(row, (mean, ..)): (usize, (f64, f64, f64))| (mean, at(row));
            match number % 3 {
                0 => {
                    let marks = found().map(|one| Circle::new(place(one), 4, colour.filled()));
                    chart.draw_series(marks)?;
                }
                1 => {
                    let marks =
                        found().map(|one| TriangleMarker::new(place(one), 5, colour.filled()));
                    chart.draw_series(marks)?;
                }
                _ => {
                    let marks =
                        found().map(|one| Cross::new(place(one), 4, colour.stroke_width(2)));
                    chart.draw_series(marks)?;
                }
            }
        }
        area.present()?;
    }
    Ok(text)
}
