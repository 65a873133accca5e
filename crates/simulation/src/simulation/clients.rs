//! Clients: when their messages come, and to which courier they hand them in.

use super::event_queue::{SimulationEvent, Submission};
use super::instances::new_message;
use super::{Message, Simulation};
use crate::observation::Seen;
use crate::scenario::{Arrivals, Load};
use marblefall_scheduler::{Event, Span, Time};
use rand::Rng;
use rand_distr::Exp1;

/// A client that finds no courier running tries again after this.
const NO_COURIER_RETRY: Span = Span(100_000);

impl Simulation<'_> {
    /// Schedules when a load's next message comes, if one does.
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

    /// Draws when a load's next message comes. Thinned: drawn at the highest rate that the load reaches, and kept by the part of
    /// it that the load has then.
    fn draw_next_arrival(&mut self, load: usize) -> Option<Time> {
        let load: &Load = &self.scenario.loads[load];
        let (mut at, end) = (self.now, self.scenario.length());
        let highest_rate = load.most / load.arrivals.clump();
        if highest_rate <= 0.0 {
            return None;
        }
        loop {
            let gap_s = match load.arrivals {
                Arrivals::Even => 1.0 / highest_rate,
                Arrivals::Poisson | Arrivals::Clumps(_) => {
                    self.rng.sample::<f64, _>(Exp1) / highest_rate
                }
            };
            at = at + Span(((gap_s * 1e6) as i64).max(1));
            if at >= end {
                return None;
            }
            let rate = load.rate.at(at.ms() / 1000.0) / load.arrivals.clump();
            if rate >= highest_rate || self.rng.random::<f64>() * highest_rate < rate {
                return Some(at);
            }
        }
    }

    /// Messages of a load come, one or a clump of them.
    pub(super) fn load_arrives(&mut self, load: usize) {
        let spec = &self.scenario.loads[load];
        for _ in 0..spec.arrivals.clump() as usize {
            let partner = spec.partners[self.rng.random_range(0..spec.partners.len())];
            let submission = Submission {
                class: spec.class,
                partner,
                load,
                meant: self.now,
                retries_left: spec.retries,
            };
            let delay = self.network_delay();
            let submits = SimulationEvent::ClientSubmits(submission);
            self.queue.push(self.now + delay, submits);
        }
        self.schedule_next_arrival(load);
    }

    /// A client hands a message in, at any courier that runs.
    pub(super) fn submit(&mut self, submission: Submission) {
        let class = &self.scenario.classes[submission.class].class;
        let expires = submission.meant + class.deadline;
        if expires <= self.now {
            return;
        }
        let Some(courier) = self.draw_running_courier() else {
            let submits = SimulationEvent::ClientSubmits(submission);
            return self.queue.push(self.now + NO_COURIER_RETRY, submits);
        };
        self.last_message += 1;
        let id = self.last_message;
        let message = Message::new(submission, courier, expires);
        let event = Event::Accepted(new_message(id, &message));
        self.messages.insert(id, message);
        self.played.messages += 1;
        let retries = self.scenario.loads[submission.load].retries;
        self.observe(Seen::TakenOn {
            message: id,
            courier,
            class: submission.class,
            partner: submission.partner,
            meant: submission.meant,
            expires,
            first: submission.retries_left == retries,
        });
        self.deliver(courier, &[event]);
    }

    fn draw_running_courier(&mut self) -> Option<usize> {
        let couriers = self.couriers.iter().enumerate();
        let running: Vec<usize> = couriers
            .filter(|(_, slot)| slot.node.is_some())
            .map(|(courier, _)| courier)
            .collect();
        if running.is_empty() {
            return None;
        }
        Some(running[self.rng.random_range(0..running.len())])
    }
}
