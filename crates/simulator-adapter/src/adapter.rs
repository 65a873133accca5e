//! Runs the instances: translates input lines to events of the scheduler, and its actions to lines of the reply.
//!
//! A batch starts with a line that has the batch's time, and ends with an end line. At the end of the batch, each instance
//! that the batch names handles its events. Instances are processed in the order in which the batch first named them.

use crate::error::InputError;
use crate::instance::Instance;
use crate::wire::{EndpointEntry, Line, ListUpdate, Reply, StartedInstance, UpdateKind};
use marblefall_scheduler::{Event, Time};
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The running instances, the endpoint lists received so far, and the batch that is being read.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<String, Instance>,
    /// Endpoint lists by number; a list replaces an earlier list with the same number.
    endpoint_lists: BTreeMap<u64, Vec<EndpointEntry>>,
    batch: Option<Batch>,
}

/// A batch of events that is being read.
struct Batch {
    now: Time,
    /// The instances, in the order in which the batch first named them.
    order: Vec<String>,
    /// The events by instance.
    events: HashMap<String, Vec<Event>>,
}

impl Batch {
    fn new(now: Time) -> Batch {
        Batch {
            now,
            order: Vec::new(),
            events: HashMap::new(),
        }
    }

    /// Adds an instance to the batch, if the batch does not have it yet, and its event, if any.
    fn push(&mut self, instance: &str, event: Option<Event>) {
        if !self.events.contains_key(instance) {
            self.order.push(instance.to_owned());
        }
        self.events
            .entry(instance.to_owned())
            .or_default()
            .extend(event);
    }

    /// Removes an instance that stops or restarts, with its events.
    fn remove(&mut self, instance: &str) {
        if self.events.remove(instance).is_some() {
            self.order.retain(|name| name != instance);
        }
    }
}

impl Adapter {
    /// Returns whether a batch has started and not yet ended.
    pub fn is_inside_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Handles one line; returns the reply if the line ends a batch.
    pub fn handle_line(&mut self, line: Line) -> Result<Option<String>, InputError> {
        match (line, self.batch.take()) {
            (Line::BatchStart { time_ms }, None) => {
                self.batch = Some(Batch::new(Time::from_ms(time_ms)));
            }
            (Line::BatchStart { .. }, Some(_)) => return Err(InputError::NestedBatch),
            (_, None) => return Err(InputError::OutsideBatch),
            (Line::BatchEnd {}, Some(batch)) => return Ok(Some(self.handle_batch(&batch))),
            (line, Some(mut batch)) => {
                self.add_line(line, &mut batch)?;
                self.batch = Some(batch);
            }
        }
        Ok(None)
    }

    /// Handles a line within a batch.
    fn add_line(&mut self, line: Line, batch: &mut Batch) -> Result<(), InputError> {
        match line {
            // `handle_line` handles the start and the end of a batch.
            Line::BatchStart { .. } | Line::BatchEnd {} => {}
            Line::InstanceStarted(started) => self.start_instance(started, batch),
            Line::InstanceStopped { instance } => self.stop_instance(instance, batch)?,
            Line::EndpointList { number, entries } => {
                self.endpoint_lists.insert(number, entries);
            }
            Line::EndpointListUpdate(update) => {
                let event = self.endpoint_list_event(&update)?;
                batch.push(&update.instance, Some(event));
            }
            Line::MessageAccepted(accepted) => {
                let event = self
                    .instance_mut(&accepted.instance)?
                    .message_accepted(&accepted)?;
                batch.push(&accepted.instance, Some(event));
            }
            Line::AttemptFinished(attempt) => {
                let instance = self.instance_mut(&attempt.instance)?;
                let event = instance.attempt_finished(&attempt)?;
                batch.push(&attempt.instance, Some(event));
            }
            Line::MessageCancelled { instance, message } => {
                let message = self.instance_mut(&instance)?.message_id(&message);
                batch.push(&instance, Some(Event::Cancelled(message)));
            }
            Line::TimerFired { instance, token } => {
                self.instance_mut(&instance)?;
                batch.push(&instance, Some(Event::TimerFired(token)));
            }
            Line::HealthChecked(check) => {
                let event = self.instance_mut(&check.instance)?.health_checked(&check)?;
                batch.push(&check.instance, Some(event));
            }
            Line::LeaderElected { instance } | Line::PeerMessage { instance } => {
                self.instance_mut(&instance)?;
                batch.push(&instance, None);
            }
        }
        Ok(())
    }

    fn start_instance(&mut self, started: StartedInstance, batch: &mut Batch) {
        batch.remove(&started.instance);
        batch.push(&started.instance, None);
        let instance = Instance::new(*started.settings, started.seed);
        self.instances.insert(started.instance, instance);
    }

    fn stop_instance(&mut self, name: String, batch: &mut Batch) -> Result<(), InputError> {
        batch.remove(&name);
        match self.instances.remove(&name) {
            Some(_) => Ok(()),
            None => Err(InputError::UnknownInstance(name)),
        }
    }

    /// Returns the event for an instance that receives an endpoint list, or whose request for one failed.
    fn endpoint_list_event(&mut self, update: &ListUpdate) -> Result<Event, InputError> {
        let instance = find_instance(&mut self.instances, &update.instance)?;
        let mut updates = || {
            let entries = self.endpoint_lists.get(&update.number);
            let entries = entries.ok_or(InputError::UnknownList(update.number))?;
            entries
                .iter()
                .map(|entry| instance.endpoint_update(entry))
                .collect::<Result<Vec<_>, InputError>>()
        };
        Ok(match update.kind {
            UpdateKind::Error => Event::EndpointListFailed,
            UpdateKind::Partial => Event::EndpointsUpdated(updates()?),
            UpdateKind::Complete | UpdateKind::Persisted => Event::EndpointsReplaced(updates()?),
        })
    }

    fn instance_mut(&mut self, name: &str) -> Result<&mut Instance, InputError> {
        find_instance(&mut self.instances, name)
    }

    /// Runs the scheduler of each instance in the batch on its events; returns the lines of the reply.
    fn handle_batch(&mut self, batch: &Batch) -> String {
        let mut lines = String::new();
        for name in &batch.order {
            let Some(instance) = self.instances.get_mut(name) else {
                continue;
            };
            let handled = catch_unwind(AssertUnwindSafe(|| {
                instance.handle(batch.now, &batch.events[name])
            }));
            match handled {
                Ok(actions) => {
                    for action in &actions {
                        push_line(&mut lines, &instance.reply(name, action));
                    }
                }
                Err(panic) => {
                    let panicked = Reply::Panicked {
                        instance: name,
                        text: panic_message(&*panic),
                    };
                    push_line(&mut lines, &panicked);
                }
            }
        }
        push_line(&mut lines, &Reply::BatchEnd);
        lines
    }
}

fn find_instance<'a>(
    instances: &'a mut HashMap<String, Instance>,
    name: &str,
) -> Result<&'a mut Instance, InputError> {
    instances
        .get_mut(name)
        .ok_or_else(|| InputError::UnknownInstance(name.to_owned()))
}

fn push_line(lines: &mut String, reply: &Reply<'_>) {
    let line = serde_json::to_string(reply);
    lines.push_str(&line.expect("a reply contains only strings and finite numbers"));
    lines.push('\n');
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("panic without a text")
}
