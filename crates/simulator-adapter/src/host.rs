//! Hosts the instances: turns lines into events and actions into lines. Decides nothing.

use crate::wire::{self, Line, Reply};
use marblefall_scheduler as p;
use marblefall_settings::BootInfo;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Names given small numbers in the order of their first appearance.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    fn of(names: impl IntoIterator<Item = String>) -> Names {
        let mut all = Names::default();
        for name in names {
            all.number(&name);
        }
        all
    }

    fn number(&mut self, name: &str) -> usize {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), self.names.len() - 1);
        self.names.len() - 1
    }

    fn known(&self, what: &str, name: &str) -> Result<usize, String> {
        self.numbers
            .get(name)
            .copied()
            .ok_or_else(|| format!("unknown {what} {name:?}"))
    }
}

/// One courier, with the names that stand for its numbers.
struct Instance {
    courier: p::Scheduler,
    messages: Names,
    endpoints: Names,
    classes: Names,
    tenants: Names,
    kinds: Names,
    zones: Names,
    tells_retry: bool,
}

/// What one batch has brought an instance so far.
#[derive(Default)]
struct Inbox {
    order: Vec<String>,
    events: HashMap<String, Vec<p::Event>>,
}

impl Inbox {
    fn push(&mut self, courier: &str, event: Option<p::Event>) {
        if !self.events.contains_key(courier) {
            self.order.push(courier.to_owned());
        }
        self.events
            .entry(courier.to_owned())
            .or_default()
            .extend(event);
    }

    fn forget(&mut self, courier: &str) {
        if self.events.remove(courier).is_some() {
            self.order.retain(|name| name != courier);
        }
    }
}

/// All instances of this process, and the batch being read.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    sheets: BTreeMap<u64, Vec<wire::Row>>,
    clock: Option<p::Time>,
    inbox: Inbox,
}

impl Host {
    /// Whether a batch has been begun and not ended.
    pub fn inside_batch(&self) -> bool {
        self.clock.is_some()
    }

