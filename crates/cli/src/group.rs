//! What operators ask of a group: they speak to the daemon of their own home, which passes it on to whoever leads.

use crate::words::{Form, Group};
use futures_lite::future::block_on;
use futures_lite::io::AssertAsync;
use futures_lite::StreamExt;
use marblefall_control_plane::group::transport::{
    encode_frame, read_frame, Hello, OperatorResponse,
};
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::plan::Plan;
use marblefall_coordination::identifiers::{Author, MemberId, Revision};
use marblefall_coordination::node::{ChangePhase, GroupStatus, MemberStatus, Reply, Request};
use marblefall_coordination::replicated_state::{ChangeOutcome, ResolvedChange};
use marblefall_delivery::instance;
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// A daemon answers within a second, also where nobody leads.
const ANSWER: Duration = Duration::from_secs(3);
/// How often an open change is asked for.
const ASK: Duration = Duration::from_millis(40);
/// A change that nobody knows any more is proposed again after this.
const AGAIN: Duration = Duration::from_millis(400);

/// A connection to the daemon of a home.
struct Connection {
    stream: TcpStream,
    member: Membership,
}

impl Connection {
    fn open(home: &Path) -> Result<Connection, String> {
        let member = Membership::read(home)
            .map_err(|error| error.to_string())?
            .ok_or_else(|| {
                format!(
                    "{}: the home is of no group; see `marblefall apply --help`",
                    home.display()
                )
            })?;
        let at = member.group.members[&member.name].link;
        let fault = |error: std::io::Error| {
            format!(
                "member {} does not answer at {at} ({error}); is `marblefall run {}` up?",
                member.name,
                home.display()
            )
        };
        let stream = TcpStream::connect_timeout(&at, ANSWER).map_err(fault)?;
        stream.set_read_timeout(Some(ANSWER)).map_err(fault)?;
        (&stream)
            .write_all(&encode_frame(&Hello::from_operator(&member.group.name)))
            .map_err(fault)?;
        Ok(Connection { stream, member })
    }

    fn ask(&mut self, request: &Request) -> Result<OperatorResponse, String> {
        let fault =
            |error: std::io::Error| format!("the daemon of this home does not answer: {error}");
        self.stream
            .write_all(&encode_frame(request))
            .map_err(fault)?;
        let read = block_on(read_frame::<OperatorResponse>(&mut AssertAsync::new(
            &mut self.stream,
        )));
        read.map_err(|fault| format!("the daemon of this home answers with {fault}"))
    }

    /// Whether the leader has heard a member within its term; `None` where it never did.
    fn is_heard(&self, member: &MemberStatus) -> Option<bool> {
        member
            .last_heard
            .map(|micros| micros / 1000 <= self.member.group.lease_ms as i64)
    }

    fn name(&self, member: MemberId) -> String {
        self.member
            .names()
            .get(member.0 as usize)
            .cloned()
            .unwrap_or_else(|| member.0.to_string())
    }

    fn names(&self, members: &[MemberId]) -> String {
        let names: Vec<String> = members.iter().map(|member| self.name(*member)).collect();
        names.join(", ")
    }
}

/// Says what to do once an operator does not want to wait any more.
fn leave_to_group(home: &Path) {
    let home = home.to_owned();
    std::thread::spawn(move || {
        let Ok(mut signals) = instance::signals() else {
            return;
        };
        let heard = block_on(signals.next());
        if heard.is_some() {
            eprintln!(
                "not waited for any more: what becomes of the change is the group's to say; \
                 ask with `marblefall group history {}`",
                home.display()
            );
            std::process::exit(1);
        }
    });
}

