//! `marblefall-simulation`: plays scenarios in virtual time or on real processes, and checks their invariants.

#![forbid(unsafe_code)]

mod arguments;
mod commands;
mod process_experiment;

use arguments::Arguments;
use clap::Parser;
use commands::RunStatus;
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(Arguments::parse().command) {
        Ok(RunStatus::Ok) => ExitCode::SUCCESS,
        Ok(RunStatus::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{}", error_chain(&error));
            ExitCode::FAILURE
        }
    }
}

/// Formats an error with its causes. A cause is omitted if the text already ends with its message.
fn error_chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let message = error.to_string();
        if !text.ends_with(message.trim_end()) {
            text = format!("{text}: {message}");
        }
        cause = error.source();
    }
    text
}
