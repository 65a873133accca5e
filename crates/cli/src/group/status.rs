//! Output of the status of a group.

use super::connection::{Connection, Contact};
use marblefall_control_plane::group::transport::{LocalStatus, OperatorResponse};
use marblefall_coordination::identifiers::Revision;
use marblefall_coordination::node::{ChangePhase, GroupStatus, MemberStatus, PendingStatus, Reply};
use serde_json::{json, Value};

/// Prints the status as text.
pub fn print_text(connection: &Connection, response: &OperatorResponse) {
    print_local(connection, &response.local);
    match group_status(response) {
        Some(status) => print_group(connection, status),
        None => print_without_leader(&response.local),
    }
}

/// Returns the status as JSON.
pub fn to_json(connection: &Connection, response: &OperatorResponse) -> Value {
    let local = &response.local;
    let votes = local.voting.map(|voting| {
        json!({ "takes_part": voting.participates, "configuration": voting.configuration })
    });
    json!({
        "member": local.member,
        "revision": local.applied,
        "standing": local.lease_state,
        "votes": votes,
        "group": group_status(response).map(|status| group_json(connection, status)),
    })
}

/// Returns the leader's view of the group, if a leader was reached.
fn group_status(response: &OperatorResponse) -> Option<&GroupStatus> {
    match &response.reply {
        Some(Reply::Status(status)) => Some(status),
        _ => None,
    }
}

fn print_local(connection: &Connection, local: &LocalStatus) {
    let applied = local.applied;
    let revision = applied.map_or("none".to_owned(), |revision| revision.to_string());
    let group = &connection.membership().group.name;
    println!(
        "member {} of group {group}: revision {revision}, {}",
        local.member, local.lease_state
    );
    if let Some(voting) = local.voting {
        let part = if voting.participates {
            "takes part"
        } else {
            "does not take part yet"
        };
        println!("votes: {part}, configuration {}", voting.configuration);
    }
}

fn print_without_leader(local: &LocalStatus) {
    match &local.last_leader {
        Some(leader) => println!(
            "nobody leads just now; {} did, heard {} ms ago",
            leader.name, leader.contact_ms_ago
        ),
        None => println!("nobody leads just now, and nobody did since this daemon started"),
    }
}

fn print_group(connection: &Connection, status: &GroupStatus) {
    println!(
        "led by {}, revision {} in force",
        connection.name(status.leader),
        status.committed.0
    );
    if let Some(pending) = &status.pending {
        println!(
            "open: a change by {}, {}; waits for: {}",
            pending.author.name,
            phase_name(pending.phase),
            connection.names(&pending.awaited)
        );
    }
    for member in &status.members {
        println!("  {}", member_text(connection, member, status.committed));
    }
}

fn member_text(connection: &Connection, member: &MemberStatus, committed: Revision) -> String {
    let applied = member.applied;
    let revision = applied.map_or("-".to_owned(), |revision| revision.0.to_string());
    let contact = member.since_last_request;
    let contact = contact.map_or("never".to_owned(), |micros| {
        format!("{} ms ago", micros / 1000)
    });
    let votes = if member.votes { ", votes" } else { "" };
    format!(
        "{}: {}, revision {revision}, heard {contact}{votes}",
        connection.name(member.member),
        member_state(connection, member, committed)
    )
}

fn member_state(
    connection: &Connection,
    member: &MemberStatus,
    committed: Revision,
) -> &'static str {
    match (member.excluded, connection.contact(member)) {
        (true, _) => "stopped",
        (_, Contact::Never) => "not heard",
        (_, Contact::Lost) => "cut off",
        _ if member.applied != Some(committed) => "behind",
        _ => "in step",
    }
}

fn phase_name(phase: ChangePhase) -> &'static str {
    match phase {
        ChangePhase::Checking => "checking",
        ChangePhase::Quiescing => "stopping",
    }
}

fn group_json(connection: &Connection, status: &GroupStatus) -> Value {
    let members = status.members.iter();
    let members: Vec<Value> = members
        .map(|member| member_json(connection, member, status.committed))
        .collect();
    let pending = status.pending.as_ref();
    json!({
        "leader": connection.name(status.leader),
        "revision": status.committed.0,
        "open": pending.map(|pending| pending_json(connection, pending)),
        "members": members,
    })
}

fn member_json(connection: &Connection, member: &MemberStatus, committed: Revision) -> Value {
    json!({
        "name": connection.name(member.member),
        "state": member_state(connection, member, committed),
        "revision": member.applied.map(|revision| revision.0),
        "heard_ms_ago": member.since_last_request.map(|micros| micros / 1000),
        "votes": member.votes,
    })
}

fn pending_json(connection: &Connection, pending: &PendingStatus) -> Value {
    let awaited = pending.awaited.iter();
    let awaited: Vec<String> = awaited.map(|member| connection.name(*member)).collect();
    json!({
        "by": pending.author.name,
        "stage": phase_name(pending.phase),
        "waits_for": awaited,
    })
}