    /// Takes one line; a completed batch gives its reply.
    pub fn take(&mut self, line: Line) -> Result<Option<String>, String> {
        if let Line::Mark { time_ms } = line {
            if self.clock.replace(p::Time::from_ms(time_ms)).is_some() {
                return Err("a batch begins inside another".to_owned());
            }
            return Ok(None);
        }
        let now = self.clock.ok_or("a line outside any batch")?;
        match line {
            Line::Mark { .. } => {}
            Line::End {} => {
                self.clock = None;
                return Ok(Some(self.reply(now)));
            }
            Line::Begin {
                courier_id,
                random_seed,
                boot_info,
            } => {
                self.inbox.forget(&courier_id);
                self.instances
                    .insert(courier_id.clone(), Instance::begin(*boot_info, random_seed));
                self.inbox.push(&courier_id, None);
            }
            Line::Halt { courier_id } => {
                self.inbox.forget(&courier_id);
                self.instances
                    .remove(&courier_id)
                    .ok_or_else(|| never_begun(&courier_id))?;
            }
            Line::Sheet { buffer, rows_in } => {
                self.sheets.insert(buffer, rows_in);
            }
            Line::Update {
                courier_id,
                buffer,
                kind,
            } => {
                let instance = find(&mut self.instances, &courier_id)?;
                let event = match kind {
                    wire::UpdateKind::Error => p::Event::EndpointListFailed,
                    kind => {
                        let rows = self
                            .sheets
                            .get(&buffer)
                            .ok_or_else(|| format!("unknown list number {buffer}"))?;
                        let entries = rows
                            .iter()
                            .map(|row| instance.entry(row))
                            .collect::<Result<_, _>>()?;
                        match kind {
                            wire::UpdateKind::Partial => p::Event::EndpointsUpdated(entries),
                            _ => p::Event::EndpointsReplaced(entries),
                        }
                    }
                };
                self.inbox.push(&courier_id, Some(event));
            }
            Line::Accept(accept) => {
                self.event(&accept.courier_id.clone(), |i| i.accepted(&accept))?
            }
            Line::ClosedAttempt(closed) => {
                self.event(&closed.courier_id.clone(), |i| i.closed(&closed))?
            }
            Line::Gone { courier_id, r#ref } => {
                self.event(&courier_id, |i| {
                    Ok(Some(p::Event::Cancelled(i.message(&r#ref))))
                })?;
            }
            Line::Due { courier_id, token } => {
                self.event(&courier_id, |_| Ok(Some(p::Event::TimerFired(token))))?;
            }
            Line::Checked {
                courier_id,
                outcome,
                endpoint,
                server_stats,
            } => {
                self.event(&courier_id, |i| {
                    let endpoint = i.endpoint(&endpoint);
                    let (outcome, report) =
                        (outcome_of(outcome, 0.0)?, report_of(server_stats.as_ref()));
                    Ok(Some(p::Event::HealthChecked {
                        endpoint,
                        outcome,
                        rate_limit: report,
                    }))
                })?;
            }
            Line::First { courier_id } | Line::NeighbourSays { courier_id } => {
                self.event(&courier_id, |_| Ok(None))?;
            }
        }
        Ok(None)
    }

    fn event(
        &mut self,
        courier: &str,
        make: impl FnOnce(&mut Instance) -> Result<Option<p::Event>, String>,
    ) -> Result<(), String> {
        let event = make(find(&mut self.instances, courier)?)?;
        self.inbox.push(courier, event);
        Ok(())
    }

    fn reply(&mut self, now: p::Time) -> String {
        let mut out = String::new();
        let inbox = std::mem::take(&mut self.inbox);
        for courier_id in &inbox.order {
            let Some(instance) = self.instances.get_mut(courier_id) else {
                continue;
            };
            let mut actions = Vec::new();
            let run = || {
                instance
                    .courier
                    .handle(now, &inbox.events[courier_id], &mut actions)
            };
            match catch_unwind(AssertUnwindSafe(run)) {
                Ok(()) => actions
                    .iter()
                    .for_each(|action| line(&mut out, &instance.said(courier_id, action))),
                Err(panic) => line(
                    &mut out,
                    &Reply::Broken {
                        courier_id,
                        text: &panic_text(&*panic),
                    },
                ),
            }
        }
        line(&mut out, &Reply::End);
        out
    }
}

fn line(out: &mut String, reply: &Reply) {
    out.push_str(
        &serde_json::to_string(reply).expect("a reply holds only strings and finite numbers"),
    );
    out.push('\n');
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or(panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text")
        .to_owned()
}

fn never_begun(courier: &str) -> String {
    format!("an event for an instance never begun: {courier:?}")
}

fn find<'a>(
    instances: &'a mut HashMap<String, Instance>,
    courier: &str,
) -> Result<&'a mut Instance, String> {
    instances
        .get_mut(courier)
        .ok_or_else(|| never_begun(courier))
}

fn outcome_of(number: u64, detail: f64) -> Result<p::Outcome, String> {
    Ok(match number {
        0 => p::Outcome::Delivered,
        1 => p::Outcome::Error,
        2 => p::Outcome::Rejected {
            retry_after: (detail > 0.0).then(|| p::Span::from_ms(detail)),
        },
        3 => p::Outcome::TimedOut,
        4 => p::Outcome::ConnectFailed,
        5 => p::Outcome::Reset,
        6 => p::Outcome::Cancelled,
        7 => p::Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn report_of(stats: Option<&wire::Stats>) -> p::RateLimitReport {
    stats
        .map(|stats| p::RateLimitReport {
            remaining: stats.x0,
            limit: stats.x1,
        })
        .unwrap_or_default()
}

impl Instance {
    fn begin(boot: BootInfo, seed: u64) -> Instance {
        Instance {
            classes: Names::of(boot.classes.iter().map(|class| class.name.clone())),
            tenants: Names::of(boot.customers.iter().map(|tenant| tenant.name.clone())),
            kinds: Names::of(boot.host_types.iter().cloned()),
            zones: Names::of(boot.zones.iter().cloned()),
            messages: Names::default(),
            endpoints: Names::default(),
            tells_retry: boot.caps.retry_after,
            courier: p::Scheduler::new(boot.settings(), seed),
        }
    }

    fn message(&mut self, id: &str) -> p::MessageId {
        p::MessageId(self.messages.number(id) as u64)
    }

    fn endpoint(&mut self, id: &str) -> p::EndpointId {
        p::EndpointId(self.endpoints.number(id) as u32)
    }

    fn entry(&mut self, row: &wire::Row) -> Result<p::EndpointUpdate, String> {
        Ok(p::EndpointUpdate {
            endpoint: self.endpoint(&row.endpoint),
            destination: p::DestinationId(row.destination as u64),
            kind: p::KindId(self.kinds.known("destination kind", &row.sku)?),
            zone: p::ZoneId(self.zones.number(&row.area)),
            status: match row.availability {
                wire::Availability::On => p::EndpointStatus::Active,
                wire::Availability::Fading => p::EndpointStatus::Draining,
                wire::Availability::Off => p::EndpointStatus::Removed,
            },
            advertised_rate: row.share,
            weight: None,
        })
    }

    fn accepted(&mut self, accept: &wire::Accept) -> Result<Option<p::Event>, String> {
        let tenant = match accept.billing.as_ref().and_then(|billing| billing.as_str()) {
            Some(name) if !self.tenants.names.is_empty() => {
                Some(p::TenantId(self.tenants.known("tenant", name)?))
            }
            _ => None,
        };
        Ok(Some(p::Event::Accepted(p::NewMessage {
            message: self.message(&accept.r#ref),
            class: p::ClassId(self.classes.known("class", &accept.r#type)?),
            tenant,
            ordering_key: accept.entity.map(p::OrderingKey),
            deadline: p::Time::from_ms(accept.expires_ms),
            destination: p::DestinationId(accept.destination as u64),
        })))
    }

    fn closed(&mut self, closed: &wire::ClosedAttempt) -> Result<Option<p::Event>, String> {
        Ok(Some(p::Event::AttemptFinished {
            message: self.message(&closed.r#ref),
            attempt: p::AttemptNumber(closed.copy),
            outcome: outcome_of(closed.outcome, closed.detail)?,
            duration: p::Span::from_ms(closed.duration_ms),
            is_final: closed.last,
            rate_limit: report_of(closed.server_stats.as_ref()),
        }))
    }

    fn said<'a>(&'a self, courier_id: &'a str, action: &'a p::Action) -> Reply<'a> {
        let name = |id: &p::MessageId| self.messages.names[id.0 as usize].as_str();
        let place = |id: &p::EndpointId| self.endpoints.names[id.0 as usize].as_str();
        match action {
            p::Action::Send {
                message,
                endpoint,
                timeout_at: cut_at,
            } => Reply::PassOn {
                courier_id,
                r#ref: name(message),
                endpoint: place(endpoint),
                cut_at_ms: cut_at.ms(),
            },
            p::Action::Cancel {
                message,
                attempt: copy,
            } => Reply::StopAttempt {
                courier_id,
                r#ref: name(message),
                copy: copy.0,
            },
            p::Action::Reject {
                message,
                retry_after: retry_in,
            } => {
                let retry_in_ms = if self.tells_retry { retry_in.ms() } else { 0.0 };
                Reply::Refuse {
                    courier_id,
                    r#ref: name(message),
                    retry_in_ms,
                }
            }
            p::Action::Fail(message) => Reply::EndFailed {
                courier_id,
                r#ref: name(message),
            },
            p::Action::SetTimer { at, token } => Reply::WakeAt {
                courier_id,
                at_ms: at.ms(),
                token: *token,
            },
            p::Action::HealthCheck(endpoint) => Reply::HealthCheck {
                courier_id,
                endpoint: place(endpoint),
            },
            p::Action::CloseIdleConnections(id) => Reply::Close {
                courier_id,
                endpoint: place(id),
            },
            p::Action::Subscribe => Reply::Tail {
                courier_id,
                want: true,
            },
            p::Action::Log(text) => Reply::Emit { courier_id, text },
        }
    }
}
