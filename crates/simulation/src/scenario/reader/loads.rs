//! Reads loads with their rates or traces and their arrival processes.

use super::{Bounds, DestinationGroups, ScenarioReader};
use crate::rate_expression::RateExpression;
use crate::scenario::error::ValueError;
use crate::scenario::form::{ArrivalsForm, LoadForm, Rate};
use crate::scenario::model::{Arrivals, Class, Load};
use crate::trace;
use marblefall_scheduler::Time;

/// Maximum number of messages in a run, computed from the maximum rates of the loads.
const MAX_MESSAGES: f64 = 1e9;
/// Bounds of a rate that is given as a number, in messages per second.
const RATE: Bounds = Bounds::new(0.0, 0.0, 1e9);

/// Reads the loads of a scenario.
pub(super) struct LoadReader<'r, 'a> {
    pub(super) reader: &'r mut ScenarioReader<'a>,
    pub(super) groups: &'r DestinationGroups,
    pub(super) classes: &'r [Class],
    /// Duration of the scenario, in s.
    pub(super) seconds: f64,
    /// Factor by which all rates are multiplied.
    pub(super) load_factor: f64,
}

impl LoadReader<'_, '_> {
    pub(super) fn read(mut self, forms: &[LoadForm]) -> Vec<Load> {
        let mut loads = Vec::new();
        for (index, form) in forms.iter().enumerate() {
            let path = format!("load.{index}");
            let group_path = format!("{path}.partner");
            let destinations = self
                .reader
                .group(&group_path, &form.destination, self.groups);
            loads.extend(self.load(&path, form, destinations));
        }
        let messages = loads.iter().map(|load| load.max_rate).sum::<f64>() * self.seconds;
        if messages > MAX_MESSAGES {
            self.reader.report("load", ValueError::TooManyMessages);
        }
        loads
    }

    fn load(&mut self, path: &str, form: &LoadForm, destinations: Vec<usize>) -> Option<Load> {
        let class = self.class(&format!("{path}.class"), &form.class);
        let trace = match (&form.rate, &form.trace) {
            (Some(_), None) => None,
            (None, Some(_)) => Some(self.trace(&format!("{path}.trace"), form)?),
            _ => {
                self.reader.report(path, ValueError::NoRateOrTrace);
                return None;
            }
        };
        let rate = self.rate(&format!("{path}.rate"), form)?;
        let arrivals = self.arrivals(&format!("{path}.clump"), form);
        let retries = Bounds::whole(0, 0, 1000);
        let retries = self
            .reader
            .count(&format!("{path}.retries"), form.retries, retries);
        let load = Load {
            class: class?,
            destinations,
            max_rate: rate.maximum(self.seconds),
            rate,
            arrivals,
            trace,
            retries: retries as u32,
        };
        Some(load).filter(|load| !load.destinations.is_empty())
    }

    fn class(&mut self, path: &str, name: &str) -> Option<usize> {
        let class = self.classes.iter().position(|class| class.name == name);
        if class.is_none() {
            let error = ValueError::UnknownClass(name.to_owned());
            self.reader.report(path, error);
        }
        class
    }

    fn trace(&mut self, path: &str, form: &LoadForm) -> Option<Vec<Time>> {
        match trace::read(form.trace.as_ref()?) {
            Ok(times) => Some(times),
            Err(error) => {
                self.reader.report(path, error.into());
                None
            }
        }
    }

    fn rate(&mut self, path: &str, form: &LoadForm) -> Option<RateExpression> {
        let rate = match &form.rate {
            None => RateExpression::constant(0.0),
            Some(Rate::Number(number)) => {
                RateExpression::constant(self.reader.number(path, Some(*number), RATE))
            }
            Some(Rate::Expression(text)) => match RateExpression::parse(text) {
                Ok(rate) => rate,
                Err(error) => {
                    self.reader.report(path, error.into());
                    return None;
                }
            },
        };
        if self.load_factor == 1.0 {
            return Some(rate);
        }
        Some(rate.scaled(self.load_factor))
    }

    fn arrivals(&mut self, path: &str, form: &LoadForm) -> Arrivals {
        let bounds = Bounds::whole(5, 1, 100_000);
        let burst_size = self.reader.count(path, form.burst_size, bounds);
        match form.arrivals {
            Some(ArrivalsForm::Even) => Arrivals::Even,
            Some(ArrivalsForm::Bursts) => Arrivals::Bursts(burst_size as u32),
            Some(ArrivalsForm::Poisson) | None => Arrivals::Poisson,
        }
    }
}
