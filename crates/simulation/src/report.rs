//! Pages: what a play or an experiment came to, as one file of HTML that needs nothing else.

use crate::compare::{variants, Comparison, Difference};
use crate::destination::{Partner, Trouble};
use crate::experiment::{self, Record};
use crate::invariants::Verdict;
use crate::metrics::Tally;
use crate::metrics::{ClassFigures, Figures};
use crate::plot::{dots, lines, mark, stroke, Dots, Line};
use crate::scenario::Scenario;
use marblefall_scheduler::EndpointStatus;
use maud::{html, Markup, PreEscaped, DOCTYPE};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

/// The file that holds a play for its page.
const RUN: &str = "run.json";
/// Points of a line over time, about.
const POINTS: f64 = 240.0;
/// Of a chart, in pixels.
const WIDTH: u32 = 880;
/// Partners with a chart of their own; those with an outage go first, then the busiest.
const PARTNERS: usize = 12;

/// What came to a partner.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PartnerRun {
    name: String,
    /// Calls a second that it can take when it is warm.
    capacity: f64,
    /// From when until when it was out, in s.
    outages: Vec<(f64, f64, String)>,
    /// After an outage: the part with which it begins, and how long until it has all, in s.
    cold: Option<(f64, f64)>,
    calls: Vec<u32>,
    delivered: Vec<u32>,
}

/// A play, with all that its page shows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    title: String,
    seed: u64,
    seconds: f64,
    bin_s: f64,
    figures: Figures,
    /// For each class quantiles of the times to delivery, in ms.
    times: Vec<(String, Vec<(f64, f64)>)>,
    partners: Vec<PartnerRun>,
    held: Vec<u32>,
    happened: Vec<(f64, String)>,
    breaches: Vec<String>,
}

fn word(trouble: Trouble) -> &'static str {
    match trouble {
        Trouble::Refuse => "refuses connections",
        Trouble::Reset => "breaks connections",
        Trouble::Hang => "hangs",
        Trouble::Fail => "fails",
        Trouble::Shut => "is shut",
    }
}

fn partner_run(like: &Partner, came: &crate::metrics::Came) -> PartnerRun {
    let span = |outage: &crate::destination::Outage| {
        (
            outage.from.ms() / 1000.0,
            outage.until.ms() / 1000.0,
            word(outage.trouble).to_owned(),
        )
    };
    PartnerRun {
        name: like.name.clone(),
        capacity: like.capacity(),
        outages: like
            .outages
            .iter()
            .filter(|outage| outage.part >= 1.0)
            .map(span)
            .collect(),
        cold: like.cold.map(|cold| (cold.from, cold.length.secs())),
        calls: came.calls.clone(),
        delivered: came.delivered.clone(),
    }
}

