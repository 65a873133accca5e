//! Proposes a plan to the group, and waits for its outcome.

use super::connection::{Connection, Contact};
use crate::error::CommandError;
use futures_lite::future::block_on;
use futures_lite::StreamExt;
use marblefall_control_plane::plan::Plan;
use marblefall_coordination::identifiers::{Author, MemberId, Revision};
use marblefall_coordination::node::{ChangePhase, MemberStatus, Reply, Request};
use marblefall_coordination::replicated_state::{ChangeOutcome, ResolvedChange};
use marblefall_delivery::instance;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between requests for the outcome of a pending change.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which a change that is no longer known to the group is proposed again.
const PROPOSE_AGAIN_AFTER: Duration = Duration::from_millis(400);

/// Proposes a plan to the group, and waits for its outcome.
pub fn propose(plan: &Plan, home: &Path) -> Result<(), CommandError> {
    let connection = Connection::open(home)?;
    end_on_signal(home);
    Proposal::new(plan, connection)?.run()
}

/// Exits when the operator sends a signal, and prints how to look up the outcome.
fn end_on_signal(home: &Path) {
    let home = home.to_owned();
    thread::spawn(move || {
        let Ok(mut signals) = instance::register_signals() else {
            return;
        };
        if block_on(signals.next()).is_some() {
            eprintln!(
                "stopped waiting; the group still decides the outcome of the change: \
                 see `marblefall group history {}`",
                home.display()
            );
            std::process::exit(1);
        }
    });
}

/// A proposed change whose outcome is awaited.
struct Proposal {
    connection: Connection,
    /// The revision that the plan was made against.
    base: u64,
    /// The request that proposes the change.
    request: Request,
    /// Identifies the change in requests for its outcome.
    key: u64,
    proposed_at: Instant,
    last_printed: String,
}

impl Proposal {
    fn new(plan: &Plan, connection: Connection) -> Result<Proposal, CommandError> {
        let policy = serde_json::to_vec(&plan.target)?;
        let operator = std::env::var("USER").unwrap_or_else(|_| "an operator".to_owned());
        let key = fastrand::u64(1..);
        let author = Author {
            name: format!("{operator} at {}", connection.membership().name),
            key,
        };
        let base = plan.base.revision;
        let request = Request::Propose {
            base: Revision(base),
            policy: policy.into(),
            author,
        };
        Ok(Proposal {
            connection,
            base,
            request,
            key,
            proposed_at: Instant::now(),
            last_printed: String::new(),
        })
    }

    /// Proposes the change, and requests its outcome until it is resolved.
    fn run(mut self) -> Result<(), CommandError> {
        let mut request = self.request.clone();
        loop {
            let reply = self.connection.request(&request)?.reply;
            if let Some(Reply::Resolved(change)) = reply {
                return self.finish(&change);
            }
            if let Some(next) = self.handle(reply)? {
                request = next;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Handles the reply to a request while the change is not resolved. Returns the next request if it is a different one.
    fn handle(&mut self, reply: Option<Reply>) -> Result<Option<Request>, CommandError> {
        match reply {
            None => {
                self.print("the group has no leader at the moment; waiting for one".to_owned());
                Ok(None)
            }
            Some(Reply::Proposed) => {
                self.print("proposed to the group".to_owned());
                self.proposed_at = Instant::now();
                Ok(Some(Request::Outcome(self.key)))
            }
            Some(Reply::Pending(phase, awaited)) => {
                self.print_pending(phase, &awaited);
                Ok(Some(Request::Outcome(self.key)))
            }
            // The change was lost with a leader that had accepted it but had not written it to the log.
            Some(Reply::Unknown) if self.proposed_at.elapsed() >= PROPOSE_AGAIN_AFTER => {
                Ok(Some(self.request.clone()))
            }
            Some(Reply::Stale(committed)) => Err(CommandError::StalePlan {
                base: self.base,
                committed: committed.0,
            }),
            Some(Reply::Busy(author)) => Err(CommandError::OtherChangePending(author.name)),
            Some(_) => Ok(None),
        }
    }

    /// Prints a line, unless it is the same as the last one.
    fn print(&mut self, line: String) {
        if line != self.last_printed {
            println!("{line}");
            self.last_printed = line;
        }
    }

    fn print_pending(&mut self, phase: ChangePhase, awaited: &[MemberId]) {
        let phase = match phase {
            ChangePhase::Checking => "members check it",
            ChangePhase::Quiescing => "members stop acting under the policy in force",
        };
        let line = if awaited.is_empty() {
            phase.to_owned()
        } else {
            format!("{phase}; waiting for: {}", self.connection.names(awaited))
        };
        self.print(line);
    }

    /// Prints the outcome. If the change is in force, first waits for the members in contact with the leader, which apply
    /// it within moments.
    fn finish(mut self, change: &ResolvedChange) -> Result<(), CommandError> {
        let revision = match &change.outcome {
            ChangeOutcome::InForce(revision) => *revision,
            ChangeOutcome::Withdrawn(reason) => {
                return Err(CommandError::Withdrawn(reason.to_string()))
            }
        };
        let behind = self.wait_for_members(revision)?;
        if !behind.is_empty() {
            println!(
                "not heard, and takes it up before it acts again: {}",
                self.connection.names(&behind)
            );
        }
        println!("in force everywhere as revision {}", revision.0);
        Ok(())
    }

    /// Waits until all members in contact with the leader have applied a revision, but no longer than the duration of a
    /// lease. Returns the members that have not applied it.
    fn wait_for_members(&mut self, revision: Revision) -> Result<Vec<MemberId>, CommandError> {
        let lease = Duration::from_millis(self.connection.membership().group.lease_ms);
        let deadline = Instant::now() + lease;
        loop {
            let response = self.connection.request(&Request::Status)?;
            let Some(Reply::Status(status)) = response.reply else {
                continue;
            };
            let is_behind = |member: &&MemberStatus| member.applied < Some(revision);
            let behind: Vec<&MemberStatus> = status.members.iter().filter(is_behind).collect();
            // A member without contact is not awaited, as it applies the revision before it acts again.
            let is_any_awaited = behind
                .iter()
                .any(|member| self.connection.contact(member) == Contact::Recent);
            if !is_any_awaited || Instant::now() >= deadline {
                return Ok(behind.iter().map(|member| member.member).collect());
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
