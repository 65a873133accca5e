//! Requests of operators to a group. The daemon of the operator's home forwards them to the leader.

mod connection;
mod history;
mod propose;
mod status;

pub use propose::propose;

use crate::arguments::{GroupCommand, OutputFormat};
use crate::error::CommandError;
use connection::Connection;
use marblefall_coordination::node::{Reply, Request};
use std::path::Path;

/// Runs `marblefall group ...`.
pub fn run(command: GroupCommand) -> Result<(), CommandError> {
    match command {
        GroupCommand::Status { home, format } => show_status(&home, format),
        GroupCommand::History { home, format } => show_history(&home, format),
        GroupCommand::Withdraw { home } => withdraw(&home),
        GroupCommand::Without { name, home } => exclude(&name, &home),
    }
}

fn show_status(home: &Path, format: OutputFormat) -> Result<(), CommandError> {
    let mut connection = Connection::open(home)?;
    let response = connection.request(&Request::Status)?;
    match format {
        OutputFormat::Text => status::print_text(&connection, &response),
        OutputFormat::Json => println!("{:#}", status::to_json(&connection, &response)),
    }
    Ok(())
}

fn show_history(home: &Path, format: OutputFormat) -> Result<(), CommandError> {
    let mut connection = Connection::open(home)?;
    let Some(Reply::History(changes)) = connection.request(&Request::History)?.reply else {
        return Err(CommandError::NoLeader);
    };
    match format {
        OutputFormat::Text => history::print_text(&changes),
        OutputFormat::Json => println!("{:#}", history::to_json(&changes)),
    }
    Ok(())
}

fn withdraw(home: &Path) -> Result<(), CommandError> {
    match Connection::open(home)?.request(&Request::Withdraw)?.reply {
        Some(Reply::Accepted) => {
            println!("withdrawn, unless it was already in force; see `marblefall group history`");
            Ok(())
        }
        Some(Reply::NothingPending) => Err(CommandError::NothingPending),
        _ => Err(CommandError::NoLeader),
    }
}

fn exclude(name: &str, home: &Path) -> Result<(), CommandError> {
    let mut connection = Connection::open(home)?;
    let Some(member) = connection.membership().member_id(name) else {
        return Err(CommandError::NoSuchMember {
            member: name.to_owned(),
            members: connection.membership().names(),
        });
    };
    let request = Request::Exclude(member);
    match connection.request(&request)?.reply {
        Some(Reply::Accepted) => {
            println!("changes no longer wait for {name} until it requests a lease again");
            Ok(())
        }
        _ => Err(CommandError::NoLeader),
    }
}