impl Run {
    /// A play that was counted and judged.
    pub fn of(scenario: &Scenario, seed: u64, tally: &Tally, verdict: &Verdict) -> Run {
        let quantiles = |ends: &crate::metrics::Ends| {
            let steps = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];
            let at = |part: &f64| (*part, ends.took_us.value_at_quantile(*part) as f64 / 1000.0);
            (ends.class.clone(), steps.iter().map(at).collect())
        };
        let secs = |time: marblefall_scheduler::Time| time.ms() / 1000.0;
        let mut happened = Vec::new();
        for partner in &scenario.partners {
            for outage in &partner.outages {
                let part = if outage.part < 1.0 {
                    format!(" for {:.0} % of calls", outage.part * 100.0)
                } else {
                    String::new()
                };
                happened.push((
                    secs(outage.from),
                    format!("{} {}{part}", partner.name, word(outage.trouble)),
                ));
                happened.push((secs(outage.until), format!("{} is back", partner.name)));
            }
        }
        for crash in &scenario.crashes {
            happened.push((secs(crash.at), format!("courier {} dies", crash.courier)));
            happened.push((
                secs(crash.at + crash.back_after),
                format!("courier {} begins again", crash.courier),
            ));
        }
        let places = scenario.places();
        for news in &scenario.news {
            let (partner, place) = places[news.endpoint];
            let state = match news.listing {
                EndpointStatus::Active => "is listed",
                EndpointStatus::Draining => "drains",
                EndpointStatus::Removed => "is gone from the list",
            };
            happened.push((
                secs(news.at),
                format!(
                    "endpoint {place} of {} {state}",
                    scenario.partners[partner].name
                ),
            ));
        }
        for (partner, from, until) in &scenario.network.cut_off {
            let name = &scenario.partners[*partner].name;
            happened.push((secs(*from), format!("{name} is cut off")));
            happened.push((secs(*until), format!("{name} is reached again")));
        }
        happened.sort_by(|a, b| a.0.total_cmp(&b.0));
        Run {
            title: scenario.title.clone(),
            seed,
            seconds: scenario.seconds,
            bin_s: tally.bin_s,
            figures: Figures::of(tally, verdict),
            times: tally
                .classes
                .iter()
                .filter(|ends| ends.delivered > 0)
                .map(quantiles)
                .collect(),
            partners: scenario
                .partners
                .iter()
                .zip(&tally.partners)
                .map(|(like, came)| partner_run(like, came))
                .collect(),
            held: tally.held.clone(),
            happened,
            breaches: verdict.breaches.iter().map(ToString::to_string).collect(),
        }
    }

    /// Writes it into a folder, with its page.
    ///
    /// # Errors
    /// Of the disk or the drawing, in words.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let fault = |error: std::io::Error| format!("{}: {error}", folder.display());
        let text = serde_json::to_string(self).map_err(|error| error.to_string())?;
        fs::write(folder.join(RUN), text + "\n").map_err(fault)?;
        fs::write(folder.join("report.html"), self.page()?).map_err(fault)
    }

    /// Counts by bin as a rate over time.
    fn rate(&self, bins: &[u32]) -> Vec<(f64, f64)> {
        let length = self.held.len().max(bins.len()).max(1) as f64 * self.bin_s;
        let group = ((length / POINTS).max(1.0) / self.bin_s).round().max(1.0) as usize;
        let width = group as f64 * self.bin_s;
        let count = self.held.len().max(bins.len()).div_ceil(group);
        let sum = |at: usize| {
            let all = bins.iter().skip(at * group).take(group);
            f64::from(all.sum::<u32>()) / width
        };
        (0..count)
            .map(|at| ((at as f64 + 0.5) * width, sum(at)))
            .collect()
    }

    /// What a partner could take at a moment.
    fn limit(partner: &PartnerRun, at: f64) -> f64 {
        if partner
            .outages
            .iter()
            .any(|(from, until, _)| *from <= at && at < *until)
        {
            return 0.0;
        }
        let back = partner
            .outages
            .iter()
            .map(|outage| outage.1)
            .filter(|until| *until <= at)
            .fold(f64::NAN, f64::max);
        match partner.cold {
            Some((from, length)) if at - back < length => {
                partner.capacity * (from + (1.0 - from) * (at - back) / length)
            }
            _ => partner.capacity,
        }
    }

    fn partner(&self, partner: &PartnerRun) -> Result<Markup, String> {
        let calls = self.rate(&partner.calls);
        let busiest = calls.iter().map(|point| point.1).fold(0.0, f64::max);
        let limit: Vec<_> = calls
            .iter()
            .map(|(at, _)| (*at, Run::limit(partner, *at)))
            .collect();
        let mut all = vec![
            Line {
                name: "calls that came".to_owned(),
                points: calls,
            },
            Line {
                name: "delivered".to_owned(),
                points: self.rate(&partner.delivered),
            },
        ];
        // A limit far above would press all else to the ground.
        let far = partner.capacity > 4.0 * busiest;
        if !far {
            all.push(Line {
                name: "what it can take".to_owned(),
                points: limit,
            });
        }
        let bands: Vec<_> = partner
            .outages
            .iter()
            .map(|outage| (outage.0, outage.1))
            .collect();
        let svg = chart(("time in s", "a second"), 200, &bands, &all)?;
        Ok(html! {
            figure {
                figcaption { (partner.name) @if far { " (can take " (format!("{:.0}", partner.capacity)) " a second)" } }
                (svg)
            }
        })
    }

    /// The page.
    ///
    /// # Errors
    /// Of the drawing, in words.
    pub fn page(&self) -> Result<String, String> {
        let held = self
            .held
            .iter()
            .enumerate()
            .map(|(bin, held)| (bin as f64 * self.bin_s, f64::from(*held)));
        let step = (self.held.len() as f64 / (4.0 * POINTS)).ceil().max(1.0) as usize;
        let held = Line {
            name: "held".to_owned(),
            points: held.step_by(step).collect(),
        };
        let times: Vec<Line> = self
            .times
            .iter()
            .map(|(class, at)| Line {
                name: class.clone(),
                // Nines are evenly spaced: the tail is what is looked for.
                points: at
                    .iter()
                    .map(|(part, ms)| (-(1.0 - part).log10(), ms / 1000.0))
                    .collect(),
            })
            .collect();
        let mut shown: Vec<&PartnerRun> = self.partners.iter().collect();
        let calls = |partner: &PartnerRun| {
            partner
                .calls
                .iter()
                .map(|count| u64::from(*count))
                .sum::<u64>()
        };
        shown.sort_by_key(|partner| {
            (
                partner.outages.is_empty(),
                std::cmp::Reverse(calls(partner)),
            )
        });
        let left = shown.len().saturating_sub(PARTNERS);
        let partners: Vec<Markup> = shown
            .into_iter()
            .take(PARTNERS)
            .map(|partner| self.partner(partner))
            .collect::<Result<_, _>>()?;
        let held = chart(("time in s", "messages"), 200, &[], &[held])?;
        let nines = chart(
            ("nines: 1 is 90 %, 2 is 99 %, 3 is 99.9 %", "s"),
            240,
            &[],
            &times,
        )?;
        let body = html! {
            p { "Seed " (self.seed) ", " (self.seconds) " s. Worth kept: " strong { (format!("{:.4}", self.figures.kept)) } "." }
            (verdict(self.figures.breaches, &self.breaches))
            h2 { "By class" }
            (class_table(&self.figures.classes))
            h2 { "Time to delivery, from when a client meant to hand it in" }
            (nines)
            h2 { "Messages that couriers held" }
            (held)
            h2 { "Partners" }
            p { "Shaded: out. What one can take rises over its cold time once it is back." }
            @for partner in partners { (partner) }
            @if left > 0 { p { (left) " more partners are in partners.csv." } }
            @if !self.happened.is_empty() {
                h2 { "What happened" }
                table { @for (at, what) in &self.happened { tr { td.n { (format!("{at:.1} s")) } td { (what) } } } }
            }
        };
        Ok(page(&self.title, &body))
    }
}

