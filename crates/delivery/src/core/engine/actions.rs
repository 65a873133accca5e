//! Executes the scheduler's actions.

use super::unjournalled::UnjournalledAttempt;
use super::{Engine, EngineCommand};
use crate::core::{MessageId, Timestamp};
use marblefall_scheduler as m;
use std::collections::BTreeSet;

impl Engine {
    /// Executes an action of the scheduler. `not_journalled` are the messages of this step that were rejected because
    /// the journal did not accept them.
    pub(super) fn execute(
        &mut self,
        now: Timestamp,
        action: m::Action,
        not_journalled: &BTreeSet<MessageId>,
        commands: &mut Vec<EngineCommand>,
    ) {
        match action {
            m::Action::Send { message, .. } if not_journalled.contains(&message) => {
                self.report_not_sent(now, message);
            }
            m::Action::Send {
                message,
                endpoint,
                timeout_at,
            } => {
                let attempt = UnjournalledAttempt {
                    message,
                    endpoint,
                    timeout_at,
                };
                self.start_attempt(now, attempt, commands);
            }
            m::Action::Cancel { message, .. } => {
                if !self.cancel_unjournalled(now, message) {
                    commands.push(EngineCommand::CancelAttempt(message));
                }
            }
            m::Action::Reject {
                message,
                retry_after,
            } => self.return_message(now, message, retry_after, commands),
            m::Action::Fail(message) => self.fail_message(now, message, commands),
            m::Action::SetTimer { at, token } => drop(self.timers.insert((at, token))),
            m::Action::CloseIdleConnections(endpoint) => {
                commands.push(EngineCommand::CloseIdleConnections(endpoint));
            }
            m::Action::Log(text) => commands.push(EngineCommand::Log(text)),
            // Instances send no health checks, and endpoint lists are pushed to them.
            m::Action::HealthCheck(_) | m::Action::Subscribe => {}
        }
    }

    /// Reports endpoint changes to the scheduler at once, while it has nothing to send.
    pub(super) fn update_scheduler(
        &mut self,
        now: Timestamp,
        events: &[m::Event],
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut actions = Vec::new();
        self.scheduler.handle(now.monotonic, events, &mut actions);
        for action in actions {
            self.execute(now, action, &BTreeSet::new(), commands);
        }
    }
}
