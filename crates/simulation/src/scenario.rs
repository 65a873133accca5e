//! Scenarios: what is in the file, what it means, and what is wrong with it, by file and line.
//!
//! A file may `include` others by path; tables are merged, lists of tables grow, and what the including file says of a
//! value goes before. Values given with `--set` go before all. A number may be a range, `{ from = 5, to = 10 }`, from
//! which each seed draws its own.

use crate::curve::Curve;
use crate::draw::{Service, Shape};
use crate::partner::{Cold, Limit, Outage, Partner, Trouble, Wire};
use crate::trace;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use toml::de::{DeTable, DeValue};
use toml::{Table, Value};

/// What is wrong with a scenario: each line says where and what.
#[derive(Debug, thiserror::Error)]
#[error("{}", .0.join("\n"))]
pub struct Unfit(pub Vec<String>);

/// Includes within includes, at most.
const DEEPEST: usize = 8;
/// A scenario's length, in s, at most: two days.
pub(crate) const LONGEST_S: f64 = 172_800.0;
/// Messages of one run, at most.
const MOST_MESSAGES: f64 = 1e9;

/// A class of message, with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// As couriers are told of it.
    pub class: m::MessageClass,
}

/// How messages of a load follow each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Evenly.
    Even,
    /// Without memory.
    Poisson,
    /// So many at once, the clumps without memory.
    Clumps(u32),
}

impl Arrivals {
    /// Messages that come at once.
    pub fn clump(self) -> f64 {
        match self {
            Arrivals::Clumps(count) => f64::from(count),
            Arrivals::Even | Arrivals::Poisson => 1.0,
        }
    }
}

/// What clients bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Of which class.
    pub class: usize,
    /// For whom; one of them is drawn for each message.
    pub partners: Vec<usize>,
    /// Messages a second, over time.
    pub rate: Curve,
    /// The most that it reaches.
    pub most: f64,
    /// How they follow each other.
    pub arrivals: Arrivals,
    /// When each comes, in order, where they are as they once were; then there is no rate.
    pub trace: Option<Vec<Time>>,
    /// Times that a client hands one in again that was turned away, when it was told to.
    pub retries: u32,
}

/// News of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// When.
    pub at: Time,
    /// Of which endpoint, counted over all partners.
    pub endpoint: usize,
    /// What it says.
    pub listing: EndpointStatus,
}

/// A courier's death.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// Whose.
    pub courier: usize,
    /// When.
    pub at: Time,
    /// How long until it begins again.
    pub back_after: Span,
}

/// The way between couriers, clients and partners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// One way, at least, in ms.
    pub delay_ms: f64,
    /// Added evenly drawn up to this, in ms.
    pub jitter_ms: f64,
    /// Part of the requests and of the answers that is lost.
    pub loss: f64,
    /// Partners that cannot be reached, from when until when.
    pub cut_off: Vec<(usize, Time, Time)>,
}

/// A scenario as one seed has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What it is about.
    pub title: String,
    /// How long clients bring messages, in s.
    pub seconds: f64,
    /// Couriers there are.
    pub couriers: usize,
    /// What each is allowed.
    pub caps: m::Limits,
    /// The rule of fail-back.
    pub rules: m::Rules,
    /// Classes.
    pub classes: Vec<Class>,
    /// Partners.
    pub partners: Vec<Partner>,
    /// What clients bring.
    pub loads: Vec<Load>,
    /// News of the list.
    pub news: Vec<News>,
    /// Deaths of couriers.
    pub crashes: Vec<Crash>,
    /// The network.
    pub network: Network,
}

impl Scenario {
    /// How long clients bring messages.
    pub fn length(&self) -> Time {
        Time::from_ms(self.seconds * 1000.0)
    }

