//! The program: one courier on the platform, or the operators' tool for a fleet of them.

mod destinations;
mod group;
mod roster;
mod words;

use clap::{CommandFactory, Parser};
use marblefall_control_plane::group::Membership;
use marblefall_control_plane::manifest::Manifest;
use marblefall_control_plane::plan::{Applied, Plan};
use marblefall_delivery::{error_chain, instance, log};
use std::path::Path;
use std::process::ExitCode;
use words::{Command, Form, Words};

fn main() -> ExitCode {
    let done = if std::env::args_os().len() <= 1 {
        log::start(log::Format::Text);
        instance::run_on_platform().map_err(|error| error_chain(&error))
    } else {
        obey(Words::parse().command)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            // What has said all by itself ends without a word.
            if !cause.is_empty() {
                eprintln!("marblefall: {cause}");
            }
            ExitCode::FAILURE
        }
    }
}

fn obey(command: Command) -> Result<(), String> {
    match command {
        Command::Plan { file, home, out } => plan(&file, &home, out.as_deref()),
        Command::Apply { plan, home, member } => apply(&plan, &home, member.as_deref()),
        Command::Group(what) => group::obey(what),
        Command::Run {
            home,
            log,
            history,
            link,
        } => {
            log::start(match log {
                Form::Text => log::Format::Text,
                Form::Json => log::Format::Json,
            });
            marblefall_control_plane::supervisor::run(&home, history.as_deref(), link)
                .map_err(|error| error.to_string())
        }
        Command::Destinations {
            home,
            state,
            format,
        } => destinations::show(&home, state, format),
        Command::Roster(what) => roster::obey(what),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Words::command(),
                "marblefall",
                &mut std::io::stdout(),
            );
            Ok(())
        }
    }
}

fn plan(file: &Path, home: &Path, out: Option<&Path>) -> Result<(), String> {
    let target = Manifest::read(file).map_err(|error| error.to_string())?;
    let plan = Plan::new(
        Applied::read(home).map_err(|error| error.to_string())?,
        target,
    );
    println!("{plan}");
    let Some(out) = out else { return Ok(()) };
    let saved = serde_json::to_vec_pretty(&plan).map_err(|error| error.to_string())?;
    std::fs::write(out, saved).map_err(|error| format!("{}: {error}", out.display()))
}

fn apply(saved: &Path, home: &Path, member: Option<&str>) -> Result<(), String> {
    let text = std::fs::read(saved).map_err(|error| format!("{}: {error}", saved.display()))?;
    let plan: Plan =
        serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", saved.display()))?;
    if plan.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    println!("{plan}");
    let of_group = Membership::read(home).map_err(|error| error.to_string())?;
    match (of_group, member, &plan.target.group) {
        (Some(had), Some(name), _) if had.name != name => {
            return Err(format!(
                "{}: it is member {} already",
                home.display(),
                had.name
            ));
        }
        (Some(_), ..) => return group::apply(&plan, home),
        (None, Some(name), Some(of)) if plan.base.revision == 0 => {
            Membership::found(home, name, &plan.target).map_err(|error| error.to_string())?;
            println!("founded as member {name} of group {}", of.name);
            println!(
                "it is in force once the group's voters run and agree: marblefall run {}",
                home.display()
            );
            return Ok(());
        }
        (None, Some(_), _) => {
            return Err("--member goes with an empty home and a file that has [group]".to_owned());
        }
        (None, None, Some(_)) if plan.base.revision == 0 => {
            return Err(
                "the file has [group]: say which member this home is, with --member NAME"
                    .to_owned(),
            );
        }
        (None, None, Some(_)) => {
            return Err(
                "the file has [group]: a home that runs by itself cannot join; begin with an empty one"
                    .to_owned(),
            );
        }
        (None, None, None) => {}
    }
    let applied = plan.apply(home).map_err(|error| error.to_string())?;
    println!("applied as revision {}", applied.revision);
    Ok(())
}
