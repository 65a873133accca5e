//! Runs the scheduler with the simulator's line protocol: reads batches of events from standard input and writes a reply to
//! each batch to standard output. On an error the program exits with one line on standard error, which includes the number
//! of the input line.

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

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}")]
    Read { line: u64, source: io::Error },
    /// A line is not valid in the simulator's protocol.
    #[error("line {line}")]
    Syntax {
        line: u64,
        source: serde_json::Error,
    },
    /// A line is valid, but cannot be processed.
    #[error("line {line}")]
    Input { line: u64, source: InputError },
    /// The input ends before the end of a batch.
    #[error("line {line}: the input ends inside a batch")]
    UnfinishedBatch { line: u64 },
    /// Standard output cannot be written.
    #[error("standard output cannot be written")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    // A panic of a scheduler is reported in the reply. The default hook would also print it to standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marblefall-simulator-adapter: {}", Report::new(&error));
            ExitCode::FAILURE
        }
    }
}

/// Writes a reply to each batch of the input; returns at the end of the input.
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
