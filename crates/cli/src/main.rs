//! The program: one instance on the platform, or the operators' tool for a fleet of instances.

#![forbid(unsafe_code)]

mod arguments;
mod destinations;
mod endpoint_lists;
mod error;
mod group;
mod policy;

use arguments::{Arguments, Command, OutputFormat};
use clap::{CommandFactory, Parser};
use clap_complete::Shell;
use error::CommandError;
use marblefall_control_plane::supervisor;
use marblefall_delivery::{instance, log};
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let has_arguments = std::env::args_os().len() > 1;
    let result = if has_arguments {
        run_command(Arguments::parse().command)
    } else {
        run_instance()
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Reported) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("marblefall: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_instance() -> Result<(), CommandError> {
    log::start(log::Format::Text);
    Ok(instance::run_on_platform()?)
}

fn run_command(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Plan { file, home, out } => policy::plan(&file, &home, out.as_deref()),
        Command::Apply { plan, home, member } => policy::apply(&plan, &home, member.as_deref()),
        Command::Group(command) => group::run(command),
        Command::Run {
            home,
            log,
            history,
            link,
        } => {
            log::start(log_format(log));
            Ok(supervisor::run(&home, history.as_deref(), link)?)
        }
        Command::Destinations {
            home,
            state,
            format,
        } => destinations::show(&home, state, format),
        Command::EndpointLists(command) => endpoint_lists::run(command),
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
    }
}

fn log_format(format: OutputFormat) -> log::Format {
    match format {
        OutputFormat::Text => log::Format::Text,
        OutputFormat::Json => log::Format::Json,
    }
}

fn print_completions(shell: Shell) {
    clap_complete::generate(
        shell,
        &mut Arguments::command(),
        "marblefall",
        &mut io::stdout(),
    );
}