/// Proposes a plan to the group, and waits for its outcome.
pub fn apply(plan: &Plan, home: &Path) -> Result<(), String> {
    let mut connection = Connection::open(home)?;
    leave_to_group(home);
    let policy = serde_json::to_vec(&plan.target).map_err(|error| error.to_string())?;
    let operator = std::env::var("USER").unwrap_or_else(|_| "an operator".to_owned());
    let key = fastrand::u64(1..);
    let author = Author {
        by: format!("{operator} at {}", connection.member.name),
        key,
    };
    let propose = Request::Propose {
        base: Revision(plan.base.revision),
        policy: policy.into(),
        author,
    };
    let mut said = String::new();
    let mut say = |what: String| {
        if what != said {
            println!("{what}");
            said = what;
        }
    };
    let (mut request, mut proposed) = (propose.clone(), Instant::now());
    loop {
        let response = connection.ask(&request)?;
        match response.reply {
            None => say("nobody leads the group just now; the change waits here".to_owned()),
            Some(Reply::Proposed) => {
                say("proposed to the group".to_owned());
                (request, proposed) = (Request::Outcome(key), Instant::now());
            }
            Some(Reply::Pending(phase, awaited)) => {
                let phase_name = match phase {
                    ChangePhase::Checking => "members check it",
                    ChangePhase::Quiescing => "members stop acting under the policy in force",
                };
                say(match awaited.is_empty() {
                    true => phase_name.to_owned(),
                    false => format!("{phase_name}; waited for: {}", connection.names(&awaited)),
                });
                request = Request::Outcome(key);
            }
            Some(Reply::Resolved(change)) => return done(&mut connection, &change),
            // It died with the leader that took it on, before it stood in the log.
            Some(Reply::Unknown) if proposed.elapsed() >= AGAIN => request = propose.clone(),
            Some(Reply::Stale(committed)) => {
                return Err(format!(
                    "the plan is stale: it was made against revision {}, in force is revision {}; plan again",
                    plan.base.revision, committed.0
                ));
            }
            Some(Reply::Busy(author)) => {
                return Err(format!(
                    "a change by {} has no outcome yet; plan again once it has",
                    author.by
                ));
            }
            Some(_) => {}
        }
        std::thread::sleep(ASK);
    }
}

fn done(connection: &mut Connection, change: &ResolvedChange) -> Result<(), String> {
    let revision = match &change.outcome {
        ChangeOutcome::InForce(revision) => *revision,
        ChangeOutcome::Withdrawn(why) => return Err(format!("withdrawn everywhere: {why}")),
    };
    // Nobody acts under another one any more; those that are there take it up within moments.
    let by = Instant::now() + Duration::from_millis(connection.member.group.lease_ms);
    let mut behind;
    loop {
        let response = connection.ask(&Request::Status)?;
        let Some(Reply::Status(status)) = response.reply else {
            continue;
        };
        let has = |member: &MemberStatus| member.applied >= Some(revision);
        behind = status
            .members
            .iter()
            .filter(|member| !has(member))
            .map(|member| member.member)
            .collect::<Vec<_>>();
        // One that is not heard is not waited for: it learns what holds before it acts.
        let awaited = status
            .members
            .iter()
            .any(|member| !has(member) && connection.is_heard(member) == Some(true));
        if !awaited || Instant::now() >= by {
            break;
        }
        std::thread::sleep(ASK);
    }
    if !behind.is_empty() {
        println!(
            "not heard, and takes it up before it acts again: {}",
            connection.names(&behind)
        );
    }
    println!("in force everywhere as revision {}", revision.0);
    Ok(())
}

/// `marblefall group ...`
pub fn obey(what: Group) -> Result<(), String> {
    match what {
        Group::Status { home, format } => {
            let mut connection = Connection::open(&home)?;
            let response = connection.ask(&Request::Status)?;
            let status = match &response.reply {
                Some(Reply::Status(status)) => Some(status.as_ref()),
                _ => None,
            };
            match format {
                Form::Text => status_text(&connection, &response, status),
                Form::Json => println!("{:#}", status_json(&connection, &response, status)),
            }
            Ok(())
        }
        Group::History { home, format } => {
            let mut connection = Connection::open(&home)?;
            let Some(Reply::History(changes)) = connection.ask(&Request::History)?.reply else {
                return Err(no_leader());
            };
            match format {
                Form::Text => changes
                    .iter()
                    .for_each(|change| println!("{}", change_text(change))),
                Form::Json => println!(
                    "{:#}",
                    Value::from(changes.iter().map(change_json).collect::<Vec<_>>())
                ),
            }
            Ok(())
        }
        Group::Withdraw { home } => {
            match Connection::open(&home)?.ask(&Request::Withdraw)?.reply {
                Some(Reply::Accepted) => {
                    println!("taken back, unless it was in force already; see `marblefall group history`");
                    Ok(())
                }
                Some(Reply::NothingPending) => Err("no change is open".to_owned()),
                _ => Err(no_leader()),
            }
        }
        Group::Without { name, home } => {
            let mut connection = Connection::open(&home)?;
            let names = connection.member.names();
            let at = names.iter().position(|known| *known == name);
            let at = at.ok_or_else(|| {
                format!(
                    "the group has no member {name:?}; it has {}",
                    names.join(", ")
                )
            })?;
            match connection
                .ask(&Request::Exclude(MemberId(at as u32)))?
                .reply
            {
                Some(Reply::Accepted) => {
                    println!("changes go on without {name}, until it asks again");
                    Ok(())
                }
                _ => Err(no_leader()),
            }
        }
    }
}

