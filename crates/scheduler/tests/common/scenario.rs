//! A scenario: some instances, some destinations and a stream of messages, run in steps of 10 ms.

use super::*;
use std::collections::BTreeMap;

const STEP_MS: f64 = 10.0;
/// Seed of the first instance. Those of the others follow in sequence.
const FIRST_SEED: u64 = 31;

/// Parameters of the instances, of the destinations with one endpoint each, and of the stream of messages.
pub struct Scenario {
    pub settings: Settings,
    pub destinations: u64,
    pub advertised_rate: f64,
    pub duration_s: f64,
    /// Messages per second for each destination, from all clients together.
    pub offered_rate: f64,
    /// End of the submissions, in seconds.
    pub offered_until_s: f64,
}

/// The response of a destination to one call.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    pub outcome: Outcome,
    pub latency_ms: f64,
}

/// A call that was sent.
pub struct SentCall {
    pub sent_at_s: f64,
    pub destination: u64,
    pub outcome: Outcome,
}

/// A message that was delivered.
pub struct Delivery {
    pub delivered_at_s: f64,
    pub destination: u64,
}

/// Observations of a scenario run.
#[derive(Default)]
pub struct Observations {
    pub calls: Vec<SentCall>,
    pub deliveries: Vec<Delivery>,
    /// Number of messages given up.
    pub given_up: usize,
}

/// Calls per second in a window that ends with a call.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub end_s: f64,
    pub calls_per_s: f64,
}

impl Observations {
    /// Returns the load in the window of this length that ends with each call.
    pub fn loads(&self, window_s: f64) -> impl Iterator<Item = Load> + '_ {
        let load = move |end_s: f64| {
            let in_window =
                |call: &&SentCall| call.sent_at_s > end_s - window_s && call.sent_at_s <= end_s;
            self.calls.iter().filter(in_window).count() as f64 / window_s
        };
        self.calls.iter().map(move |call| Load {
            end_s: call.sent_at_s,
            calls_per_s: load(call.sent_at_s),
        })
    }
}

/// An attempt in flight.
struct InFlight {
    instance: usize,
    message: MessageId,
    attempt: u32,
    outcome: Outcome,
}

/// State of a scenario run.
struct ScenarioRun<'a> {
    scenario: &'a Scenario,
    instances: Vec<Scheduler>,
    observations: Observations,
    attempts: BTreeMap<MessageId, u32>,
    destinations: BTreeMap<MessageId, u64>,
    /// Attempts in flight, by the time of the response and then by the order of the calls.
    in_flight: BTreeMap<(i64, u64), InFlight>,
    /// Number of messages due for submission, including a fraction.
    due: f64,
    last_message: u64,
    call_count: u64,
}

impl Scenario {
    /// Runs the scenario. `respond` returns the response to a call. Its arguments are the send time in seconds and the
    /// destination.
    pub fn run(&self, mut respond: impl FnMut(f64, u64) -> Response) -> Observations {
        let mut run = ScenarioRun::new(self);
        for step in 0..(self.duration_s * 1000.0 / STEP_MS) as u64 {
            let now = Time::from_ms(step as f64 * STEP_MS);
            let mut events: Vec<Vec<Event>> = vec![vec![]; run.instances.len()];
            run.receive_responses(now, &mut events);
            run.submit_messages(now, &mut events);
            run.handle(now, &events, &mut respond);
        }
        run.observations
    }
}

