//! One instance: its scheduler, and the translation between the names of the simulator's protocol and the scheduler's
//! numbers.

use crate::error::InputError;
use crate::names::NameTable;
use crate::wire::{self, OutcomeCode};
use marblefall_scheduler::{
    Action, AttemptNumber, ClassId, DestinationId, EndpointId, EndpointStatus, EndpointUpdate,
    Event, KindId, MessageId, NewMessage, OrderingKey, Outcome, RateLimitReport, Scheduler, Span,
    TenantId, Time, ZoneId,
};
use marblefall_settings::InstanceSettings;

/// A scheduler with the tables that translate its numbers to names.
pub struct Instance {
    scheduler: Scheduler,
    messages: NameTable,
    endpoints: NameTable,
    classes: NameTable,
    tenants: NameTable,
    kinds: NameTable,
    zones: NameTable,
    /// Whether the reply to a rejected client contains a `Retry-After`.
    sends_retry_after: bool,
}

impl Instance {
    /// Creates an instance that has just started.
    pub fn new(settings: InstanceSettings, seed: u64) -> Instance {
        let classes = settings.classes.iter().map(|class| class.name.clone());
        let tenants = settings.tenants.iter().map(|tenant| tenant.name.clone());
        Instance {
            classes: classes.collect(),
            tenants: tenants.collect(),
            kinds: settings.kinds.iter().cloned().collect(),
            zones: settings.zones.iter().cloned().collect(),
            messages: NameTable::default(),
            endpoints: NameTable::default(),
            sends_retry_after: settings.limits.sends_retry_after,
            scheduler: Scheduler::new(settings.scheduler_settings(), seed),
        }
    }

