//! A fleet of many instances that share nothing but the endpoint list.

use super::*;
use std::collections::BTreeMap;

/// Number of instances in the fleet.
pub const INSTANCES: usize = 200;
/// Seed of the first instance. Those of the others follow in sequence.
const FIRST_SEED: u64 = 1000;

/// Returns the settings of an instance of the fleet.
pub fn fleet_settings() -> Settings {
    let mut settings = settings();
    (
        settings.instances,
        settings.limits.max_in_flight,
        settings.rate_hints,
    ) = (INSTANCES, 3, RateHints::Approximate);
    settings
}

/// Instances with different seeds and the same endpoint list.
pub struct Fleet {
    pub instances: Vec<Scheduler>,
    attempts: BTreeMap<(usize, MessageId), u32>,
    last_message: u64,
}

/// An attempt that an instance sent.
pub struct SentAttempt {
    pub message: MessageId,
    pub attempt: u32,
    pub endpoint: EndpointId,
}

impl Fleet {
    pub fn new(settings: &Settings, endpoints: &[EndpointUpdate]) -> Fleet {
        let mut instances: Vec<Scheduler> = (0..INSTANCES)
            .map(|n| Scheduler::new(settings.clone(), FIRST_SEED + n as u64))
            .collect();
        for instance in &mut instances {
            let list = Event::EndpointsReplaced(endpoints.to_vec());
            instance.handle(Time(0), &[list], &mut Vec::new());
        }
        Fleet {
            instances,
            attempts: BTreeMap::new(),
            last_message: 0,
        }
    }

    /// Returns the event of a new message.
    pub fn message(&mut self, now: Time) -> Event {
        self.last_message += 1;
        Event::Accepted(NewMessage {
            message: MessageId(self.last_message),
            class: ClassId(0),
            tenant: None,
            ordering_key: None,
            deadline: now + Span::from_ms(DEADLINE_MS),
            destination: DestinationId(0),
        })
    }

    /// Handles a batch of events at one instance. Returns the attempts that the instance sent.
    pub fn handle(&mut self, instance: usize, now: Time, events: &[Event]) -> Vec<SentAttempt> {
        let mut actions = Vec::new();
        self.instances[instance].handle(now, events, &mut actions);
        let numbered = sends(&actions).into_iter().map(|(message, endpoint)| {
            let next = self.attempts.entry((instance, message)).or_default();
            let attempt = *next;
            *next += 1;
            SentAttempt {
                message,
                attempt,
                endpoint,
            }
        });
        numbered.collect()
    }
}
