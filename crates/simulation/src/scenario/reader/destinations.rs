//! Reads destinations with their service times, rate limits, outages and connection policies.

use super::{share, Bounds, DestinationGroups, ScenarioReader};
use crate::destination::{ConnectionPolicy, Destination, Outage, OutageKind, RateLimit, WarmUp};
use crate::distribution::{ServiceTime, Shape};
use crate::scenario::error::ValueError;
use crate::scenario::form::{DestinationForm, OutageForm, OutageKindForm, ShapeForm};
use marblefall_scheduler as m;
use marblefall_scheduler::Span;
use std::collections::BTreeMap;

const MIN_RATE: f64 = 0.001;
const MAX_RATE: f64 = 1e6;
const MAX_ADVERTISED_RATE: f64 = 1e9;
/// Bounds of service times, in ms.
const SERVICE_TIME_MS: Bounds = Bounds::new(50.0, 0.001, 3_600_000.0);
/// Bounds of the standard deviation of the logarithm of a log-normal service time.
const LOG_NORMAL_SIGMA: Bounds = Bounds::new(0.5, 0.0, 5.0);
/// Bounds of the exponent of a Pareto service time.
const PARETO_EXPONENT: Bounds = Bounds::new(2.5, 1.01, 100.0);
/// Bounds of the time to establish a connection, in ms.
const CONNECT_MS: Bounds = Bounds::new(0.0, 0.0, 60_000.0);

/// Returns the path of a field in the current table.
type FieldPath<'p> = &'p dyn Fn(&str) -> String;

