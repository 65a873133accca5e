//! Scenarios: what is in the file, what it means, and what is wrong with it, by file and line.
//!
//! A file may `include` others by path; tables are merged, lists of tables grow, and what the including file says of a
//! value goes before. Values given with `--set` go before all. A number may be a range, `{ from = 5, to = 10 }`, from
//! which each seed draws its own.

mod form;
mod reader;
mod source;

pub(crate) use source::line;

use crate::destination::Partner;
use crate::rate_expression::Curve;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};
use source::{read_alone, set_value, Source};
use std::path::Path;
use toml::Table;

/// What is wrong with a scenario: each line says where and what.
#[derive(Debug, thiserror::Error)]
#[error("{}", .0.join("\n"))]
pub struct Unfit(pub Vec<String>);

/// A scenario's length, in s, at most: two days.
pub(crate) const LONGEST_S: f64 = 172_800.0;

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