fn no_leader() -> String {
    "nobody leads the group just now: most of its voters cannot be reached from here".to_owned()
}

fn member_state(
    connection: &Connection,
    member: &MemberStatus,
    committed: Revision,
) -> &'static str {
    match (member.excluded, connection.is_heard(member)) {
        (true, _) => "stopped",
        (_, None) => "not heard",
        (_, Some(false)) => "cut off",
        _ if member.applied != Some(committed) => "behind",
        _ => "in step",
    }
}

fn status_text(connection: &Connection, response: &OperatorResponse, status: Option<&GroupStatus>) {
    let local = &response.local;
    let has = local
        .applied
        .map_or("none".to_owned(), |has| has.to_string());
    println!(
        "member {} of group {}: revision {has}, {}",
        local.member, connection.member.group.name, local.lease_state
    );
    if let Some(voting) = local.voting {
        let part = if voting.participates {
            "takes part"
        } else {
            "does not take part yet"
        };
        println!("votes: {part}, configuration {}", voting.configuration);
    }
    let Some(status) = status else {
        match &local.last_leader {
            Some(leader) => println!(
                "nobody leads just now; {} did, heard {} ms ago",
                leader.name, leader.heard_ms_ago
            ),
            None => println!("nobody leads just now, and nobody did since this daemon started"),
        }
        return;
    };
    println!(
        "led by {}, revision {} in force",
        connection.name(status.leader),
        status.committed.0
    );
    if let Some(pending) = &status.pending {
        println!(
            "open: a change by {}, {}; waits for: {}",
            pending.author.by,
            phase_name(pending.phase),
            connection.names(&pending.awaited)
        );
    }
    for member in &status.members {
        let has = member
            .applied
            .map_or("-".to_owned(), |has| has.0.to_string());
        let heard = member.last_heard.map_or("never".to_owned(), |heard| {
            format!("{} ms ago", heard / 1000)
        });
        let votes = if member.votes { ", votes" } else { "" };
        let name = connection.name(member.member);
        println!(
            "  {name}: {}, revision {has}, heard {heard}{votes}",
            member_state(connection, member, status.committed)
        );
    }
}

fn phase_name(phase: ChangePhase) -> &'static str {
    match phase {
        ChangePhase::Checking => "checking",
        ChangePhase::Quiescing => "stopping",
    }
}

fn status_json(
    connection: &Connection,
    response: &OperatorResponse,
    status: Option<&GroupStatus>,
) -> Value {
    let local = &response.local;
    let group = status.map(|status| {
        let member = |member: &MemberStatus| {
            json!({
                "name": connection.name(member.member),
                "state": member_state(connection, member, status.committed),
                "revision": member.applied.map(|has| has.0),
                "heard_ms_ago": member.last_heard.map(|heard| heard / 1000),
                "votes": member.votes,
            })
        };
        let open = status.pending.as_ref().map(|pending| {
            let awaited: Vec<String> = pending.awaited.iter().map(|member| connection.name(*member)).collect();
            json!({ "by": pending.author.by, "stage": phase_name(pending.phase), "waits_for": awaited })
        });
        json!({
            "leader": connection.name(status.leader),
            "revision": status.committed.0,
            "open": open,
            "members": status.members.iter().map(member).collect::<Vec<_>>(),
        })
    });
    json!({
        "member": local.member,
        "revision": local.applied,
        "standing": local.lease_state,
        "votes": local.voting.map(|voting| json!({ "takes_part": voting.participates, "configuration": voting.configuration })),
        "group": group,
    })
}

fn change_text(change: &ResolvedChange) -> String {
    let outcome = match &change.outcome {
        ChangeOutcome::InForce(revision) => format!("in force as revision {}", revision.0),
        ChangeOutcome::Withdrawn(why) => format!("withdrawn: {why}"),
    };
    let took = change.resolved_ms - change.proposed_ms;
    format!(
        "{}  change {} by {}: {outcome} (after {took} ms)",
        when(change.proposed_ms),
        change.proposal.0,
        change.author.by
    )
}

fn change_json(change: &ResolvedChange) -> Value {
    let (revision, withdrawn) = match &change.outcome {
        ChangeOutcome::InForce(revision) => (Some(revision.0), None),
        ChangeOutcome::Withdrawn(reason) => (None, Some(reason)),
    };
    json!({
        "change": change.proposal.0,
        "by": change.author.by,
        "proposed": when(change.proposed_ms),
        "resolved": when(change.resolved_ms),
        "revision": revision,
        "withdrawn": withdrawn,
    })
}

fn when(ms: i64) -> String {
    jiff::Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| at.to_string())
}
