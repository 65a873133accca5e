//! One instance: its scheduler, and the translation between the wire's names and the scheduler's numbers.

use crate::adapter::InputError;
use crate::names::Names;
use crate::wire;
use marblefall_scheduler as m;
use marblefall_settings::InstanceSettings;

/// One instance, with the names that stand for its numbers.
pub struct Instance {
    scheduler: m::Scheduler,
    messages: Names,
    endpoints: Names,
    classes: Names,
    tenants: Names,
    kinds: Names,
    zones: Names,
    /// Whether clients are told how long to wait.
    sends_retry_after: bool,
}

impl Instance {
    /// An instance that was just started.
    pub fn new(boot: InstanceSettings, seed: u64) -> Instance {
        Instance {
            classes: Names::of(boot.classes.iter().map(|class| class.name.clone())),
            tenants: Names::of(boot.tenants.iter().map(|tenant| tenant.name.clone())),
            kinds: Names::of(boot.kinds.iter().cloned()),
            zones: Names::of(boot.zones.iter().cloned()),
            messages: Names::default(),
            endpoints: Names::default(),
            sends_retry_after: boot.limits.sends_retry_after,
            scheduler: m::Scheduler::new(boot.scheduler_settings(), seed),
        }
    }

    /// Lets the scheduler take a batch of events.
    pub fn handle(&mut self, now: m::Time, events: &[m::Event]) -> Vec<m::Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, events, &mut actions);
        actions
    }

    pub fn message(&mut self, id: &str) -> m::MessageId {
        m::MessageId(self.messages.number(id) as u64)
    }

    fn endpoint(&mut self, id: &str) -> m::EndpointId {
        m::EndpointId(self.endpoints.number(id) as u32)
    }

    /// A row of the endpoint list.
    pub fn endpoint_update(&mut self, row: &wire::Row) -> Result<m::EndpointUpdate, InputError> {
        Ok(m::EndpointUpdate {
            endpoint: self.endpoint(&row.endpoint),
            destination: m::DestinationId(row.destination as u64),
            kind: m::KindId(self.kinds.known("destination kind", &row.kind)?),
            zone: m::ZoneId(self.zones.number(&row.zone)),
            status: match row.availability {
                wire::Availability::On => m::EndpointStatus::Active,
                wire::Availability::Fading => m::EndpointStatus::Draining,
                wire::Availability::Off => m::EndpointStatus::Removed,
            },
            advertised_rate: row.advertised_rate,
            weight: None,
        })
    }

    /// A message that came in.
    pub fn accepted(&mut self, accept: &wire::Accept) -> Result<m::Event, InputError> {
        let tenant = match accept.tenant.as_ref().and_then(|tenant| tenant.as_str()) {
            Some(name) if !self.tenants.is_empty() => {
                Some(m::TenantId(self.tenants.known("tenant", name)?))
            }
            _ => None,
        };
        Ok(m::Event::Accepted(m::NewMessage {
            message: self.message(&accept.message),
            class: m::ClassId(self.classes.known("class", &accept.class)?),
            tenant,
            ordering_key: accept.ordering_key.map(m::OrderingKey),
            deadline: m::Time::from_ms(accept.deadline_ms),
            destination: m::DestinationId(accept.destination as u64),
        }))
    }

    /// An attempt that ended.
    pub fn attempt_finished(&mut self, end: &wire::AttemptEnd) -> Result<m::Event, InputError> {
        Ok(m::Event::AttemptFinished {
            message: self.message(&end.message),
            attempt: m::AttemptNumber(end.attempt),
            outcome: outcome(end.outcome, end.retry_after_ms)?,
            duration: m::Span::from_ms(end.duration_ms),
            is_final: end.is_final,
            rate_limit: rate_limit(end.rate_limit.as_ref()),
        })
    }

    /// A health check that ended.
    pub fn health_checked(
        &mut self,
        endpoint: &str,
        outcome_number: u64,
        report: Option<&wire::RateLimit>,
    ) -> Result<m::Event, InputError> {
        Ok(m::Event::HealthChecked {
            endpoint: self.endpoint(endpoint),
            outcome: outcome(outcome_number, 0.0)?,
            rate_limit: rate_limit(report),
        })
    }

    /// An action as a line of the reply.
    pub fn reply<'a>(&'a self, instance: &'a str, action: &'a m::Action) -> wire::Reply<'a> {
        let message_name = |id: &m::MessageId| self.messages.name(id.0 as usize);
        let endpoint_name = |id: &m::EndpointId| self.endpoints.name(id.0 as usize);
        match action {
            m::Action::Send {
                message,
                endpoint,
                timeout_at,
            } => wire::Reply::Send {
                instance,
                message: message_name(message),
                endpoint: endpoint_name(endpoint),
                timeout_at_ms: timeout_at.ms(),
            },
            m::Action::Cancel { message, attempt } => wire::Reply::Cancel {
                instance,
                message: message_name(message),
                attempt: attempt.0,
            },
            m::Action::Reject {
                message,
                retry_after,
            } => wire::Reply::Reject {
                instance,
                message: message_name(message),
                retry_after_ms: if self.sends_retry_after {
                    retry_after.ms()
                } else {
                    0.0
                },
            },
            m::Action::Fail(message) => wire::Reply::Fail {
                instance,
                message: message_name(message),
            },
            m::Action::SetTimer { at, token } => wire::Reply::SetTimer {
                instance,
                at_ms: at.ms(),
                token: *token,
            },
            m::Action::HealthCheck(endpoint) => wire::Reply::HealthCheck {
                instance,
                endpoint: endpoint_name(endpoint),
            },
            m::Action::CloseIdleConnections(endpoint) => wire::Reply::Close {
                instance,
                endpoint: endpoint_name(endpoint),
            },
            m::Action::Subscribe => wire::Reply::Subscribe {
                instance,
                want: true,
            },
            m::Action::Log(text) => wire::Reply::Log { instance, text },
        }
    }
}

/// The wire's number of an outcome, with the wait of a rejection.
fn outcome(number: u64, retry_after_ms: f64) -> Result<m::Outcome, InputError> {
    Ok(match number {
        0 => m::Outcome::Delivered,
        1 => m::Outcome::Error,
        2 => m::Outcome::Rejected {
            retry_after: (retry_after_ms > 0.0).then(|| m::Span::from_ms(retry_after_ms)),
        },
        3 => m::Outcome::TimedOut,
        4 => m::Outcome::ConnectFailed,
        5 => m::Outcome::Reset,
        6 => m::Outcome::Cancelled,
        7 => m::Outcome::NotSent,
        other => return Err(InputError::UnknownOutcome(other)),
    })
}

fn rate_limit(report: Option<&wire::RateLimit>) -> m::RateLimitReport {
    report.map_or_else(m::RateLimitReport::default, |report| m::RateLimitReport {
        remaining: report.remaining,
        limit: report.limit,
    })
}
