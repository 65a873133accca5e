//! `marblefall-fault-soak`: a soak test that runs real processes under random faults from fixed seeds. An oracle checks
//! their behavior as clients, endpoints and discovery observe it.

#![forbid(unsafe_code)]

mod arguments;
mod client;
mod discovery;
mod endpoint;
mod oracle;
mod plan;
mod process;
mod proxy;
mod record;
mod run;
mod schedule;
mod soak;

use arguments::Arguments;
use clap::Parser;
use soak::Soak;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Soak::new(Arguments::parse()).run() {
        Ok(summary) => {
            println!("{summary}");
            if summary.is_success() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("marblefall-fault-soak: {error}");
            ExitCode::FAILURE
        }
    }
}