fn verdict(count: u64, breaches: &[String]) -> Markup {
    html! {
        @if count == 0 { p.good { "✓ All rules kept." } }
        @else {
            p.bad { "✗ " (count) " breaches of rules" @if (breaches.len() as u64) < count { ", the first " (breaches.len()) " are here" } "." }
            @for breach in breaches { pre { (breach) } }
        }
    }
}

fn class_table(classes: &[ClassFigures]) -> Markup {
    let part = |count: u64, of: u64| format!("{:.1} %", 100.0 * count as f64 / of.max(1) as f64);
    html! {
        table {
            tr {
                th { "class" }
                @for head in ["brought", "delivered in time", "late", "not delivered", "p50 ms", "p99 ms", "legs each"] {
                    th.n { (head) }
                }
            }
            @for class in classes {
                tr {
                    td { (class.class) }
                    td.n { (class.offered) }
                    td.n { (part(class.in_time, class.offered)) }
                    td.n { (part(class.delivered - class.in_time, class.offered)) }
                    td.n { (part(class.offered.saturating_sub(class.delivered), class.offered)) }
                    td.n { (format!("{:.1}", class.p50_ms)) }
                    td.n { (format!("{:.1}", class.p99_ms)) }
                    td.n { (format!("{:.2}", class.legs as f64 / class.taken.max(1) as f64)) }
                }
            }
        }
    }
}

/// What each line is, above its chart: inside, it would hide some of them.
fn legend<'n>(names: impl Iterator<Item = &'n str>) -> Markup {
    html! {
        p.legend {
            @for (number, name) in names.enumerate() {
                @let (colour, dashes) = stroke(number);
                svg width="30" height="8" {
                    line x1="0" y1="4" x2="30" y2="4" stroke=(colour) stroke-width="2.5" stroke-dasharray=(dashes) {}
                }
                " " (name) "   "
            }
        }
    }
}

fn chart(
    labels: (&str, &str),
    height: u32,
    bands: &[(f64, f64)],
    all: &[Line],
) -> Result<Markup, String> {
    let svg = draw(lines(labels, (WIDTH, height), bands, all))?;
    Ok(html! {
        @if all.len() > 1 { (legend(all.iter().map(|line| line.name.as_str()))) }
        (svg)
    })
}

fn draw(drawn: Result<String, Box<dyn std::error::Error>>) -> Result<Markup, String> {
    drawn.map(PreEscaped).map_err(|error| error.to_string())
}

fn page(title: &str, body: &Markup) -> String {
    let style = "body{font:16px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#111}\
        table{border-collapse:collapse}th,td{text-align:left;padding:.2em .9em .2em 0;border-bottom:1px solid #ccc}\
        th.n,td.n{text-align:right;font-variant-numeric:tabular-nums}figure{margin:1em 0;break-inside:avoid}\
        figcaption{font-weight:600}svg{max-width:100%;height:auto}.legend{margin:.3em 0;font-size:14px;white-space:pre-wrap}.good{font-weight:600}.bad{font-weight:600}\
        pre{white-space:pre-wrap;background:#f4f4f4;padding:.5em}@media print{body{margin:0;max-width:none}}";
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width";
                title { (title) }
                style { (PreEscaped(style)) }
            }
            body { h1 { (title) } (body) }
        }
    };
    page.into_string() + "\n"
}

