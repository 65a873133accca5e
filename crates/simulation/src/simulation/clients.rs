//! Clients: the arrival of their messages, and their choice of an instance for each submission.

use super::event_queue::{SimulationEvent, Submission};
use super::instances::new_message;
use super::{Message, Simulation};
use crate::observation::Observation;
use crate::scenario::Arrivals;
use marblefall_scheduler::{Event, Span, Time};
use rand::Rng;
use rand_distr::Exp1;

/// Delay before a client submits again when no instance was running.
const NO_INSTANCE_RETRY: Span = Span(100_000);
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

impl Simulation<'_> {
    /// Schedules the next arrival of a load, if there is one.
    pub(super) fn schedule_next_arrival(&mut self, load: usize) {
        let next = match &self.scenario.loads[load].trace {
            Some(times) => {
                let next = times.get(self.trace_positions[load]).copied();
                self.trace_positions[load] += 1;
                next.filter(|at| *at < self.scenario.length())
            }
            None => self.draw_next_arrival(load),
        };
        if let Some(at) = next {
            self.queue.push(at, SimulationEvent::LoadArrives(load));
        }
    }

    /// Draws the next arrival of a load by thinning. Candidates are drawn at the load's maximum rate. The probability of
    /// accepting a candidate is the ratio of the rate at that time to the maximum rate.
    fn draw_next_arrival(&mut self, load: usize) -> Option<Time> {
        let load = &self.scenario.loads[load];
        let end = self.scenario.length();
        let mut at = self.now;
        let max_rate = load.max_rate / load.arrivals.burst_size();
        if max_rate <= 0.0 {
            return None;
        }
        loop {
            let gap_s = match load.arrivals {
                Arrivals::Even => 1.0 / max_rate,
                Arrivals::Poisson | Arrivals::Bursts(_) => {
                    self.rng.sample::<f64, _>(Exp1) / max_rate
                }
            };
            at = at + Span(((gap_s * US_PER_S) as i64).max(1));
            if at >= end {
                return None;
            }
            let rate = load.rate.at(at.ms() / 1000.0) / load.arrivals.burst_size();
            if rate >= max_rate || self.rng.random::<f64>() * max_rate < rate {
                return Some(at);
            }
        }
    }

    /// Handles an arrival of a load, which is one message or a burst.
    pub(super) fn load_arrives(&mut self, load: usize) {
        let spec = &self.scenario.loads[load];
        for _ in 0..spec.arrivals.burst_size() as usize {
            let destination = spec.destinations[self.rng.random_range(0..spec.destinations.len())];
            let submission = Submission {
                class: spec.class,
                destination,
                load,
                intended_at: self.now,
                retries_left: spec.retries,
            };
            let delay = self.network_delay();
            let submit = SimulationEvent::ClientSubmits(submission);
            self.queue.push(self.now + delay, submit);
        }
        self.schedule_next_arrival(load);
    }

    /// Submits a message to a random running instance, unless its deadline has passed.
    pub(super) fn submit(&mut self, submission: Submission) {
        let class = &self.scenario.classes[submission.class].class;
        let expires = submission.intended_at + class.deadline;
        if expires <= self.now {
            return;
        }
        let Some(instance) = self.draw_running_instance() else {
            let submit = SimulationEvent::ClientSubmits(submission);
            return self.queue.push(self.now + NO_INSTANCE_RETRY, submit);
        };
        self.last_message += 1;
        let id = self.last_message;
        let message = Message::new(submission, instance, expires);
        let event = Event::Accepted(new_message(id, &message));
        self.messages.insert(id, message);
        self.totals.messages += 1;
        let retries = self.scenario.loads[submission.load].retries;
        self.observe(Observation::Accepted {
            message: id,
            instance,
            class: submission.class,
            destination: submission.destination,
            intended_at: submission.intended_at,
            expires,
            is_first_submission: submission.retries_left == retries,
        });
        self.deliver(instance, &[event]);
    }

    fn draw_running_instance(&mut self) -> Option<usize> {
        let instances = self.instances.iter().enumerate();
        let running: Vec<usize> = instances
            .filter(|(_, slot)| slot.node.is_some())
            .map(|(instance, _)| instance)
            .collect();
        if running.is_empty() {
            return None;
        }
        Some(running[self.rng.random_range(0..running.len())])
    }
}
