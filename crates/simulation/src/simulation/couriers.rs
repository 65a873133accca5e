//! Couriers: how they start and crash, what they are told, and what they order.

use super::event_queue::SimulationEvent;
use super::{Life, Message, Simulation};
use crate::seen::{End, Seen};
use marblefall_scheduler::{
    Action, AttemptStart, ClassId, DestinationId, EndpointId, EndpointUpdate, Event, KindId,
    MessageId, NewMessage, PriorAttempts, Span, ZoneId,
};

impl Simulation<'_> {
    /// Starts an incarnation of a courier: it is told the list, then what the last one owes.
    pub(super) fn start_courier(&mut self, courier: usize) {
        let incarnation = self.couriers[courier].incarnation;
        let seed = self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ (courier as u64) << 32
            ^ u64::from(incarnation);
        self.couriers[courier].node = Some((self.make_node)(Life {
            settings: self.settings.clone(),
            seed,
            courier,
        }));
        let list = (0..self.endpoint_places.len())
            .map(|endpoint| self.endpoint_update(endpoint))
            .collect();
        let mut events = vec![Event::EndpointsReplaced(list)];
        events.extend(self.owed_messages(courier));
        self.deliver(courier, &events);
    }

    /// The messages that an earlier incarnation of a courier accepted and did not finish, in their order.
    fn owed_messages(&self, courier: usize) -> Vec<Event> {
        let mut owed: Vec<(&u64, &Message)> = self
            .messages
            .iter()
            .filter(|(_, message)| message.courier == courier && !message.ended)
            .collect();
        owed.sort_unstable_by_key(|(id, _)| **id);
        let resumed = owed.into_iter().map(|(id, message)| {
            let first = message.first_possible_execution;
            let prior = PriorAttempts {
                attempts: message.attempts,
                first_possible_execution: first
                    .map(|(sent, endpoint)| AttemptStart { sent, endpoint }),
                in_flight: None,
            };
            Event::Resumed(new_message(*id, message), prior)
        });
        resumed.collect()
    }

    fn endpoint_update(&self, endpoint: usize) -> EndpointUpdate {
        let (partner, _) = self.endpoint_places[endpoint];
        EndpointUpdate {
            endpoint: EndpointId(endpoint as u32),
            destination: DestinationId(partner as u64),
            kind: KindId(0),
            zone: ZoneId(0),
            status: self.listed_status[endpoint],
            advertised_rate: self.scenario.partners[partner].listed.unwrap_or(1.0),
            weight: None,
        }
    }

    /// Gives a courier events and does what it says.
    pub(super) fn deliver(&mut self, courier: usize, events: &[Event]) {
        let Some(node) = &mut self.couriers[courier].node else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        node.handle(self.now, events, &mut actions);
        for action in actions.drain(..) {
            self.execute(courier, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, courier: usize, action: Action) {
        match action {
            Action::Send {
                message,
                endpoint,
                timeout_at,
            } => self.send(courier, message.0, endpoint, timeout_at),
            Action::Reject {
                message,
                retry_after,
            } => self.finish(message.0, End::Refused(retry_after)),
            Action::Fail(message) => self.finish(message.0, End::Failed),
            Action::SetTimer { at, token } => {
                let timer = SimulationEvent::TimerFires {
                    courier,
                    incarnation: self.couriers[courier].incarnation,
                    token,
                };
                self.queue.push(at.max(self.now + Span(1)), timer);
            }
            Action::CloseIdleConnections(endpoint) => self.wires.close_idle(courier, endpoint.0),
            // Nothing is cancelled or health-checked under these settings, and the list comes unasked.
            Action::Cancel { .. } | Action::HealthCheck(_) | Action::Subscribe | Action::Log(_) => {
            }
        }
    }

    /// The list changes, which each courier hears by its own way.
    pub(super) fn change_list(&mut self, place: usize) {
        let news = &self.scenario.news[place];
        let endpoint = news.endpoint;
        self.listed_status[endpoint] = news.listing;
        self.observe(Seen::Listed {
            endpoint: endpoint as u32,
            listing: self.listed_status[endpoint],
        });
        for courier in 0..self.couriers.len() {
            let delay = self.network_delay();
            let change = SimulationEvent::ListChangeArrives {
                courier,
                incarnation: self.couriers[courier].incarnation,
                update: Box::new(self.endpoint_update(endpoint)),
            };
            self.queue.push(self.now + delay, change);
        }
    }

    /// A courier dies; what was in flight may have been executed.
    pub(super) fn crash(&mut self, place: usize) {
        let crash = self.scenario.crashes[place];
        let slot = &mut self.couriers[crash.courier];
        if slot.node.take().is_none() {
            return;
        }
        slot.incarnation += 1;
        self.observe(Seen::Died {
            courier: crash.courier,
        });
        self.wires.died(crash.courier);
        let messages = self.messages.values_mut();
        for message in messages.filter(|message| message.courier == crash.courier) {
            let Some((endpoint, sent)) = message.in_flight.take() else {
                continue;
            };
            message
                .first_possible_execution
                .get_or_insert((sent, endpoint));
            if std::mem::take(&mut message.holds_connection) {
                self.wires
                    .give_back(self.now, crash.courier, endpoint.0, false);
            }
        }
        self.messages
            .retain(|_, message| message.courier != crash.courier || !message.ended);
        let start = SimulationEvent::CourierStarts(crash.courier);
        self.queue.push(self.now + crash.back_after, start);
    }
}

/// A message as a courier is given it.
pub(super) fn new_message(id: u64, message: &Message) -> NewMessage {
    NewMessage {
        message: MessageId(id),
        class: ClassId(message.submission.class),
        tenant: None,
        ordering_key: None,
        deadline: message.expires,
        destination: DestinationId(message.submission.partner as u64),
    }
}