/// The page of what a folder holds: a play's, or an experiment's.
///
/// # Errors
/// What is missing or cannot be read, in words.
pub fn of_folder(folder: &Path) -> Result<String, String> {
    let path = folder.join(RUN);
    if path.is_file() {
        let text = fs::read(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        let run: Run = serde_json::from_slice(&text)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        return run.page();
    }
    let records = experiment::read(folder).map_err(|fault| fault.to_string())?;
    if records.is_empty() {
        return Err(format!(
            "{}: holds neither a play nor an experiment",
            folder.display()
        ));
    }
    let manifest = fs::read(folder.join("manifest.json")).ok();
    let manifest: Option<serde_json::Value> =
        manifest.and_then(|text| serde_json::from_slice(&text).ok());
    let title = manifest
        .as_ref()
        .and_then(|told| told["title"].as_str())
        .filter(|title| !title.is_empty());
    experiment_page(title.unwrap_or("Experiment"), &records)
}

/// Of one value at least.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

type ByScenario<'r> = BTreeMap<&'r str, BTreeMap<&'r str, Vec<f64>>>;

fn by_scenario(records: &[Record]) -> ByScenario<'_> {
    let mut all: ByScenario<'_> = BTreeMap::new();
    for record in records {
        let variants = all.entry(&record.scenario).or_default();
        variants
            .entry(&record.variant)
            .or_default()
            .push(record.figures.kept);
    }
    all
}

/// A table of the worth kept by scenario and variant, for a terminal.
pub fn means(records: &[Record]) -> String {
    let named = variants(records);
    let mut text = format!("{:<20}", "worth kept, mean");
    for variant in &named {
        let _ = write!(text, " {variant:>12}");
    }
    text.push('\n');
    for (scenario, found) in by_scenario(records) {
        let _ = write!(text, "{scenario:<20}");
        for variant in &named {
            let cell = found
                .get(variant)
                .map_or("-".to_owned(), |kept| format!("{:.4}", mean(kept)));
            let _ = write!(text, " {cell:>12}");
        }
        text.push('\n');
    }
    text
}

fn experiment_page(title: &str, records: &[Record]) -> Result<String, String> {
    let (found, named) = (by_scenario(records), variants(records));
    let names: Vec<String> = found.keys().map(|name| (*name).to_owned()).collect();
    let all: Vec<Dots> = named
        .iter()
        .map(|variant| {
            let interval = |kept: &Vec<f64>| {
                let one = Difference::of(kept, 1);
                (one.mean, one.low, one.high)
            };
            let rows = found
                .values()
                .map(|variants| variants.get(variant).map(interval))
                .collect();
            Dots {
                variant: (*variant).to_owned(),
                rows,
            }
        })
        .collect();
    let chart = draw(dots(
        "worth kept: mean over the seeds, with its 95 % interval",
        &names,
        &all,
    ))?;
    let of = |variant: &str| -> Vec<Record> {
        records
            .iter()
            .filter(|record| record.variant == variant)
            .cloned()
            .collect()
    };
    let first = named.first().copied().unwrap_or_default();
    let compared: Vec<(&str, Comparison)> = named
        .iter()
        .skip(1)
        .map(|with| (*with, Comparison::of(&of(first), &of(with))))
        .collect();
    let broken: Vec<&Record> = records
        .iter()
        .filter(|record| record.figures.breaches > 0)
        .collect();
    let seeds: BTreeSet<u64> = records.iter().map(|record| record.seed).collect();
    let body = html! {
        p { (records.len()) " runs: " (names.len()) " scenarios, " (seeds.len()) " seeds, " (named.len()) " variants." }
        @if broken.is_empty() { p.good { "✓ No run broke a rule." } }
        @else { p.bad { "✗ " (broken.len()) " runs broke a rule." } }
        p.legend {
            @for (number, variant) in named.iter().enumerate() {
                span style=(format!("color:{}", stroke(number).0)) { (mark(number)) } " " (variant) "   "
            }
        }
        (chart)
        table {
            tr { th { "worth kept" } @for variant in &named { th.n { (variant) } } }
            @for (scenario, variants) in &found {
                tr {
                    td { (scenario) }
                    @for variant in &named {
                        td.n { @if let Some(kept) = variants.get(variant) { (format!("{:.4}", mean(kept))) } }
                    }
                }
            }
        }
        @for (with, comparison) in &compared {
            h2 { (with) " against " (first) ", pair by pair" }
            p { "An interval that leaves 0 out is a difference; intervals are widened for the number of scenarios." }
            pre { (comparison) }
        }
        @if !broken.is_empty() {
            h2 { "Broken rules" }
            table {
                tr { @for head in ["scenario", "variant", "seed", "first breach"] { th { (head) } } }
                @for record in &broken {
                    tr { td { (record.scenario) } td { (record.variant) } td.n { (record.seed) } td { (record.figures.first_breach.as_deref().unwrap_or_default()) } }
                }
            }
        }
    };
    Ok(page(title, &body))
}