    /// What every courier is told at its start.
    pub fn settings(&self) -> m::Settings {
        m::Settings {
            classes: self
                .classes
                .iter()
                .map(|class| class.class.clone())
                .collect(),
            kinds: vec![m::DestinationKind {
                separate_routes: false,
                max_batch: 1,
            }],
            zone_fees: vec![0.0],
            value_decay: m::ValueDecay::Linear,
            limits: self.caps.clone(),
            rules: self.rules.clone(),
            discovery: m::DiscoveryMode::Push,
            rate_hints: m::RateHints::Approximate,
            instances: self.couriers,
            min_batch_interval: Span::from_ms(1.0),
            ..m::Settings::default()
        }
    }

    /// For each endpoint, counted over all partners, its partner and its place there.
    pub fn places(&self) -> Vec<(usize, usize)> {
        let partners = self.partners.iter().enumerate();
        partners
            .flat_map(|(partner, like)| (0..like.endpoints).map(move |place| (partner, place)))
            .collect()
    }

    /// Whether nothing comes through to or from a partner.
    pub fn cut_off(&self, partner: usize, now: Time) -> bool {
        self.network
            .cut_off
            .iter()
            .any(|(cut, from, until)| *cut == partner && *from <= now && now < *until)
    }

    /// Reads a file and what it includes, with values given as `path.to.value=value`, as a seed has it.
    ///
    /// # Errors
    /// All that is wrong, with file and line.
    pub fn read(path: &Path, sets: &[String], seed: u64) -> Result<Scenario, Unfit> {
        Draft::read(path, sets)?.scenario(seed)
    }

    /// The same from a text that includes nothing.
    ///
    /// # Errors
    /// As of [`Scenario::read`], under the name `scenario`.
    pub fn parse(text: &str, sets: &[String], seed: u64) -> Result<Scenario, Unfit> {
        let (table, lines) = read_alone("scenario", text)?;
        if table.contains_key("include") {
            return Err(Unfit(vec![
                "scenario: what stands in no file includes nothing".to_owned(),
            ]));
        }
        Draft {
            source: Source { lines },
            table,
        }
        .set(sets)?
        .scenario(seed)
    }
}

/// A scenario that is read and merged, before a seed has drawn from its ranges.
#[derive(Clone, Debug)]
pub struct Draft {
    source: Source,
    table: Table,
}

impl Draft {
    /// Reads a file and what it includes, with values given as `path.to.value=value`.
    ///
    /// # Errors
    /// What is wrong in form, with file and line.
    pub fn read(path: &Path, sets: &[String]) -> Result<Draft, Unfit> {
        let mut source = Source::default();
        let mut table = source.load(path, 0)?;
        table.remove("include");
        Draft { source, table }.set(sets)
    }

    /// The same with further values.
    ///
    /// # Errors
    /// Of the values.
    pub fn set(mut self, sets: &[String]) -> Result<Draft, Unfit> {
        for set in sets {
            set_value(&mut self.table, set)
                .map_err(|why| Unfit(vec![format!("--set {set}: {why}")]))?;
        }
        Ok(self)
    }

    /// As a seed has it.
    ///
    /// # Errors
    /// All that is wrong in meaning, with file and line.
    pub fn scenario(&self, seed: u64) -> Result<Scenario, Unfit> {
        self.source.finish(self.table.clone(), seed)
    }

    /// What it says, in one table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The same draft with another table.
    pub fn with(&self, table: Table) -> Draft {
        Draft {
            source: self.source.clone(),
            table,
        }
    }
}

/// A number, or a range from which each seed draws its own.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged, expecting = "a number or { from = LEAST, to = MOST }")]
enum Number {
    Exact(f64),
    Range { from: f64, to: f64 },
}

