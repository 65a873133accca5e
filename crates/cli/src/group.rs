//! What operators ask of a group: they speak to the daemon of their own home, which passes it on to whoever leads.

use crate::words::{Form, Group};
use futures_lite::future::block_on;
use futures_lite::io::AssertAsync;
use futures_lite::StreamExt;
use marblefall_control_plane::group::link::{self, Told};
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::plan::Plan;
use marblefall_coordination::book::Past;
use marblefall_coordination::seat::{Place, Progress, Reply, Request, Standing};
use marblefall_coordination::words::{Author, Member, Revision};
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
struct Line {
    stream: TcpStream,
    member: Membership,
}

impl Line {
    fn open(home: &Path) -> Result<Line, String> {
        let member = Membership::read(home)?.ok_or_else(|| {
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
            .write_all(&link::hello(&member.group.name, None))
            .map_err(fault)?;
        Ok(Line { stream, member })
    }

    fn ask(&mut self, request: &Request) -> Result<Told, String> {
        let fault =
            |error: std::io::Error| format!("the daemon of this home does not answer: {error}");
        self.stream
            .write_all(&link::encode(request))
            .map_err(fault)?;
        let read = block_on(link::read::<Told>(&mut AssertAsync::new(&mut self.stream)));
        read.map_err(|fault| format!("the daemon of this home answers with {fault}"))
    }

    /// Whether the leader has heard a member within its term; `None` where it never did.
    fn is_heard(&self, place: &Place) -> Option<bool> {
        place
            .heard
            .map(|micros| micros / 1000 <= self.member.group.lease_ms as i64)
    }

    fn name(&self, member: Member) -> String {
        self.member
            .names()
            .get(member.0 as usize)
            .cloned()
            .unwrap_or_else(|| member.0.to_string())
    }

    fn names(&self, members: &[Member]) -> String {
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
    let mut line = Line::open(home)?;
    leave_to_group(home);
    let policy = serde_json::to_vec(&plan.target).map_err(|error| error.to_string())?;
    let operator = std::env::var("USER").unwrap_or_else(|_| "an operator".to_owned());
    let key = fastrand::u64(1..);
    let author = Author {
        by: format!("{operator} at {}", line.member.name),
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
        let told = line.ask(&request)?;
        match told.reply {
            None => say("nobody leads the group just now; the change waits here".to_owned()),
            Some(Reply::Proposed) => {
                say("proposed to the group".to_owned());
                (request, proposed) = (Request::Outcome(key), Instant::now());
            }
            Some(Reply::Open(progress, waits)) => {
                let stage = match progress {
                    Progress::Checking => "members check it",
                    Progress::Stopping => "members stop acting under the policy in force",
                };
                say(match waits.is_empty() {
                    true => stage.to_owned(),
                    false => format!("{stage}; waited for: {}", line.names(&waits)),
                });
                request = Request::Outcome(key);
            }
            Some(Reply::Done(past)) => return done(&mut line, &past),
            // It died with the leader that took it on, before it stood in the log.
            Some(Reply::Unknown) if proposed.elapsed() >= AGAIN => request = propose.clone(),
            Some(Reply::Stale(holds)) => {
                return Err(format!(
                    "the plan is stale: it was made against revision {}, in force is revision {}; plan again",
                    plan.base.revision, holds.0
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

fn done(line: &mut Line, past: &Past) -> Result<(), String> {
    let revision = match &past.outcome {
        Ok(revision) => *revision,
        Err(why) => return Err(format!("withdrawn everywhere: {why}")),
    };
    // Nobody acts under another one any more; those that are there take it up within moments.
    let by = Instant::now() + Duration::from_millis(line.member.group.lease_ms);
    let mut behind;
    loop {
        let told = line.ask(&Request::Status)?;
        let Some(Reply::Status(standing)) = told.reply else {
            continue;
        };
        let has = |place: &Place| place.has >= Some(revision);
        behind = standing
            .members
            .iter()
            .filter(|place| !has(place))
            .map(|place| place.member)
            .collect::<Vec<_>>();
        // One that is not heard is not waited for: it learns what holds before it acts.
        let waits = standing
            .members
            .iter()
            .any(|place| !has(place) && line.is_heard(place) == Some(true));
        if !waits || Instant::now() >= by {
            break;
        }
        std::thread::sleep(ASK);
    }
    if !behind.is_empty() {
        println!(
            "not heard, and takes it up before it acts again: {}",
            line.names(&behind)
        );
    }
    println!("in force everywhere as revision {}", revision.0);
    Ok(())
}

/// `marblefall group ...`
pub fn obey(what: Group) -> Result<(), String> {
    match what {
        Group::Status { home, format } => {
            let mut line = Line::open(&home)?;
            let told = line.ask(&Request::Status)?;
            let standing = match &told.reply {
                Some(Reply::Status(standing)) => Some(standing.as_ref()),
                _ => None,
            };
            match format {
                Form::Text => status_text(&line, &told, standing),
                Form::Json => println!("{:#}", status_json(&line, &told, standing)),
            }
            Ok(())
        }
        Group::History { home, format } => {
            let mut line = Line::open(&home)?;
            let Some(Reply::History(past)) = line.ask(&Request::History)?.reply else {
                return Err(nobody());
            };
            match format {
                Form::Text => past.iter().for_each(|past| println!("{}", past_text(past))),
                Form::Json => println!(
                    "{:#}",
                    Value::from(past.iter().map(past_json).collect::<Vec<_>>())
                ),
            }
            Ok(())
        }
        Group::Withdraw { home } => {
            match Line::open(&home)?.ask(&Request::Withdraw)?.reply {
                Some(Reply::Taken) => {
                    println!("taken back, unless it was in force already; see `marblefall group history`");
                    Ok(())
                }
                Some(Reply::NothingOpen) => Err("no change is open".to_owned()),
                _ => Err(nobody()),
            }
        }
        Group::Without { name, home } => {
            let mut line = Line::open(&home)?;
            let names = line.member.names();
            let at = names.iter().position(|known| *known == name);
            let at = at.ok_or_else(|| {
                format!(
                    "the group has no member {name:?}; it has {}",
                    names.join(", ")
                )
            })?;
            match line.ask(&Request::Without(Member(at as u32)))?.reply {
                Some(Reply::Taken) => {
                    println!("changes go on without {name}, until it asks again");
                    Ok(())
                }
                _ => Err(nobody()),
            }
        }
    }
}

fn nobody() -> String {
    "nobody leads the group just now: most of its voters cannot be reached from here".to_owned()
}

fn word(line: &Line, place: &Place, holds: Revision) -> &'static str {
    match (place.without, line.is_heard(place)) {
        (true, _) => "stopped",
        (_, None) => "not heard",
        (_, Some(false)) => "cut off",
        _ if place.has != Some(holds) => "behind",
        _ => "in step",
    }
}

fn status_text(line: &Line, told: &Told, standing: Option<&Standing>) {
    let local = &told.local;
    let has = local.has.map_or("none".to_owned(), |has| has.to_string());
    println!(
        "member {} of group {}: revision {has}, {}",
        local.member, line.member.group.name, local.standing
    );
    if let Some((takes_part, configuration)) = local.votes {
        let part = if takes_part {
            "takes part"
        } else {
            "does not take part yet"
        };
        println!("votes: {part}, configuration {configuration}");
    }
    let Some(standing) = standing else {
        match &local.leader {
            Some((name, ms)) => println!("nobody leads just now; {name} did, heard {ms} ms ago"),
            None => println!("nobody leads just now, and nobody did since this daemon started"),
        }
        return;
    };
    println!(
        "led by {}, revision {} in force",
        line.name(standing.leader),
        standing.holds.0
    );
    if let Some((author, progress, waits)) = &standing.open {
        println!(
            "open: a change by {}, {}; waits for: {}",
            author.by,
            stage(*progress),
            line.names(waits)
        );
    }
    for place in &standing.members {
        let has = place.has.map_or("-".to_owned(), |has| has.0.to_string());
        let heard = place.heard.map_or("never".to_owned(), |heard| {
            format!("{} ms ago", heard / 1000)
        });
        let votes = if place.votes { ", votes" } else { "" };
        let name = line.name(place.member);
        println!(
            "  {name}: {}, revision {has}, heard {heard}{votes}",
            word(line, place, standing.holds)
        );
    }
}

fn stage(progress: Progress) -> &'static str {
    match progress {
        Progress::Checking => "checking",
        Progress::Stopping => "stopping",
    }
}

fn status_json(line: &Line, told: &Told, standing: Option<&Standing>) -> Value {
    let local = &told.local;
    let group = standing.map(|standing| {
        let place = |place: &Place| {
            json!({
                "name": line.name(place.member),
                "state": word(line, place, standing.holds),
                "revision": place.has.map(|has| has.0),
                "heard_ms_ago": place.heard.map(|heard| heard / 1000),
                "votes": place.votes,
            })
        };
        let open = standing.open.as_ref().map(|(author, progress, waits)| {
            let waits: Vec<String> = waits.iter().map(|member| line.name(*member)).collect();
            json!({ "by": author.by, "stage": stage(*progress), "waits_for": waits })
        });
        json!({
            "leader": line.name(standing.leader),
            "revision": standing.holds.0,
            "open": open,
            "members": standing.members.iter().map(place).collect::<Vec<_>>(),
        })
    });
    json!({
        "member": local.member,
        "revision": local.has,
        "standing": local.standing,
        "votes": local.votes.map(|(part, configuration)| json!({ "takes_part": part, "configuration": configuration })),
        "group": group,
    })
}

fn past_text(past: &Past) -> String {
    let outcome = match &past.outcome {
        Ok(revision) => format!("in force as revision {}", revision.0),
        Err(why) => format!("withdrawn: {why}"),
    };
    let took = past.resolved_ms - past.proposed_ms;
    format!(
        "{}  change {} by {}: {outcome} (after {took} ms)",
        when(past.proposed_ms),
        past.proposal.0,
        past.author.by
    )
}

fn past_json(past: &Past) -> Value {
    json!({
        "change": past.proposal.0,
        "by": past.author.by,
        "proposed": when(past.proposed_ms),
        "resolved": when(past.resolved_ms),
        "revision": past.outcome.as_ref().ok().map(|revision| revision.0),
        "withdrawn": past.outcome.as_ref().err(),
    })
}

fn when(ms: i64) -> String {
    jiff::Timestamp::from_millisecond(ms).map_or_else(|_| ms.to_string(), |at| at.to_string())
}
