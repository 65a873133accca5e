//! The scheduler on the simulator's wire: reads batches of events from standard input and writes a reply to each to
//! standard output. An error ends the program with one line on standard error that names the line of the input.

#![forbid(unsafe_code)]

mod adapter;
mod error;
mod instance;
mod names;
mod wire;

use adapter::Adapter;
use error::InputError;
use error_reporter::Report;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Why the program ends early.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}")]
    Read { line: u64, source: io::Error },
    /// A line does not have the wire's form.
    #[error("line {line}")]
    Syntax {
        line: u64,
        source: serde_json::Error,
    },
    /// A line cannot be used.
    #[error("line {line}")]
    Input { line: u64, source: InputError },
    /// The input ends before its batch does.
    #[error("line {line}: the input ends inside a batch")]
    UnfinishedBatch { line: u64 },
    /// Standard output cannot be written.
    #[error("standard output cannot be written")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    // The reply reports a panic of a scheduler; the default hook would print it once more.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marblefall-simulator-adapter: {}", Report::new(&error));
            ExitCode::FAILURE
        }
    }
}

/// Answers each batch of the input; returns at its end.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut text = Vec::new();
    for line in 1u64.. {
        text.clear();
        let read = input.read_until(b'\n', &mut text);
        if read.map_err(|source| AdapterError::Read { line, source })? == 0 {
            return if adapter.is_inside_batch() {
                Err(AdapterError::UnfinishedBatch { line })
            } else {
                Ok(())
            };
        }
        let event = serde_json::from_slice(&text)
            .map_err(|source| AdapterError::Syntax { line, source })?;
        let reply = adapter.handle_line(event);
        let reply = reply.map_err(|source| AdapterError::Input { line, source })?;
        if let Some(reply) = reply {
            let written = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            written.map_err(AdapterError::Write)?;
        }
    }
    Ok(())
}
