//! Makes a scenario of a form: bounds, usual values, draws from ranges, and all that is wrong in meaning.

use super::form::{
    ArrivalsForm, ClassForm, CouriersForm, CrashForm, Form, LoadForm, NetworkForm, NewsForm,
    Number, OutageForm, PartitionForm, PartnerForm, Rate, Repeats, RulesForm, ShapeForm, StateForm,
    TroubleForm,
};
use super::{Arrivals, Class, Crash, Load, Network, News, Scenario, Unfit, LONGEST_S};
use crate::destination::{Cold, Limit, Outage, Partner, Trouble, Wire};
use crate::distribution::{Service, Shape};
use crate::rate_expression::Curve;
use crate::trace;
use marblefall_scheduler as m;
use marblefall_scheduler::{EndpointStatus, Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Messages of one run, at most.
const MOST_MESSAGES: f64 = 1e9;

/// The partners, by number, that each table of the file stands for.
type Groups = BTreeMap<String, Vec<usize>>;

/// Makes a scenario of a form; notes all that is wrong.
pub(super) struct Reader<'a> {
    lines: &'a BTreeMap<String, String>,
    rng: Pcg64,
    wrong: Vec<String>,
}

impl<'a> Reader<'a> {
    /// A reader that knows where each value stands, and draws from a seed.
    pub(super) fn new(lines: &'a BTreeMap<String, String>, seed: u64) -> Reader<'a> {
        Reader {
            lines,
            rng: Pcg64::seed_from_u64(seed),
            wrong: Vec::new(),
        }
    }

    /// Makes a scenario of a form.
    ///
    /// # Errors
    /// All that is wrong in meaning.
    pub(super) fn read(mut self, form: Form) -> Result<Scenario, Unfit> {
        let scenario = self.scenario(form);
        if self.wrong.is_empty() {
            Ok(scenario)
        } else {
            Err(Unfit(self.wrong))
        }
    }

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

    /// Makes the scenario. Each range has its draw in this order.
    fn scenario(&mut self, form: Form) -> Scenario {
        let seconds = self.number("seconds", form.seconds, 60.0, 0.001, LONGEST_S);
        let couriers = self.count("couriers.count", form.couriers.count, 3, 1, 1000);
        let rules = self.rules(&form.rules);
        let caps = self.limits(&form.couriers);
        let classes = self.classes(&form.class);
        let (partners, groups) = self.partners(&form.partner, &rules);
        let times = self.number("load_times", form.load_times, 1.0, 0.0, 1e6);
        let loads = self.loads(&form.load, &groups, &classes, (seconds, times));
        let news = self.news(&form.news, &groups, &partners);
        let crashes = self.crashes(&form.crash, couriers);
        let network = self.network(&form.network, &form.partition, &groups);
        Scenario {
            title: form.title.unwrap_or_default(),
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

    fn rules(&mut self, form: &RulesForm) -> m::Rules {
        m::Rules {
            ramp_start: self.number("rules.cold_from", form.cold_from, 0.27, 0.001, 1.0),
            ramp_duration: self.span("rules.cold_s", form.cold_s, 10.0),
            overload_factor: self.number(
                "rules.fall_multiple",
                form.fall_multiple,
                1.5,
                0.1,
                1000.0,
            ),
            overload_window: self.span("rules.tip_after_s", form.tip_after_s, 2.0),
            ..m::Rules::default()
        }
    }

    fn limits(&mut self, form: &CouriersForm) -> m::Limits {
        m::Limits {
            max_in_flight: self.count("couriers.slots", form.slots, 16, 1, 100_000),
            max_open_messages: self.count("couriers.max_open", form.max_open, 1000, 1, 10_000_000),
            max_attempts: self.count("couriers.max_attempts", form.max_attempts, 8, 1, 1000) as u32,
            streams_per_connection: 1,
            idle_timeout: self.span("couriers.conn_idle_s", form.conn_idle_s, 15.0),
            max_retry_after: Span::from_ms(3000.0),
            cancellation_allowed: false,
            health_checks_allowed: false,
        }
    }

    fn classes(&mut self, forms: &BTreeMap<String, ClassForm>) -> Vec<Class> {
        if forms.is_empty() {
            self.say(
                "class",
                "there is none: a [class.NAME] says how messages are dealt with",
            );
        }
        forms
            .iter()
            .map(|(name, class)| self.class(name, class))
            .collect()
    }

    /// All partners, and which of them each table stands for.
    fn partners(
        &mut self,
        forms: &BTreeMap<String, PartnerForm>,
        rules: &m::Rules,
    ) -> (Vec<Partner>, Groups) {
        let mut partners = Vec::new();
        let mut groups = Groups::new();
        for (name, form) in forms {
            let path = format!("partner.{name}.count");
            let count = self.count(&path, form.count, 1, 1, 1_000_000);
            for number in 0..count {
                let own = if count == 1 {
                    name.clone()
                } else {
                    format!("{name}-{}", number + 1)
                };
                groups.entry(name.clone()).or_default().push(partners.len());
                let one = self.partner(name, own, form, rules);
                partners.push(one);
            }
        }
        if partners.is_empty() {
            self.say("partner", "there is none: a [partner.NAME] takes messages");
        }
        (partners, groups)
    }

    /// The partners that a name stands for.
    fn named(&mut self, path: &str, name: &str, groups: &Groups) -> Vec<usize> {
        match groups.get(name) {
            Some(group) => group.clone(),
            None => {
                self.say(path, &format!("there is no [partner.{name}]"));
                Vec::new()
            }
        }
    }

    fn loads(
        &mut self,
        forms: &[LoadForm],
        groups: &Groups,
        classes: &[Class],
        (seconds, times): (f64, f64),
    ) -> Vec<Load> {
        let mut loads = Vec::new();
        for (place, form) in forms.iter().enumerate() {
            let path = format!("load.{place}");
            let group = self.named(&format!("{path}.partner"), &form.partner, groups);
            loads.extend(self.load(&path, form, group, classes, (seconds, times)));
        }
        if loads.iter().map(|load| load.most).sum::<f64>() * seconds > MOST_MESSAGES {
            self.say(
                "load",
                "all together would bring more than a thousand million messages",
            );
        }
        loads
    }

    fn news(&mut self, forms: &[NewsForm], groups: &Groups, partners: &[Partner]) -> Vec<News> {
        let first = |partner: usize| {
            partners[..partner]
                .iter()
                .map(|one: &Partner| one.endpoints)
                .sum::<usize>()
        };
        let mut news = Vec::new();
        for (place, form) in forms.iter().enumerate() {
            let path = format!("news.{place}");
            let group = self.named(&format!("{path}.partner"), &form.partner, groups);
            let at = self.time(&format!("{path}.at_s"), form.at_s);
            let listing = match form.state {
                StateForm::On => EndpointStatus::Active,
                StateForm::Draining => EndpointStatus::Draining,
                StateForm::Gone => EndpointStatus::Removed,
            };
            for partner in group {
                let most = partners[partner].endpoints.saturating_sub(1);
                let own = self.count(&format!("{path}.endpoint"), form.endpoint, 0, 0, most);
                news.push(News {
                    at,
                    endpoint: first(partner) + own,
                    listing,
                });
            }
        }
        news
    }

    fn crashes(&mut self, forms: &[CrashForm], couriers: usize) -> Vec<Crash> {
        let mut crashes = Vec::new();
        for (place, form) in forms.iter().enumerate() {
            let path = format!("crash.{place}");
            let last = couriers - 1;
            crashes.push(Crash {
                courier: self.count(&format!("{path}.courier"), form.courier, 0, 0, last),
                at: self.time(&format!("{path}.at_s"), form.at_s),
                back_after: self.span(&format!("{path}.back_after_s"), form.back_after_s, 1.0),
            });
        }
        crashes
    }

    fn network(
        &mut self,
        form: &NetworkForm,
        partitions: &[PartitionForm],
        groups: &Groups,
    ) -> Network {
        let (usual_ms, most_ms) = (1.0, 60_000.0);
        let mut network = Network {
            delay_ms: self.number("network.delay_ms", form.delay_ms, usual_ms, 0.0, most_ms),
            jitter_ms: self.number("network.jitter_ms", form.jitter_ms, usual_ms, 0.0, most_ms),
            loss: self.number("network.loss", form.loss, 0.0, 0.0, 1.0),
            cut_off: Vec::new(),
        };
        for (place, cut) in partitions.iter().enumerate() {
            let path = format!("partition.{place}");
            let group = self.named(&format!("{path}.partner"), &cut.partner, groups);
            let from = self.time(&format!("{path}.from_s"), cut.from_s);
            let until = from + self.span(&format!("{path}.for_s"), Some(cut.for_s), 0.0);
            network
                .cut_off
                .extend(group.into_iter().map(|partner| (partner, from, until)));
        }
        network
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
        let service = self.service(&path, form);
        let limit = self.limit(&path, form);
        let topples = form.topples.unwrap_or(true);
        let cold = Cold {
            from: rules.ramp_start,
            length: rules.ramp_duration,
            multiple: rules.overload_factor,
            over: rules.overload_window,
            stays_down: self.span(&path("stays_down_s"), form.stays_down_s, 10.0),
        };
        let mut outages = Vec::new();
        for (place, outage) in form.outage.iter().enumerate() {
            outages.extend(self.outages(&path(&format!("outage.{place}")), outage));
        }
        Partner {
            name,
            wire: self.connections(&path, form),
            endpoints: self.count(&path("endpoints"), form.endpoints, 1, 1, 10_000),
            service,
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

    /// How long a partner's servers take for a call.
    fn service(&mut self, path: &dyn Fn(&str) -> String, form: &PartnerForm) -> Service {
        let (usual_ms, most_ms) = (50.0, 3_600_000.0);
        let mean_ms = self.number(
            &path("service_ms"),
            form.service_ms,
            usual_ms,
            0.001,
            most_ms,
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
        Service { mean_ms, shape }
    }

    /// How many calls a partner takes.
    fn limit(&mut self, path: &dyn Fn(&str) -> String, form: &PartnerForm) -> Option<Limit> {
        let length = self.span(&path("window_s"), form.window_s, 1.0);
        match (form.rate, form.window_calls) {
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
                Some(Limit::Window { calls, length })
            }
            (None, None) => None,
        }
    }

    /// An outage as often as it comes.
    fn outages(&mut self, path: &str, form: &OutageForm) -> Vec<Outage> {
        let first = self.time(&format!("{path}.from_s"), form.from_s);
        let length = self.span(&format!("{path}.for_s"), Some(form.for_s), 0.0);
        let part = self.number(&format!("{path}.part"), form.part, 1.0, 0.0, 1.0);
        let every = self.span(&format!("{path}.every_s"), form.every_s, 0.0);
        let times = self.count(&format!("{path}.times"), form.times, 1, 1, 10_000);
        if times > 1 && every <= length {
            self.say(
                &format!("{path}.every_s"),
                "is longer than for_s, or it would never end",
            );
        }
        let trouble = match form.kind {
            TroubleForm::Refuse => Trouble::Refuse,
            TroubleForm::Reset => Trouble::Reset,
            TroubleForm::Hang => Trouble::Hang,
            TroubleForm::Fail => Trouble::Fail,
            TroubleForm::Shut => Trouble::Shut,
        };
        let occurrences = (0..times as i64).map(|time| {
            let from = first + Span(every.0 * time);
            Outage {
                trouble,
                from,
                until: from + length,
                part,
            }
        });
        occurrences.collect()
    }

    /// How a partner keeps connections, where the scenario says anything of that.
    fn connections(&mut self, path: &dyn Fn(&str) -> String, form: &PartnerForm) -> Option<Wire> {
        let (most, closes, connect) = match (form.connections, form.idle_close_s, form.connect_ms) {
            (None, None, None) => return None,
            given => given,
        };
        let most = most.map(|most| self.count(&path("connections"), Some(most), 1, 1, 1_000_000));
        let idle_close = closes.map(|closes| self.span(&path("idle_close_s"), Some(closes), 0.0));
        let connect_ms = self.number(&path("connect_ms"), connect, 0.0, 0.0, 60_000.0);
        Some(Wire {
            most,
            idle_close,
            connect: Span::from_ms(connect_ms),
        })
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