    /// Passes a batch of events to the scheduler; returns its actions.
    pub fn handle(&mut self, now: Time, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, events, &mut actions);
        actions
    }

    /// Returns the number of a message, after assigning the next number if the message is new.
    pub fn message_id(&mut self, name: &str) -> MessageId {
        MessageId(self.messages.intern(name) as u64)
    }

    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        EndpointId(self.endpoints.intern(name) as u32)
    }

    /// Translates an entry of an endpoint list.
    pub fn endpoint_update(
        &mut self,
        entry: &wire::EndpointEntry,
    ) -> Result<EndpointUpdate, InputError> {
        Ok(EndpointUpdate {
            endpoint: self.endpoint_id(&entry.endpoint),
            destination: DestinationId(entry.destination as u64),
            kind: KindId(self.kinds.lookup("destination kind", &entry.kind)?),
            zone: ZoneId(self.zones.intern(&entry.zone)),
            status: match entry.status {
                wire::EndpointStatus::Active => EndpointStatus::Active,
                wire::EndpointStatus::Draining => EndpointStatus::Draining,
                wire::EndpointStatus::Removed => EndpointStatus::Removed,
            },
            advertised_rate: entry.advertised_rate,
            weight: None,
        })
    }

    /// Translates an accepted message.
    pub fn message_accepted(
        &mut self,
        accepted: &wire::AcceptedMessage,
    ) -> Result<Event, InputError> {
        let tenant = accepted.tenant.as_ref().and_then(|tenant| tenant.as_str());
        let tenant = match tenant {
            Some(name) if !self.tenants.is_empty() => {
                Some(TenantId(self.tenants.lookup("tenant", name)?))
            }
            _ => None,
        };
        Ok(Event::Accepted(NewMessage {
            message: self.message_id(&accepted.message),
            class: ClassId(self.classes.lookup("class", &accepted.class)?),
            tenant,
            ordering_key: accepted.ordering_key.map(OrderingKey),
            deadline: Time::from_ms(accepted.deadline_ms),
            destination: DestinationId(accepted.destination as u64),
        }))
    }

    /// Translates the end of an attempt.
    pub fn attempt_finished(
        &mut self,
        finished: &wire::FinishedAttempt,
    ) -> Result<Event, InputError> {
        Ok(Event::AttemptFinished {
            message: self.message_id(&finished.message),
            attempt: AttemptNumber(finished.attempt),
            outcome: translate_outcome(finished.outcome, finished.retry_after_ms)?,
            duration: Span::from_ms(finished.duration_ms),
            is_final: finished.is_final,
            rate_limit: translate_rate_limit(finished.rate_limit),
        })
    }

    /// Translates the end of a health check.
    pub fn health_checked(
        &mut self,
        finished: &wire::FinishedHealthCheck,
    ) -> Result<Event, InputError> {
        Ok(Event::HealthChecked {
            endpoint: self.endpoint_id(&finished.endpoint),
            outcome: translate_outcome(finished.outcome, 0.0)?,
            rate_limit: translate_rate_limit(finished.rate_limit),
        })
    }

    /// Translates an action to a line of the reply.
    pub fn reply<'a>(&'a self, instance: &'a str, action: &'a Action) -> wire::Reply<'a> {
        let message_name = |id: MessageId| self.messages.name(id.0 as usize);
        let endpoint_name = |id: EndpointId| self.endpoints.name(id.0 as usize);
        match *action {
            Action::Send {
                message,
                endpoint,
                timeout_at,
            } => wire::Reply::Send {
                instance,
                message: message_name(message),
                endpoint: endpoint_name(endpoint),
                timeout_at_ms: timeout_at.ms(),
            },
            Action::Cancel { message, attempt } => wire::Reply::Cancel {
                instance,
                message: message_name(message),
                attempt: attempt.0,
            },
            Action::Reject {
                message,
                retry_after,
            } => wire::Reply::Reject {
                instance,
                message: message_name(message),
                retry_after_ms: self.retry_after_ms(retry_after),
            },
            Action::Fail(message) => wire::Reply::Fail {
                instance,
                message: message_name(message),
            },
            Action::SetTimer { at, token } => wire::Reply::SetTimer {
                instance,
                at_ms: at.ms(),
                token,
            },
            Action::HealthCheck(endpoint) => wire::Reply::HealthCheck {
                instance,
                endpoint: endpoint_name(endpoint),
            },
            Action::CloseIdleConnections(endpoint) => wire::Reply::CloseIdleConnections {
                instance,
                endpoint: endpoint_name(endpoint),
            },
            Action::Subscribe => wire::Reply::Subscribe {
                instance,
                subscribe: true,
            },
            Action::Log(ref text) => wire::Reply::Log { instance, text },
        }
    }

    /// Returns the `Retry-After` for a rejected client, in ms; 0 if none is sent.
    fn retry_after_ms(&self, retry_after: Span) -> f64 {
        if self.sends_retry_after {
            retry_after.ms()
        } else {
            0.0
        }
    }
}

/// Translates an outcome. `retry_after_ms` is the `Retry-After` of a rejection; 0 means that it had none.
fn translate_outcome(code: OutcomeCode, retry_after_ms: f64) -> Result<Outcome, InputError> {
    Ok(match code {
        OutcomeCode::DELIVERED => Outcome::Delivered,
        OutcomeCode::ERROR => Outcome::Error,
        OutcomeCode::REJECTED => Outcome::Rejected {
            retry_after: (retry_after_ms > 0.0).then(|| Span::from_ms(retry_after_ms)),
        },
        OutcomeCode::TIMED_OUT => Outcome::TimedOut,
        OutcomeCode::CONNECT_FAILED => Outcome::ConnectFailed,
        OutcomeCode::RESET => Outcome::Reset,
        OutcomeCode::CANCELLED => Outcome::Cancelled,
        OutcomeCode::NOT_SENT => Outcome::NotSent,
        OutcomeCode(unknown) => return Err(InputError::UnknownOutcome(unknown)),
    })
}

fn translate_rate_limit(report: Option<wire::RateLimit>) -> RateLimitReport {
    let report = report.unwrap_or_default();
    RateLimitReport {
        remaining: report.remaining,
        limit: report.limit,
    }
}
