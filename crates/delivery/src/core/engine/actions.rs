//! Executes the scheduler's actions.

use super::unjournalled::SelectedAttempt;
use super::{Engine, EngineCommand};
use crate::core::{MessageId, Timestamp};
use marblefall_scheduler as scheduler;
use std::collections::BTreeSet;

impl Engine {
    /// Executes an action of the scheduler. `not_journalled` contains the messages of this step that were rejected
    /// because the journal did not accept them.
    pub(super) fn execute_action(
        &mut self,
        now: Timestamp,
        action: scheduler::Action,
        not_journalled: &BTreeSet<MessageId>,
        commands: &mut Vec<EngineCommand>,
    ) {
        match action {
            scheduler::Action::Send { message, .. } if not_journalled.contains(&message) => {
                self.report_not_sent(now, message);
            }
            scheduler::Action::Send {
                message,
                endpoint,
                timeout_at,
            } => {
                let attempt = SelectedAttempt {
                    message,
                    endpoint,
                    timeout_at,
                };
                self.start_attempt(now, attempt, commands);
            }
            scheduler::Action::Cancel { message, .. } => {
                if !self.cancel_deferred_attempt(now, message) {
                    commands.push(EngineCommand::CancelAttempt(message));
                }
            }
            scheduler::Action::Reject {
                message,
                retry_after,
            } => self.return_message(now, message, retry_after, commands),
            scheduler::Action::Fail(message) => self.fail_message(now, message, commands),
            scheduler::Action::SetTimer { at, token } => drop(self.timers.insert((at, token))),
            scheduler::Action::CloseIdleConnections(endpoint) => {
                commands.push(EngineCommand::CloseIdleConnections(endpoint));
            }
            scheduler::Action::Log(text) => commands.push(EngineCommand::Log(text)),
            // Instances send no health checks, and receive endpoint lists without a subscription.
            scheduler::Action::HealthCheck(_) | scheduler::Action::Subscribe => {}
        }
    }

    /// Reports endpoint changes to the scheduler outside a regular step, while it has no messages to send.
    pub(super) fn update_scheduler(
        &mut self,
        now: Timestamp,
        events: &[scheduler::Event],
        commands: &mut Vec<EngineCommand>,
    ) {
        let mut actions = Vec::new();
        self.scheduler.handle(now.monotonic, events, &mut actions);
        for action in actions {
            self.execute_action(now, action, &BTreeSet::new(), commands);
        }
    }
}
