//! HTML that the pages of runs and experiments share.

use crate::plot::{stroke, LinePlot, PlotError};
use maud::{html, Markup, PreEscaped, DOCTYPE};

/// The style sheet of every page.
const STYLE: &str = "body{font:16px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#111}\
    table{border-collapse:collapse}th,td{text-align:left;padding:.2em .9em .2em 0;border-bottom:1px solid #ccc}\
    th.n,td.n{text-align:right;font-variant-numeric:tabular-nums}figure{margin:1em 0;break-inside:avoid}\
    figcaption{font-weight:600}svg{max-width:100%;height:auto}.legend{margin:.3em 0;font-size:14px;white-space:pre-wrap}.good{font-weight:600}.bad{font-weight:600}\
    pre{white-space:pre-wrap;background:#f4f4f4;padding:.5em}@media print{body{margin:0;max-width:none}}";

/// Returns a page with a title and a body.
pub(super) fn page(title: &str, body: &Markup) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body { h1 { (title) } (body) }
        }
    };
    page.into_string() + "\n"
}

/// Returns a plot with its legend. The legend is above the plot, so that it does not cover lines.
pub(super) fn line_plot(plot: &LinePlot<'_>) -> Result<Markup, PlotError> {
    let svg = PreEscaped(plot.svg()?);
    Ok(html! {
        @if plot.lines.len() > 1 { (legend(plot)) }
        (svg)
    })
}

fn legend(plot: &LinePlot<'_>) -> Markup {
    html! {
        p.legend {
            @for (index, line) in plot.lines.iter().enumerate() {
                @let stroke = stroke(index);
                svg width="30" height="8" {
                    line x1="0" y1="4" x2="30" y2="4" stroke=(stroke.colour) stroke-width="2.5" stroke-dasharray=(stroke.dashes) {}
                }
                " " (line.name) "   "
            }
        }
    }
}
