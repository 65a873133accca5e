//! Instances: their starts and crashes, the delivery of events to them, and the execution of their actions.

use super::event_queue::SimulationEvent;
use super::{Incarnation, Message, Simulation};
use crate::connections::Release;
use crate::observation::{FinalOutcome, Observation};
use marblefall_scheduler::{
    Action, ClassId, DestinationId, EndpointId, EndpointUpdate, Event, KindId, MessageId,
    NewMessage, PriorAttempts, Span, ZoneId,
};

/// Odd multiplier that derives the seeds of the instances from the seed of the run (2^64 divided by the golden ratio).
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Advertised rate of an endpoint whose destination advertises none, in calls per second.
const DEFAULT_ADVERTISED_RATE: f64 = 1.0;

impl Simulation<'_> {
    /// Starts the next incarnation of an instance. It receives the endpoint list first, then the messages that earlier
    /// incarnations did not finish.
    pub(super) fn start_instance(&mut self, instance: usize) {
        let incarnation = self.instances[instance].incarnation;
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER)
            ^ (instance as u64) << 32
            ^ u64::from(incarnation);
        self.instances[instance].node = Some((self.make_node)(Incarnation {
            settings: self.settings.clone(),
            seed,
            instance,
        }));
        let list = (0..self.endpoint_locations.len())
            .map(|endpoint| self.endpoint_update(endpoint))
            .collect();
        let mut events = vec![Event::EndpointsReplaced(list)];
        events.extend(self.unfinished_messages(instance));
        self.deliver(instance, &events);
    }

    /// Returns the messages that earlier incarnations of an instance accepted and did not finish, in order of their id.
    fn unfinished_messages(&self, instance: usize) -> Vec<Event> {
        let mut unfinished: Vec<(&u64, &Message)> = self
            .messages
            .iter()
            .filter(|(_, message)| message.instance == instance && !message.has_ended)
            .collect();
        unfinished.sort_unstable_by_key(|(id, _)| **id);
        let resumed = unfinished.into_iter().map(|(id, message)| {
            let prior = PriorAttempts {
                attempts: message.attempts,
                first_possible_execution: message.first_possible_execution,
                in_flight: None,
            };
            Event::Resumed(new_message(*id, message), prior)
        });
        resumed.collect()
    }

    fn endpoint_update(&self, endpoint: usize) -> EndpointUpdate {
        let destination = self.endpoint_locations[endpoint].destination;
        let advertised_rate = self.scenario.destinations[destination].advertised_rate;
        EndpointUpdate {
            endpoint: EndpointId(endpoint as u32),
            destination: DestinationId(destination as u64),
            kind: KindId(0),
            zone: ZoneId(0),
            status: self.listed_status[endpoint],
            advertised_rate: advertised_rate.unwrap_or(DEFAULT_ADVERTISED_RATE),
            weight: None,
        }
    }

    /// Delivers events to an instance if it runs, and executes the resulting actions.
    pub(super) fn deliver(&mut self, instance: usize, events: &[Event]) {
        let Some(node) = &mut self.instances[instance].node else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        node.handle(self.now, events, &mut actions);
        for action in actions.drain(..) {
            self.execute(instance, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, instance: usize, action: Action) {
        match action {
            Action::Send {
                message,
                endpoint,
                timeout_at,
            } => self.send(instance, message.0, endpoint, timeout_at),
            Action::Reject {
                message,
                retry_after,
            } => self.finish(message.0, FinalOutcome::Rejected(retry_after)),
            Action::Fail(message) => self.finish(message.0, FinalOutcome::Failed),
            Action::SetTimer { at, token } => {
                let timer = SimulationEvent::TimerFires {
                    instance,
                    incarnation: self.instances[instance].incarnation,
                    token,
                };
                self.queue.push(at.max(self.now + Span(1)), timer);
            }
            Action::CloseIdleConnections(endpoint) => {
                self.connection_pool.close_idle(instance, endpoint.0);
            }
            // The settings allow neither cancellation nor health checks, and list changes arrive without a subscription.
            Action::Cancel { .. } | Action::HealthCheck(_) | Action::Subscribe | Action::Log(_) => {
            }
        }
    }

    /// Changes the endpoint list. The change reaches each instance after its own network delay.
    pub(super) fn change_list(&mut self, index: usize) {
        let change = &self.scenario.list_changes[index];
        let endpoint = change.endpoint;
        self.listed_status[endpoint] = change.status;
        self.observe(Observation::EndpointListed {
            endpoint: endpoint as u32,
            status: change.status,
        });
        for instance in 0..self.instances.len() {
            let delay = self.network_delay();
            let arrival = SimulationEvent::ListChangeArrives {
                instance,
                incarnation: self.instances[instance].incarnation,
                update: Box::new(self.endpoint_update(endpoint)),
            };
            self.queue.push(self.now + delay, arrival);
        }
    }

    /// Crashes an instance if it runs, and schedules its restart.
    pub(super) fn crash(&mut self, index: usize) {
        let crash = self.scenario.crashes[index];
        let slot = &mut self.instances[crash.instance];
        if slot.node.take().is_none() {
            return;
        }
        slot.incarnation += 1;
        self.observe(Observation::InstanceCrashed {
            instance: crash.instance,
        });
        self.connection_pool.remove_instance(crash.instance);
        self.abandon_attempts(crash.instance);
        self.messages
            .retain(|_, message| message.instance != crash.instance || !message.has_ended);
        let start = SimulationEvent::InstanceStarts(crash.instance);
        self.queue.push(self.now + crash.restart_after, start);
    }

    /// Drops the attempts in flight of an instance that crashed. The destination may have executed them.
    fn abandon_attempts(&mut self, instance: usize) {
        let messages = self.messages.values_mut();
        for message in messages.filter(|message| message.instance == instance) {
            let Some(attempt) = message.in_flight.take() else {
                continue;
            };
            message.first_possible_execution.get_or_insert(attempt);
            if std::mem::take(&mut message.holds_connection) {
                self.connection_pool.release(
                    self.now,
                    instance,
                    attempt.endpoint.0,
                    Release::Closed,
                );
            }
        }
    }
}

/// Converts a message to the type that the scheduler receives.
pub(super) fn new_message(id: u64, message: &Message) -> NewMessage {
    NewMessage {
        message: MessageId(id),
        class: ClassId(message.submission.class),
        tenant: None,
        ordering_key: None,
        deadline: message.expires,
        destination: DestinationId(message.submission.destination as u64),
    }
}
