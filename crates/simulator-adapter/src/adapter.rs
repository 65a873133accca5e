//! Hosts the instances: turns lines into events and actions into lines. Decides nothing.
//!
//! A batch begins with a mark of the time and ends with a line of its own; each instance that is named in it takes its
//! events at once, in the order in which the instances were first named.

use crate::instance::Instance;
use crate::wire::{Line, Reply, Row, UpdateKind};
use marblefall_scheduler as m;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Why a line cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    #[error("a batch begins inside another")]
    NestedBatch,
    #[error("a line outside any batch")]
    OutsideBatch,
    #[error("an event for an instance never begun: {0:?}")]
    NeverBegun(String),
    #[error("unknown list number {0}")]
    UnknownList(u64),
    #[error("unknown outcome {0}")]
    UnknownOutcome(u64),
    #[error("unknown {kind} {name:?}")]
    UnknownName { kind: &'static str, name: String },
}

/// All instances of this process, and the batch being read.
#[derive(Default)]
pub struct Adapter {
    instances: HashMap<String, Instance>,
    endpoint_lists: BTreeMap<u64, Vec<Row>>,
    /// The time of the batch being read.
    now: Option<m::Time>,
    batch: Batch,
}

/// The events of a batch, by instance.
#[derive(Default)]
struct Batch {
    order: Vec<String>,
    events: HashMap<String, Vec<m::Event>>,
}

impl Batch {
    fn push(&mut self, instance: &str, event: Option<m::Event>) {
        if !self.events.contains_key(instance) {
            self.order.push(instance.to_owned());
        }
        self.events
            .entry(instance.to_owned())
            .or_default()
            .extend(event);
    }

    fn forget(&mut self, instance: &str) {
        if self.events.remove(instance).is_some() {
            self.order.retain(|name| name != instance);
        }
    }
}

impl Adapter {
    /// Whether a batch has begun and not ended.
    pub fn is_inside_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Takes one line; a completed batch gives its reply.
    pub fn take(&mut self, line: Line) -> Result<Option<String>, InputError> {
        if let Line::Mark { time_ms } = line {
            return match self.now.replace(m::Time::from_ms(time_ms)) {
                Some(_) => Err(InputError::NestedBatch),
                None => Ok(None),
            };
        }
        let now = self.now.ok_or(InputError::OutsideBatch)?;
        if let Line::End {} = line {
            self.now = None;
            return Ok(Some(self.reply(now)));
        }
        self.take_event(line)?;
        Ok(None)
    }

    fn take_event(&mut self, line: Line) -> Result<(), InputError> {
        match line {
            Line::Mark { .. } | Line::End {} => Ok(()),
            Line::Begin {
                instance,
                random_seed,
                boot_info,
            } => {
                self.batch.forget(&instance);
                self.batch.push(&instance, None);
                self.instances
                    .insert(instance, Instance::new(*boot_info, random_seed));
                Ok(())
            }
            Line::Halt { instance } => {
                self.batch.forget(&instance);
                let halted = self.instances.remove(&instance);
                halted.map(|_| ()).ok_or(InputError::NeverBegun(instance))
            }
            Line::Sheet { number, rows } => {
                self.endpoint_lists.insert(number, rows);
                Ok(())
            }
            Line::Update {
                instance,
                number,
                kind,
            } => self.update(&instance, number, kind),
            Line::Accept(accept) => self.push(&accept.instance, |instance| {
                instance.accepted(&accept).map(Some)
            }),
            Line::ClosedAttempt(end) => self.push(&end.instance, |instance| {
                instance.attempt_finished(&end).map(Some)
            }),
            Line::Gone { instance, message } => self.push(&instance, |instance| {
                Ok(Some(m::Event::Cancelled(instance.message(&message))))
            }),
            Line::Due { instance, token } => {
                self.push(&instance, |_| Ok(Some(m::Event::TimerFired(token))))
            }
            Line::Checked {
                instance,
                outcome,
                endpoint,
                rate_limit,
            } => self.push(&instance, |instance| {
                let event = instance.health_checked(&endpoint, outcome, rate_limit.as_ref());
                event.map(Some)
            }),
            Line::First { instance } | Line::NeighbourSays { instance } => {
                self.push(&instance, |_| Ok(None))
            }
        }
    }

    /// A change of the endpoint list at an instance.
    fn update(&mut self, name: &str, number: u64, kind: UpdateKind) -> Result<(), InputError> {
        let instance = find(&mut self.instances, name)?;
        let mut rows = || {
            let rows = self
                .endpoint_lists
                .get(&number)
                .ok_or(InputError::UnknownList(number))?;
            rows.iter()
                .map(|row| instance.endpoint_update(row))
                .collect::<Result<Vec<_>, InputError>>()
        };
        let event = match kind {
            UpdateKind::Error => m::Event::EndpointListFailed,
            UpdateKind::Partial => m::Event::EndpointsUpdated(rows()?),
            UpdateKind::Complete | UpdateKind::Persisted => m::Event::EndpointsReplaced(rows()?),
        };
        self.batch.push(name, Some(event));
        Ok(())
    }

    /// Adds an event of an instance to the batch.
    fn push(
        &mut self,
        name: &str,
        event: impl FnOnce(&mut Instance) -> Result<Option<m::Event>, InputError>,
    ) -> Result<(), InputError> {
        let event = event(find(&mut self.instances, name)?)?;
        self.batch.push(name, event);
        Ok(())
    }

    /// Lets all instances of the batch take their events, and words their actions.
    fn reply(&mut self, now: m::Time) -> String {
        let mut text = String::new();
        let batch = std::mem::take(&mut self.batch);
        for name in &batch.order {
            let Some(instance) = self.instances.get_mut(name) else {
                continue;
            };
            let handled = catch_unwind(AssertUnwindSafe(|| {
                instance.handle(now, &batch.events[name])
            }));
            match handled {
                Ok(actions) => {
                    for action in &actions {
                        push_line(&mut text, &instance.reply(name, action));
                    }
                }
                Err(panic) => {
                    let broken = Reply::Broken {
                        instance: name,
                        text: &panic_text(&*panic),
                    };
                    push_line(&mut text, &broken);
                }
            }
        }
        push_line(&mut text, &Reply::End);
        text
    }
}

fn find<'a>(
    instances: &'a mut HashMap<String, Instance>,
    name: &str,
) -> Result<&'a mut Instance, InputError> {
    instances
        .get_mut(name)
        .ok_or_else(|| InputError::NeverBegun(name.to_owned()))
}

fn push_line(text: &mut String, reply: &Reply<'_>) {
    let line = serde_json::to_string(reply);
    text.push_str(&line.expect("a reply holds only strings and finite numbers"));
    text.push('\n');
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("panic without a text").to_owned()
}