impl ScenarioReader<'_> {
    /// Reads all destinations, and returns them with the indices that each table defines.
    pub(super) fn destinations(
        &mut self,
        forms: &BTreeMap<String, DestinationForm>,
        rules: &m::Rules,
    ) -> (Vec<Destination>, DestinationGroups) {
        let mut destinations = Vec::new();
        let mut groups = DestinationGroups::new();
        for (group, form) in forms {
            let path = format!("partner.{group}.count");
            let count = self.count(&path, form.count, Bounds::whole(1, 1, 1_000_000));
            for number in 1..=count {
                let name = if count == 1 {
                    group.clone()
                } else {
                    format!("{group}-{number}")
                };
                let members = groups.entry(group.clone()).or_default();
                members.push(destinations.len());
                destinations.push(self.destination(group, name, form, rules));
            }
        }
        if destinations.is_empty() {
            self.report("partner", ValueError::NoDestination);
        }
        (destinations, groups)
    }

    /// Reads a destination. The order of the steps determines the order of the draws.
    fn destination(
        &mut self,
        group: &str,
        name: String,
        form: &DestinationForm,
        rules: &m::Rules,
    ) -> Destination {
        let path = |field: &str| format!("partner.{group}.{field}");
        let service_time = self.service_time(&path, form);
        let limit = self.rate_limit(&path, form);
        let warm_up = WarmUp {
            initial_capacity: rules.ramp_start,
            duration: rules.ramp_duration,
            overload_factor: rules.overload_factor,
            overload_window: rules.overload_window,
            overload_downtime: self.span(&path("stays_down_s"), form.overload_downtime_s, 10.0),
        };
        let mut outages = Vec::new();
        for (index, outage) in form.outages.iter().enumerate() {
            outages.extend(self.outages(&path(&format!("outage.{index}")), outage));
        }
        let connection_policy = self.connection_policy(&path, form);
        let endpoints = Bounds::whole(1, 1, 10_000);
        let servers = Bounds::whole(8, 1, 100_000);
        let queue = Bounds::whole(1000, 0, 10_000_000);
        Destination {
            name,
            connection_policy,
            endpoints: self.count(&path("endpoints"), form.endpoints, endpoints),
            service_time,
            servers: self.count(&path("servers"), form.servers, servers),
            queue: self.count(&path("queue"), form.queue, queue),
            limit,
            sends_retry_after: form.sends_retry_after.unwrap_or(false),
            counts_rejected: form.counts_rejected.unwrap_or(false),
            rejection_rate: self.number(&path("refuses"), form.rejection_rate, share(0.0)),
            outages,
            warm_up: form
                .overloads_on_recovery
                .unwrap_or(true)
                .then_some(warm_up),
            advertised_rate: form.advertised_rate.map(|rate| {
                let bounds = Bounds::new(1.0, MIN_RATE, MAX_ADVERTISED_RATE);
                self.number(&path("listed"), Some(rate), bounds)
            }),
        }
    }

    fn service_time(&mut self, path: FieldPath<'_>, form: &DestinationForm) -> ServiceTime {
        let mean_ms = self.number(&path("service_ms"), form.service_time_ms, SERVICE_TIME_MS);
        let mut spread = |bounds| self.number(&path("spread"), form.spread, bounds);
        let shape = match form.shape {
            None | Some(ShapeForm::Constant) => Shape::Constant,
            Some(ShapeForm::Exponential) => Shape::Exponential,
            Some(ShapeForm::Lognormal) => Shape::LogNormal(spread(LOG_NORMAL_SIGMA)),
            Some(ShapeForm::Pareto) => Shape::Pareto(spread(PARETO_EXPONENT)),
        };
        ServiceTime { mean_ms, shape }
    }

    fn rate_limit(&mut self, path: FieldPath<'_>, form: &DestinationForm) -> Option<RateLimit> {
        let length = self.span(&path("window_s"), form.window_s, 1.0);
        match (form.rate, form.window_calls) {
            (Some(_), Some(_)) => {
                self.report(&path("window_calls"), ValueError::AmbiguousRateLimit);
                None
            }
            (Some(rate), None) => {
                let bounds = Bounds::new(1.0, MIN_RATE, MAX_RATE);
                let rate = self.number(&path("rate"), Some(rate), bounds);
                let bounds = Bounds::new(rate.max(1.0), 1.0, MAX_RATE);
                let burst = self.number(&path("burst"), form.burst, bounds);
                Some(RateLimit::TokenBucket { rate, burst })
            }
            (None, Some(calls)) => {
                let bounds = Bounds::whole(1, 1, 1_000_000);
                let calls = self.count(&path("window_calls"), Some(calls), bounds) as u32;
                Some(RateLimit::FixedWindow { calls, length })
            }
            (None, None) => None,
        }
    }

    /// Returns one outage for each occurrence.
    fn outages(&mut self, path: &str, form: &OutageForm) -> Vec<Outage> {
        let field = |name: &str| format!("{path}.{name}");
        let first = self.time(&field("from_s"), form.from_s);
        let length = self.span(&field("for_s"), Some(form.for_s), 0.0);
        let share = self.number(&field("part"), form.share, share(1.0));
        let period = self.span(&field("every_s"), form.every_s, 0.0);
        let bounds = Bounds::whole(1, 1, 10_000);
        let occurrences = self.count(&field("times"), form.occurrences, bounds);
        if occurrences > 1 && period <= length {
            self.report(&field("every_s"), ValueError::EndlessOutage);
        }
        let kind = match form.kind {
            OutageKindForm::RefuseConnections => OutageKind::RefuseConnections,
            OutageKindForm::ResetConnections => OutageKind::ResetConnections,
            OutageKindForm::Blackhole => OutageKind::Blackhole,
            OutageKindForm::ReturnErrors => OutageKind::ReturnErrors,
            OutageKindForm::RejectAll => OutageKind::RejectAll,
        };
        let outages = (0..occurrences as i64).map(|occurrence| {
            let from = first + Span(period.0 * occurrence);
            Outage {
                kind,
                from,
                until: from + length,
                share,
            }
        });
        outages.collect()
    }

    /// Reads the connection policy; `None` if the table has none of its keys.
    fn connection_policy(
        &mut self,
        path: FieldPath<'_>,
        form: &DestinationForm,
    ) -> Option<ConnectionPolicy> {
        let (max_open, idle_close, connect) = (
            form.max_open_connections,
            form.idle_close_s,
            form.connect_ms,
        );
        if max_open.is_none() && idle_close.is_none() && connect.is_none() {
            return None;
        }
        let bounds = Bounds::whole(1, 1, 1_000_000);
        let max_open = max_open.map(|max| self.count(&path("connections"), Some(max), bounds));
        let idle_close = idle_close.map(|after| self.span(&path("idle_close_s"), Some(after), 0.0));
        let connect_ms = self.number(&path("connect_ms"), connect, CONNECT_MS);
        Some(ConnectionPolicy {
            max_open,
            idle_close,
            connect: Span::from_ms(connect_ms),
        })
    }
}
