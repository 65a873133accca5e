//! Final outcomes while the journal accepts no records. The next incarnation must not contradict an outcome that was
//! reported to a client.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::full_journal::FullJournal;
use common::restarting_engine::{message, submission, RestartingEngine, IDEMPOTENT_CLASS};
use common::{
    attempt_finished, folder as temporary_folder, notice_outcomes, responses, started_attempts,
};
use marblefall_delivery::core::engine::{EngineCommand, EngineEvent};
use marblefall_delivery::core::{MessageId, Origin, RequestId, SubmitResponse};
use marblefall_scheduler::{Outcome, Span};

/// A Retry-After that ends after all messages of these tests have expired.
const RETRY_AFTER: Span = Span(30_000_000);
/// The expiry of the messages, in milliseconds after the start.
const EXPIRY_MS: i64 = 20_000;

/// An engine that has the message "m" in flight and whose journal accepts no more records.
struct EngineWithFullJournal {
    incarnation: RestartingEngine,
    message: MessageId,
    attempt: u32,
    journal: FullJournal,
}

impl EngineWithFullJournal {
    fn new(name: &str) -> EngineWithFullJournal {
        let (mut incarnation, _) = RestartingEngine::start(temporary_folder(name), 0);
        let commands = incarnation.step(
            0,
            vec![submission(1, "m", Origin::Platform, IDEMPOTENT_CLASS)],
        );
        let (message, attempt) = started_attempts(&commands)[0];
        let folder = incarnation.folder.clone();
        let mut request = 1;
        let journal = FullJournal::fill(&folder, |name, body| {
            request += 1;
            let filler = self::message(name, Origin::Platform, IDEMPOTENT_CLASS, body);
            let submitted = EngineEvent::Submitted(RequestId(request), filler);
            incarnation.step(1, vec![submitted]);
        });
        EngineWithFullJournal {
            incarnation,
            message,
            attempt,
            journal,
        }
    }

    /// Ends the attempt with a Retry-After beyond the message's expiry. Returns the commands of the following steps.
    fn reject_attempt(&mut self) -> Vec<EngineCommand> {
        let outcome = Outcome::Rejected {
            retry_after: Some(RETRY_AFTER),
        };
        let result = attempt_finished(self.message, self.attempt, outcome);
        let mut commands = self.incarnation.step(10, vec![result]);
        for ms in 11..100 {
            commands.extend(self.incarnation.step(ms, Vec::new()));
        }
        assert!(
            commands
                .iter()
                .any(|command| matches!(command, EngineCommand::MessageFinished(_))),
            "the message has a final outcome"
        );
        commands
    }

    /// Kills the incarnation and starts the next one. Returns the commands of its start.
    fn restart(self, ms: i64) -> Vec<EngineCommand> {
        let folder = self.incarnation.folder.clone();
        drop(self.incarnation);
        RestartingEngine::start(folder, ms).1
    }
}

/// Counts the notices of a message among commands.
fn notices_of(id: MessageId, commands: &[EngineCommand]) -> usize {
    let is_notice = |command: &&EngineCommand| matches!(command, EngineCommand::SendNotice { message_id, .. } if *message_id == id);
    commands.iter().filter(is_notice).count()
}

/// Regression: the notice was sent although the outcome was not in the journal, so the next incarnation found the message
/// open and attempted it.
#[test]
fn unjournalled_outcome_is_not_reported_before_a_crash() {
    let mut fixture = EngineWithFullJournal::new("not-reported");
    let id = fixture.message;
    let commands = fixture.reject_attempt();
    fixture.journal.repair();
    let restarted = fixture.restart(200);
    let is_attempted = started_attempts(&restarted)
        .iter()
        .any(|(message, _)| *message == id);
    assert!(is_attempted, "the next incarnation attempts the message");
    assert_eq!(notice_outcomes(&commands), []);
}

#[test]
fn outcome_is_reported_once_the_journal_accepts_it() {
    let mut fixture = EngineWithFullJournal::new("reported-later");
    let id = fixture.message;
    fixture.reject_attempt();
    fixture.journal.repair();
    let later = fixture.incarnation.step(140, Vec::new());
    assert_eq!(notices_of(id, &later), 1);
    let restarted = fixture.restart(200);
    assert_eq!(notices_of(id, &restarted), 1, "not acknowledged yet");
    assert!(started_attempts(&restarted)
        .iter()
        .all(|(message, _)| *message != id));
}

#[test]
fn outcome_of_an_expired_message_is_reported_without_the_journal() {
    let mut fixture = EngineWithFullJournal::new("reported-at-expiry");
    let id = fixture.message;
    fixture.reject_attempt();
    let before = fixture.incarnation.step(EXPIRY_MS - 100, Vec::new());
    assert_eq!(notice_outcomes(&before), []);
    let wake = fixture.incarnation.engine.next_wake().unwrap();
    assert!(
        wake.0 <= (EXPIRY_MS - 50) * 1000,
        "the engine wakes in time for the expiry"
    );
    let after = fixture.incarnation.step(EXPIRY_MS, Vec::new());
    assert_eq!(notices_of(id, &after), 1);
}

/// Guards against a repeated delivery: a message was accepted and delivered once the journal worked again, and a kill right
/// behind it came before the delivery that the journal did not accept was written again.
#[test]
fn acceptance_comes_after_the_deliveries_that_the_journal_lacks() {
    let mut fixture = EngineWithFullJournal::new("delivery-before-acceptance");
    let id = fixture.message;
    let delivered = attempt_finished(fixture.message, fixture.attempt, Outcome::Delivered);
    fixture.incarnation.step(10, vec![delivered]);
    fixture.journal.repair();
    let after = submission(100, "after", Origin::Platform, IDEMPOTENT_CLASS);
    let commands = fixture.incarnation.step(11, vec![after]);
    assert_eq!(responses(&commands), [(100, SubmitResponse::Accepted)]);
    let restarted = fixture.restart(200);
    let mut attempted = started_attempts(&restarted).into_iter();
    assert!(
        attempted.all(|(message, _)| message != id),
        "the delivered message is attempted again"
    );
}