/// A curve of time, or a number.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "a number, { from, to }, or a curve of t in quotes"
)]
enum Rate {
    Number(Number),
    Curve(String),
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    #[serde(default, rename = "include")]
    _include: Option<Value>,
    title: Option<String>,
    seconds: Option<Number>,
    /// All loads are multiplied by it.
    load_times: Option<Number>,
    #[serde(default)]
    couriers: CouriersForm,
    #[serde(default)]
    rules: RulesForm,
    #[serde(default)]
    network: NetworkForm,
    #[serde(default)]
    class: BTreeMap<String, ClassForm>,
    #[serde(default)]
    partner: BTreeMap<String, PartnerForm>,
    #[serde(default)]
    load: Vec<LoadForm>,
    #[serde(default)]
    news: Vec<NewsForm>,
    #[serde(default)]
    crash: Vec<CrashForm>,
    #[serde(default)]
    partition: Vec<PartitionForm>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct CouriersForm {
    count: Option<Number>,
    slots: Option<Number>,
    max_open: Option<Number>,
    max_attempts: Option<Number>,
    /// How long couriers are told that idle connections last.
    conn_idle_s: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RulesForm {
    cold_from: Option<Number>,
    cold_s: Option<Number>,
    fall_multiple: Option<Number>,
    tip_after_s: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct NetworkForm {
    delay_ms: Option<Number>,
    jitter_ms: Option<Number>,
    loss: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassForm {
    repeats: Option<Repeats>,
    window_s: Option<Number>,
    worth: Option<Number>,
    wanted_s: Option<Number>,
    give_up_s: Option<Number>,
    late_value: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Repeats {
    Free,
    Keyed,
    Never,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartnerForm {
    count: Option<Number>,
    endpoints: Option<Number>,
    service_ms: Option<Number>,
    shape: Option<ShapeForm>,
    /// Standard deviation of the logarithm, or exponent of the power law.
    spread: Option<Number>,
    servers: Option<Number>,
    queue: Option<Number>,
    rate: Option<Number>,
    burst: Option<Number>,
    window_calls: Option<Number>,
    window_s: Option<Number>,
    tells_wait: Option<bool>,
    counts_refused: Option<bool>,
    refuses: Option<Number>,
    listed: Option<Number>,
    topples: Option<bool>,
    stays_down_s: Option<Number>,
    /// Connections that each endpoint holds.
    connections: Option<Number>,
    idle_close_s: Option<Number>,
    connect_ms: Option<Number>,
    #[serde(default)]
    outage: Vec<OutageForm>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ShapeForm {
    Constant,
    Exponential,
    Lognormal,
    Pareto,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OutageForm {
    kind: TroubleForm,
    from_s: Number,
    for_s: Number,
    part: Option<Number>,
    /// Comes again after so many seconds ...
    every_s: Option<Number>,
    /// ... so many times in all.
    times: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum TroubleForm {
    Refuse,
    Reset,
    Hang,
    Fail,
    Shut,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadForm {
    class: String,
    partner: String,
    rate: Option<Rate>,
    /// A CSV file with a head and a time in s first in each line.
    trace: Option<PathBuf>,
    arrivals: Option<ArrivalsForm>,
    clump: Option<Number>,
    retries: Option<Number>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ArrivalsForm {
    Even,
    Poisson,
    Clumps,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NewsForm {
    partner: String,
    endpoint: Option<Number>,
    at_s: Number,
    state: StateForm,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateForm {
    On,
    Draining,
    Gone,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CrashForm {
    courier: Option<Number>,
    at_s: Number,
    back_after_s: Option<Number>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartitionForm {
    partner: String,
    from_s: Number,
    for_s: Number,
}

/// Files as they are read, and where each value stands.
#[derive(Clone, Debug, Default)]
struct Source {
    lines: BTreeMap<String, String>,
}

impl Source {
    fn load(&mut self, path: &Path, depth: usize) -> Result<Table, Unfit> {
        let one = |why: String| Unfit(vec![why]);
        if depth > DEEPEST {
            return Err(one(format!(
                "{}: included {DEEPEST} deep, or by itself",
                path.display()
            )));
        }
        let text = std::fs::read_to_string(path)
            .map_err(|error| one(format!("{}: {error}", path.display())))?;
        let (mut own, places) = read_alone(&path.display().to_string(), &text)?;
        let mut table = Table::new();
        for include in includes(&own).map_err(|why| one(format!("{}: {why}", path.display())))? {
            let beside = path.parent().unwrap_or(Path::new(".")).join(include);
            merge(&mut table, self.load(&beside, depth + 1)?);
        }
        // A trace is beside the file that names it.
        for load in own
            .get_mut("load")
            .and_then(Value::as_array_mut)
            .into_iter()
            .flatten()
        {
            if let Some(Value::String(trace)) = load.get_mut("trace") {
                *trace = path
                    .parent()
                    .unwrap_or(Path::new("."))
                    .join(&*trace)
                    .display()
                    .to_string();
            }
        }
        // After those of what it includes: the last word on a value is where its place is.
        self.lines.extend(places);
        merge(&mut table, own);
        Ok(table)
    }

    fn finish(&self, table: Table, seed: u64) -> Result<Scenario, Unfit> {
        let form: Form = table
            .try_into()
            .map_err(|error: toml::de::Error| Unfit(vec![error.message().to_owned()]))?;
        let mut reader = Reader {
            lines: &self.lines,
            rng: Pcg64::seed_from_u64(seed),
            wrong: Vec::new(),
        };
        let scenario = reader.scenario(form);
        if reader.wrong.is_empty() {
            Ok(scenario)
        } else {
            Err(Unfit(reader.wrong))
        }
    }
}

/// Reads one file by itself, so that its faults of form have their line; with where each of its values stands.
fn read_alone(name: &str, text: &str) -> Result<(Table, BTreeMap<String, String>), Unfit> {
    let at = |span: Option<std::ops::Range<usize>>| match span {
        Some(span) => format!("{name}:{}", line(text, span.start)),
        None => name.to_owned(),
    };
    let fault = |error: toml::de::Error| {
        Unfit(vec![format!(
            "{}: {}",
            at(error.span()),
            error.message().trim()
        )])
    };
    toml::from_str::<Form>(text).map_err(fault)?;
    let places = DeTable::parse(text).map_err(fault)?;
    let mut lines = BTreeMap::new();
    note(places.get_ref(), "", &mut |path, start| {
        lines.insert(path, format!("{name}:{}", line(text, start)));
    });
    Ok((text.parse::<Table>().map_err(fault)?, lines))
}

/// The line, from 1 on, in which a byte of a text stands.
pub(crate) fn line(text: &str, start: usize) -> usize {
    text.as_bytes()[..start.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

fn includes(table: &Table) -> Result<Vec<PathBuf>, String> {
    let path = |value: &Value| {
        value
            .as_str()
            .map(PathBuf::from)
            .ok_or("include is a path or a list of them".to_owned())
    };
    match table.get("include") {
        None => Ok(Vec::new()),
        Some(Value::Array(all)) => all.iter().map(path).collect(),
        Some(one) => Ok(vec![path(one)?]),
    }
}

fn note(table: &DeTable<'_>, prefix: &str, say: &mut dyn FnMut(String, usize)) {
    for (key, value) in table {
        let path = if prefix.is_empty() {
            key.get_ref().to_string()
        } else {
            format!("{prefix}.{}", key.get_ref())
        };
        match value.get_ref() {
            DeValue::Table(inner) => note(inner, &path, say),
            DeValue::Array(all) => {
                for (place, one) in all.iter().enumerate() {
                    say(format!("{path}.{place}"), one.span().start);
                    if let DeValue::Table(inner) = one.get_ref() {
                        note(inner, &format!("{path}.{place}"), say);
                    }
                }
            }
            _ => {}
        }
        say(path, key.span().start);
    }
}

/// Puts one file's table over another's: tables are merged, lists of tables grow, all else is replaced.
fn merge(under: &mut Table, over: Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(Value::Table(under)), Value::Table(over)) => merge(under, over),
            (Some(Value::Array(under)), Value::Array(over)) if over.iter().all(Value::is_table) => {
                under.extend(over)
            }
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

fn set_value(table: &mut Table, set: &str) -> Result<(), String> {
    let (path, value) = set.split_once('=').ok_or("is not NAME=VALUE")?;
    // A word without quotes is a text.
    let value = format!("value = {value}")
        .parse::<Table>()
        .ok()
        .and_then(|mut one| one.remove("value"));
    let value = value.unwrap_or_else(|| Value::String(set[path.len() + 1..].to_owned()));
    let mut keys: Vec<&str> = path.trim().split('.').collect();
    let last = keys
        .pop()
        .filter(|last| !last.is_empty())
        .ok_or("names nothing")?;
    let mut at = table;
    for key in keys {
        let next = at.entry(key).or_insert_with(|| Value::Table(Table::new()));
        at = match next {
            Value::Table(next) => next,
            Value::Array(_) => return Err(format!("{key} is a list: say what is meant in a file")),
            _ => return Err(format!("{key} is a value, and holds nothing")),
        };
    }
    at.insert(last.to_owned(), value);
    Ok(())
}

/// Makes a scenario of a form; notes all that is wrong.
struct Reader<'a> {
    lines: &'a BTreeMap<String, String>,
    rng: Pcg64,
    wrong: Vec<String>,
}

impl Reader<'_> {
    fn say(&mut self, path: &str, why: &str) {
        let mut known = path;
        let at = loop {
            match (self.lines.get(known), known.rsplit_once('.')) {
                (Some(at), _) => break format!("{at}: "),
                (None, Some((above, _))) => known = above,
                (None, None) => break String::new(),
            }
        };
        self.wrong.push(format!("{at}{path}: {why}"));
    }

    /// A number within bounds; the usual one where none is given.
    fn number(
        &mut self,
        path: &str,
        given: Option<Number>,
        usual: f64,
        least: f64,
        most: f64,
    ) -> f64 {
        let value = match given {
            None => return usual,
            Some(Number::Exact(value)) => value,
            Some(Number::Range { from, to })
                if from <= to && from.is_finite() && to.is_finite() =>
            {
                if from >= least && to <= most {
                    // Each range has a draw, whatever the others are.
                    return from + (to - from) * self.rng.random::<f64>();
                }
                f64::NAN
            }
            Some(Number::Range { .. }) => {
                self.say(path, "a range goes from less to more");
                return usual;
            }
        };
        if value >= least && value <= most {
            return value;
        }
        self.say(path, &format!("is within {least} and {most}"));
        usual
    }

    fn count(
        &mut self,
        path: &str,
        given: Option<Number>,
        usual: usize,
        least: usize,
        most: usize,
    ) -> usize {
        self.number(path, given, usual as f64, least as f64, most as f64)
            .round() as usize
    }

    fn span(&mut self, path: &str, given: Option<Number>, usual_s: f64) -> Span {
        Span::from_ms(self.number(path, given, usual_s, 0.0, LONGEST_S) * 1000.0)
    }

    fn time(&mut self, path: &str, given: Number) -> Time {
        Time::from_ms(self.number(path, Some(given), 0.0, 0.0, LONGEST_S) * 1000.0)
    }

    fn scenario(&mut self, form: Form) -> Scenario {
        let seconds = self.number("seconds", form.seconds, 60.0, 0.001, LONGEST_S);
        let couriers = self.count("couriers.count", form.couriers.count, 3, 1, 1000);
        let rules = &form.rules;
        let rules = m::Rules {
            ramp_start: self.number("rules.cold_from", rules.cold_from, 0.27, 0.001, 1.0),
            ramp_duration: self.span("rules.cold_s", rules.cold_s, 10.0),
            overload_factor: self.number(
                "rules.fall_multiple",
                rules.fall_multiple,
                1.5,
                0.1,
                1000.0,
            ),
            overload_window: self.span("rules.tip_after_s", rules.tip_after_s, 2.0),
            ..m::Rules::default()
        };
        let caps = &form.couriers;
        let caps = m::Limits {
            max_in_flight: self.count("couriers.slots", caps.slots, 16, 1, 100_000),
            max_pending: self.count("couriers.max_open", caps.max_open, 1000, 1, 10_000_000),
            max_attempts: self.count("couriers.max_attempts", caps.max_attempts, 8, 1, 1000) as u32,
            streams_per_connection: 1,
            idle_timeout: self.span("couriers.conn_idle_s", caps.conn_idle_s, 15.0),
            max_retry_after: Span::from_ms(3000.0),
            cancellation_allowed: false,
            health_checks_allowed: false,
        };
        if form.class.is_empty() {
            self.say(
                "class",
                "there is none: a [class.NAME] says how messages are dealt with",
            );
        }
        let classes: Vec<Class> = form
            .class
            .iter()
            .map(|(name, class)| self.class(name, class))
            .collect();
        let mut partners = Vec::new();
        let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (name, partner) in &form.partner {
            let count = self.count(
                &format!("partner.{name}.count"),
                partner.count,
                1,
                1,
                1_000_000,
            );
            for number in 0..count {
                let own = if count == 1 {
                    name.clone()
                } else {
                    format!("{name}-{}", number + 1)
                };
                groups.entry(name.clone()).or_default().push(partners.len());
                let one = self.partner(name, own, partner, &rules);
                partners.push(one);
            }
        }
        if partners.is_empty() {
            self.say("partner", "there is none: a [partner.NAME] takes messages");
        }
        let named = |reader: &mut Self, path: &str, name: &str| match groups.get(name) {
            Some(group) => group.clone(),
            None => {
                reader.say(path, &format!("there is no [partner.{name}]"));
                Vec::new()
            }
        };
        let times = self.number("load_times", form.load_times, 1.0, 0.0, 1e6);
        let mut loads = Vec::new();
        for (place, load) in form.load.iter().enumerate() {
            let path = format!("load.{place}");
            let group = named(self, &format!("{path}.partner"), &load.partner);
            loads.extend(self.load(&path, load, group, &classes, (seconds, times)));
        }
        if loads.iter().map(|load| load.most).sum::<f64>() * seconds > MOST_MESSAGES {
            self.say(
                "load",
                "all together would bring more than a thousand million messages",
            );
        }
        let first = |partner: usize| {
            partners[..partner]
                .iter()
                .map(|one: &Partner| one.endpoints)
                .sum::<usize>()
        };
        let mut news = Vec::new();
        for (place, one) in form.news.iter().enumerate() {
            let path = format!("news.{place}");
            let group = named(self, &format!("{path}.partner"), &one.partner);
            let at = self.time(&format!("{path}.at_s"), one.at_s);
            let listing = match one.state {
                StateForm::On => EndpointStatus::Active,
                StateForm::Draining => EndpointStatus::Draining,
                StateForm::Gone => EndpointStatus::Removed,
            };
            for partner in group {
                let most = partners[partner].endpoints.saturating_sub(1);
                let own = self.count(&format!("{path}.endpoint"), one.endpoint, 0, 0, most);
                news.push(News {
                    at,
                    endpoint: first(partner) + own,
                    listing,
                });
            }
        }
        let mut crashes = Vec::new();
        for (place, crash) in form.crash.iter().enumerate() {
            let path = format!("crash.{place}");
            crashes.push(Crash {
                courier: self.count(
                    &format!("{path}.courier"),
                    crash.courier,
                    0,
                    0,
                    couriers - 1,
                ),
                at: self.time(&format!("{path}.at_s"), crash.at_s),
                back_after: self.span(&format!("{path}.back_after_s"), crash.back_after_s, 1.0),
            });
        }
        let mut network = Network {
            delay_ms: self.number(
                "network.delay_ms",
                form.network.delay_ms,
                1.0,
                0.0,
                60_000.0,
            ),
            jitter_ms: self.number(
                "network.jitter_ms",
                form.network.jitter_ms,
                1.0,
                0.0,
                60_000.0,
            ),
            loss: self.number("network.loss", form.network.loss, 0.0, 0.0, 1.0),
            cut_off: Vec::new(),
        };
        for (place, cut) in form.partition.iter().enumerate() {
            let path = format!("partition.{place}");
            let group = named(self, &format!("{path}.partner"), &cut.partner);
            let from = self.time(&format!("{path}.from_s"), cut.from_s);
            let until = from + self.span(&format!("{path}.for_s"), Some(cut.for_s), 0.0);
            network
                .cut_off
                .extend(group.into_iter().map(|partner| (partner, from, until)));
        }
        let title = form.title.unwrap_or_default();
        Scenario {
            title,
            seconds,
            couriers,
            caps,
            rules,
            classes,
            partners,
            loads,
            news,
            crashes,
            network,
        }
    }

    fn class(&mut self, name: &str, form: &ClassForm) -> Class {
        let path = |field: &str| format!("class.{name}.{field}");
        let window = self.span(&path("window_s"), form.window_s, 0.0);
        let effect = match form.repeats {
            Some(Repeats::Never) => m::Idempotency::NonIdempotent,
            Some(Repeats::Keyed) => {
                if form.window_s.is_none() {
                    self.say(
                        &path("repeats"),
                        "keyed needs window_s: how long receivers drop a repeat",
                    );
                }
                m::Idempotency::IdempotencyKey {
                    scope: m::DeduplicationScope::All,
                    window,
                }
            }
            Some(Repeats::Free) | None => m::Idempotency::Idempotent,
        };
        let promise = self.span(&path("wanted_s"), form.wanted_s, 2.0);
        let give_up = self.span(&path("give_up_s"), form.give_up_s, 16.0);
        if give_up < promise {
            self.say(&path("give_up_s"), "is not before wanted_s");
        }
        let worth = self.number(&path("worth"), form.worth, 1.0, 0.0, 1e6);
        let late_value = self.number(&path("late_value"), form.late_value, 0.3, 0.0, 1.0);
        let class = m::MessageClass {
            priority_weight: worth,
            latency_objective: promise,
            deadline: give_up,
            late_value,
            idempotency: effect,
            ordered: false,
        };
        Class {
            name: name.to_owned(),
            class,
        }
    }

    fn partner(
        &mut self,
        group: &str,
        name: String,
        form: &PartnerForm,
        rules: &m::Rules,
    ) -> Partner {
        let path = |field: &str| format!("partner.{group}.{field}");
        let mean_ms = self.number(
            &path("service_ms"),
            form.service_ms,
            50.0,
            0.001,
            3_600_000.0,
        );
        let shape = match form.shape {
            None | Some(ShapeForm::Constant) => Shape::Constant,
            Some(ShapeForm::Exponential) => Shape::Exponential,
            Some(ShapeForm::Lognormal) => {
                Shape::LogNormal(self.number(&path("spread"), form.spread, 0.5, 0.0, 5.0))
            }
            Some(ShapeForm::Pareto) => {
                Shape::Pareto(self.number(&path("spread"), form.spread, 2.5, 1.01, 100.0))
            }
        };
        let window = self.span(&path("window_s"), form.window_s, 1.0);
        let limit = match (form.rate, form.window_calls) {
            (Some(_), Some(_)) => {
                self.say(
                    &path("window_calls"),
                    "a limit is a rate or a window, not both",
                );
                None
            }
            (Some(rate), None) => {
                let rate = self.number(&path("rate"), Some(rate), 1.0, 0.001, 1e6);
                let burst = self.number(&path("burst"), form.burst, rate.max(1.0), 1.0, 1e6);
                Some(Limit::Rate { rate, burst })
            }
            (None, Some(calls)) => {
                let calls = self.count(&path("window_calls"), Some(calls), 1, 1, 1_000_000) as u32;
                Some(Limit::Window {
                    calls,
                    length: window,
                })
            }
            (None, None) => None,
        };
        let topples = form.topples.unwrap_or(true);
        let stays_down = self.span(&path("stays_down_s"), form.stays_down_s, 10.0);
        let cold = Cold {
            from: rules.ramp_start,
            length: rules.ramp_duration,
            multiple: rules.overload_factor,
            over: rules.overload_window,
            stays_down,
        };
        let mut outages = Vec::new();
        for (place, outage) in form.outage.iter().enumerate() {
            let path = format!("partner.{group}.outage.{place}");
            let from = self.time(&format!("{path}.from_s"), outage.from_s);
            let length = self.span(&format!("{path}.for_s"), Some(outage.for_s), 0.0);
            let part = self.number(&format!("{path}.part"), outage.part, 1.0, 0.0, 1.0);
            let every = self.span(&format!("{path}.every_s"), outage.every_s, 0.0);
            let times = self.count(&format!("{path}.times"), outage.times, 1, 1, 10_000);
            if times > 1 && every <= length {
                self.say(
                    &format!("{path}.every_s"),
                    "is longer than for_s, or it would never end",
                );
            }
            let trouble = match outage.kind {
                TroubleForm::Refuse => Trouble::Refuse,
                TroubleForm::Reset => Trouble::Reset,
                TroubleForm::Hang => Trouble::Hang,
                TroubleForm::Fail => Trouble::Fail,
                TroubleForm::Shut => Trouble::Shut,
            };
            for time in 0..times as i64 {
                let from = from + Span(every.0 * time);
                outages.push(Outage {
                    trouble,
                    from,
                    until: from + length,
                    part,
                });
            }
        }
        let wire = match (form.connections, form.idle_close_s, form.connect_ms) {
            (None, None, None) => None,
            (most, closes, connect) => Some(Wire {
                most: most
                    .map(|most| self.count(&path("connections"), Some(most), 1, 1, 1_000_000)),
                idle_close: closes
                    .map(|closes| self.span(&path("idle_close_s"), Some(closes), 0.0)),
                connect: Span::from_ms(self.number(
                    &path("connect_ms"),
                    connect,
                    0.0,
                    0.0,
                    60_000.0,
                )),
            }),
        };
        Partner {
            name,
            wire,
            endpoints: self.count(&path("endpoints"), form.endpoints, 1, 1, 10_000),
            service: Service { mean_ms, shape },
            servers: self.count(&path("servers"), form.servers, 8, 1, 100_000),
            queue: self.count(&path("queue"), form.queue, 1000, 0, 10_000_000),
            limit,
            tells_wait: form.tells_wait.unwrap_or(false),
            counts_refused: form.counts_refused.unwrap_or(false),
            refuses: self.number(&path("refuses"), form.refuses, 0.0, 0.0, 1.0),
            outages,
            cold: topples.then_some(cold),
            listed: form
                .listed
                .map(|listed| self.number(&path("listed"), Some(listed), 1.0, 0.001, 1e9)),
        }
    }

    fn load(
        &mut self,
        path: &str,
        form: &LoadForm,
        partners: Vec<usize>,
        classes: &[Class],
        (seconds, times): (f64, f64),
    ) -> Option<Load> {
        let class = classes.iter().position(|class| class.name == form.class);
        if class.is_none() {
            self.say(
                &format!("{path}.class"),
                &format!("there is no [class.{}]", form.class),
            );
        }
        let rate_path = format!("{path}.rate");
        let trace = match (&form.rate, &form.trace) {
            (Some(_), None) => None,
            (None, Some(file)) => match trace::read(file) {
                Ok(times) => Some(times),
                Err(why) => {
                    self.say(&format!("{path}.trace"), &why);
                    return None;
                }
            },
            _ => {
                self.say(path, "a load has a rate or a trace");
                return None;
            }
        };
        let rate = match &form.rate {
            None => Curve::flat(0.0),
            Some(Rate::Number(number)) => {
                Curve::flat(self.number(&rate_path, Some(*number), 0.0, 0.0, 1e9))
            }
            Some(Rate::Curve(text)) => match Curve::parse(text) {
                Ok(curve) => curve,
                Err(why) => {
                    self.say(&rate_path, &why);
                    return None;
                }
            },
        };
        let rate = if times == 1.0 {
            rate
        } else {
            rate.times(times)
        };
        let clump = self.count(&format!("{path}.clump"), form.clump, 5, 1, 100_000);
        let arrivals = match form.arrivals {
            Some(ArrivalsForm::Even) => Arrivals::Even,
            Some(ArrivalsForm::Clumps) => Arrivals::Clumps(clump as u32),
            Some(ArrivalsForm::Poisson) | None => Arrivals::Poisson,
        };
        let retries = self.count(&format!("{path}.retries"), form.retries, 0, 0, 1000) as u32;
        let most = rate.most(seconds);
        Some(Load {
            class: class?,
            partners,
            rate,
            most,
            arrivals,
            trace,
            retries,
        })
        .filter(|load| !load.partners.is_empty())
    }
}