impl ScenarioRun<'_> {
    fn new(scenario: &Scenario) -> ScenarioRun<'_> {
        let endpoints: Vec<EndpointUpdate> = (0..scenario.destinations)
            .map(|n| EndpointUpdate {
                advertised_rate: scenario.advertised_rate,
                ..listed_endpoint(n as u32, n, 0, 0)
            })
            .collect();
        let mut instances: Vec<Scheduler> = (0..scenario.settings.instances)
            .map(|n| Scheduler::new(scenario.settings.clone(), FIRST_SEED + n as u64))
            .collect();
        for instance in &mut instances {
            let list = Event::EndpointsReplaced(endpoints.clone());
            instance.handle(Time(0), &[list], &mut Vec::new());
        }
        ScenarioRun {
            scenario,
            instances,
            observations: Observations::default(),
            attempts: BTreeMap::new(),
            destinations: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            due: 0.0,
            last_message: 0,
            call_count: 0,
        }
    }

    fn receive_responses(&mut self, now: Time, events: &mut [Vec<Event>]) {
        while let Some(first) = self
            .in_flight
            .first_entry()
            .filter(|first| first.key().0 <= now.0)
        {
            let call = first.remove();
            if call.outcome == Outcome::Delivered {
                self.observations.deliveries.push(Delivery {
                    delivered_at_s: now.ms() / 1000.0,
                    destination: self.destinations[&call.message],
                });
            }
            events[call.instance].push(attempt_finished(call.message, call.attempt, call.outcome));
        }
    }

    fn submit_messages(&mut self, now: Time, events: &mut [Vec<Event>]) {
        let scenario = self.scenario;
        if now.ms() / 1000.0 < scenario.offered_until_s {
            self.due += scenario.offered_rate * scenario.destinations as f64 * STEP_MS / 1000.0;
        }
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.last_message += 1;
            let message = MessageId(self.last_message);
            let destination = self.last_message % scenario.destinations;
            self.destinations.insert(message, destination);
            let new_message = NewMessage {
                message,
                class: ClassId(0),
                tenant: None,
                ordering_key: None,
                deadline: now + Span::from_ms(DEADLINE_MS),
                destination: DestinationId(destination),
            };
            // Consecutive messages go to the same instance in runs, so that the assignment of instances is not aligned with
            // that of destinations.
            let instance = (self.last_message * 7 / 3) as usize % events.len();
            events[instance].push(Event::Accepted(new_message));
        }
    }

    fn handle(
        &mut self,
        now: Time,
        events: &[Vec<Event>],
        respond: &mut impl FnMut(f64, u64) -> Response,
    ) {
        let now_s = now.ms() / 1000.0;
        for (instance, scheduler) in self.instances.iter_mut().enumerate() {
            let mut actions = Vec::new();
            scheduler.handle(now, &events[instance], &mut actions);
            self.observations.given_up += given_up(&actions).len();
            for (message, endpoint) in sends(&actions) {
                let destination = u64::from(endpoint.0);
                let Response {
                    outcome,
                    latency_ms,
                } = respond(now_s, destination);
                self.observations.calls.push(SentCall {
                    sent_at_s: now_s,
                    destination,
                    outcome,
                });
                self.call_count += 1;
                let response_at = now + Span::from_ms(latency_ms);
                let attempt = self.attempts.entry(message).or_default();
                let call = InFlight {
                    instance,
                    message,
                    attempt: *attempt,
                    outcome,
                };
                self.in_flight
                    .insert((response_at.0, self.call_count), call);
                *attempt += 1;
            }
        }
    }
}

pub fn delivered_after(latency_ms: f64) -> Response {
    Response {
        outcome: Outcome::Delivered,
        latency_ms,
    }
}

pub fn failed_after(latency_ms: f64, outcome: Outcome) -> Response {
    Response {
        outcome,
        latency_ms,
    }
}

/// Returns the settings of a small deployment with a slow ramp.
pub fn three_instances() -> Settings {
    let mut settings = settings();
    (settings.instances, settings.rate_hints) = (3, RateHints::Approximate);
    (
        settings.limits.max_in_flight,
        settings.limits.max_open_messages,
    ) = (16, 1000);
    let rules = &mut settings.rules;
    (rules.ramp_start, rules.ramp_duration) = (0.27, Span::from_ms(10_000.0));
    (rules.overload_factor, rules.overload_window) = (1.5, Span::from_ms(2000.0));
    settings
}

/// Returns the capacity of a recovering destination under [`three_instances`], as a fraction of its full rate.
pub fn ramp_capacity(recovering_for_s: f64) -> f64 {
    0.27 + 0.73 * (recovering_for_s / 10.0).clamp(0.0, 1.0)
}
